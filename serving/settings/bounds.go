package settings

import "time"

// boundSettings are the promises that operators hold the system to. The defaults stand in for those that a deployment
// doesn't set.
func boundSettings() []Setting {
	return append(timeBoundSettings(), ratioBoundSettings()...)
}

func timeBoundSettings() []Setting {
	return []Setting{
		secondsSetting("bounds.seed_lag_s", "3", "How old a list of control addresses may be.",
			func(p *Process) *time.Duration { return &p.Bounds.SeedLag }),
		secondsSetting("bounds.addr_reuse_s", "2", "How soon the address of an endpoint that has ended may pass to another.",
			func(p *Process) *time.Duration { return &p.Bounds.AddressReuse }),
		millisecondsSetting("bounds.contact_ms", "4000", "How long a machine must be undisturbed to count as in touch.",
			func(p *Process) *time.Duration { return &p.Bounds.QuorumContact }),
		millisecondsSetting("bounds.ack_ms", "5000", "Time for the acknowledgement of an operator's order.",
			func(p *Process) *time.Duration { return &p.Bounds.Acknowledgement }),
		secondsSetting("bounds.catch_up_s", "4", "How long a machine that came back still counts as lost.",
			func(p *Process) *time.Duration { return &p.Bounds.CatchUp }),
		millisecondsSetting("bounds.drain_ms", "3000", "Time in which new requests to an endpoint that leaves must cease.",
			func(p *Process) *time.Duration { return &p.Bounds.Drain }),
		secondsSetting("bounds.grace_s", "8", "Time between SIGTERM and SIGKILL.",
			func(p *Process) *time.Duration { return &p.Bounds.Grace }),
		millisecondsSetting("bounds.loss_slack_ms", "200", "Time in which a request may be cut that wasn't passed on yet.",
			func(p *Process) *time.Duration { return &p.Bounds.LossSlack }),
		millisecondsSetting("bounds.apply_ms", "3000", "Time for a configuration to be in force everywhere.",
			func(p *Process) *time.Duration { return &p.Bounds.Activation }),
		millisecondsSetting("bounds.revert_slack_ms", "250", "Time in which an older configuration may still be seen after a newer one.",
			func(p *Process) *time.Duration { return &p.Bounds.RevertSlack }),
		millisecondsSetting("bounds.stretch_ms", "6000", "How far an unstable core extends the other bounds.",
			func(p *Process) *time.Duration { return &p.Bounds.Stretch }),
		secondsSetting("bounds.retry_window_s", "10", "Span over which repeated sends are counted.",
			func(p *Process) *time.Duration { return &p.Bounds.RetryWindow }),
		millisecondsSetting("bounds.evacuate_ms", "5000", "Time for an evacuation to be in force everywhere.",
			func(p *Process) *time.Duration { return &p.Bounds.Evacuation }),
		secondsSetting("bounds.recovery_s", "12", "Time to serve again after a loss of everything.",
			func(p *Process) *time.Duration { return &p.Bounds.Recovery }),
		millisecondsSetting("bounds.pass_ms", "400", "Time in which an event of a stream must be passed on.",
			func(p *Process) *time.Duration { return &p.Bounds.StreamForwarding }),
		secondsSetting("bounds.ttl_max_s", "5", "Longest time for which clients keep an answer of the directory.",
			func(p *Process) *time.Duration { return &p.Bounds.MaxTTL }),
	}
}

func ratioBoundSettings() []Setting {
	return []Setting{
		numberSetting("bounds.retry_ratio", "0.2", "Repeated sends to a service as a share of its requests.",
			func(p *Process) *float64 { return &p.Bounds.RetryRatio }),
		numberSetting("bounds.retry_slack", "50", "Repeated sends allowed beyond that share.",
			func(p *Process) *float64 { return &p.Bounds.RetrySlack }),
		numberSetting("bounds.cold_excess", "1.5", "Factor on the requests a second that a cold endpoint bears.",
			func(p *Process) *float64 { return &p.Bounds.WarmUpExcess }),
		numberSetting("bounds.cold_slack", "5", "Requests a second allowed beyond that.",
			func(p *Process) *float64 { return &p.Bounds.WarmUpSlack }),
	}
}
