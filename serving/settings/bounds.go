package settings

import (
	"slices"
	"time"
)

// boundSettings returns the settings of the service levels that operators require. A file may leave out any of them.
func boundSettings() []Setting {
	return slices.Concat(timeBoundSettings(), ratioBoundSettings(), unexplainedBoundSettings())
}

// unexplainedBoundSettings returns the bounds that the operators' documentation names without saying what they bound.
// Their values have no effect and are stored as text, so that no value keeps a process from starting; see
// Process.SettingsWithoutEffect.
func unexplainedBoundSettings() []Setting {
	return []Setting{
		textSetting("bounds.again_s", "Meaning unknown: the operators' documentation gives it as 0 and doesn't explain it. Accepted, without effect.",
			func(p *Process) *string { return &p.Bounds.Again }),
	}
}

func timeBoundSettings() []Setting {
	return []Setting{
		secondsSetting("bounds.seed_lag_s", "3", "Maximum age of a list of control addresses.",
			func(p *Process) *time.Duration { return &p.Bounds.SeedLag }),
		secondsSetting("bounds.addr_reuse_s", "2", "Minimum time until the address of a departed endpoint is reused by another.",
			func(p *Process) *time.Duration { return &p.Bounds.AddressReuse }),
		millisecondsSetting("bounds.contact_ms", "4000", "Time without faults after which a machine counts as connected.",
			func(p *Process) *time.Duration { return &p.Bounds.QuorumContact }),
		millisecondsSetting("bounds.ack_ms", "5000", "Time to acknowledge an operator's change.",
			func(p *Process) *time.Duration { return &p.Bounds.Acknowledgement }),
		secondsSetting("bounds.catch_up_s", "4", "Time for which a machine that has recovered still counts as lost.",
			func(p *Process) *time.Duration { return &p.Bounds.CatchUp }),
		millisecondsSetting("bounds.drain_ms", "3000", "Time within which new requests to a draining endpoint must cease.",
			func(p *Process) *time.Duration { return &p.Bounds.Drain }),
		secondsSetting("bounds.grace_s", "8", "Time between SIGTERM and SIGKILL.",
			func(p *Process) *time.Duration { return &p.Bounds.Grace }),
		millisecondsSetting("bounds.loss_slack_ms", "200", "Time within which a request that wasn't forwarded yet may be aborted.",
			func(p *Process) *time.Duration { return &p.Bounds.LossSlack }),
		millisecondsSetting("bounds.apply_ms", "3000", "Time until a configuration is in force everywhere.",
			func(p *Process) *time.Duration { return &p.Bounds.Activation }),
		millisecondsSetting("bounds.revert_slack_ms", "250", "Time for which an older configuration may still be observed after a newer one.",
			func(p *Process) *time.Duration { return &p.Bounds.RevertSlack }),
		millisecondsSetting("bounds.stretch_ms", "6000", "Time by which an unstable core extends the other bounds.",
			func(p *Process) *time.Duration { return &p.Bounds.Stretch }),
		secondsSetting("bounds.retry_window_s", "10", "Window over which retries are counted.",
			func(p *Process) *time.Duration { return &p.Bounds.RetryWindow }),
		millisecondsSetting("bounds.rollback_ms", "5000", "Time within which requests to a bad software version must cease after its 50th bad answer.",
			func(p *Process) *time.Duration { return &p.Bounds.Rollback }),
		millisecondsSetting("bounds.evacuate_ms", "5000", "Time until an evacuation is in force everywhere.",
			func(p *Process) *time.Duration { return &p.Bounds.Evacuation }),
		secondsSetting("bounds.recovery_s", "12", "Time to serve again after a total loss.",
			func(p *Process) *time.Duration { return &p.Bounds.Recovery }),
		millisecondsSetting("bounds.pass_ms", "400", "Time within which an event of a stream must be forwarded.",
			func(p *Process) *time.Duration { return &p.Bounds.StreamForwarding }),
		secondsSetting("bounds.ttl_max_s", "5", "Longest time for which clients cache an answer of the directory.",
			func(p *Process) *time.Duration { return &p.Bounds.MaxTTL }),
	}
}

func ratioBoundSettings() []Setting {
	return []Setting{
		numberSetting("bounds.retry_ratio", "0.2", "Retry budget of a service, as a fraction of its requests.",
			func(p *Process) *float64 { return &p.Bounds.RetryRatio }),
		numberSetting("bounds.retry_slack", "50", "Retries allowed beyond a service's retry budget.",
			func(p *Process) *float64 { return &p.Bounds.RetrySlack }),
		numberSetting("bounds.exposure_share", "0.1", "Share of a service's requests that a bad software version may get during its roll-out.",
			func(p *Process) *float64 { return &p.Bounds.ExposureShare }),
		numberSetting("bounds.cold_excess", "1.5", "Limit of requests per second to a warming-up endpoint, as a multiple of its service's warm-up rate.",
			func(p *Process) *float64 { return &p.Bounds.WarmUpExcess }),
		numberSetting("bounds.cold_slack", "5", "Requests per second to a warming-up endpoint that are allowed beyond bounds.cold_excess.",
			func(p *Process) *float64 { return &p.Bounds.WarmUpSlack }),
	}
}
