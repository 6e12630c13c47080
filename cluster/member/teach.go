package member

import (
	"log/slog"

	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// transferState tells the target of each move what was learned here, once no call of the range is out any more.
func (o *Handoff) transferState(chart *shardmap.Map) {
	f := o.forwarding
	passing := map[shardmap.MoveID]bool{}
	for _, r := range chart.Ranges {
		v := r.Move
		if v.Step != shardmap.StepHandoff || v.From != f.ownership.self {
			continue
		}
		o.mu.Lock()
		passing[v.ID] = true
		told := o.stateSent[v.ID]
		o.mu.Unlock()
		if told {
			continue
		}
		all, idle := o.decider.Learned(func(d api.DestinationID) bool {
			return chart.Contains(r, d)
		})
		if !idle {
			continue
		}
		s := Transfer{MapVersion: chart.Version, SentAt: inflight.Now(), Move: v.ID, Learned: all}
		if _, _, err := f.Send(v.To, TransferPath, s, f.ownership.leaseTTL/2, true); err != nil {
			slog.Debug("learned not handed on", "to", v.To, "why", err)
			continue
		}
		slog.Info("learned handed on", "range", r.ID, "move", v.ID, "to", v.To, "destinations", len(all))
		o.mu.Lock()
		o.stateSent[v.ID] = true
		o.mu.Unlock()
		f.ownership.onChange()
	}
	o.mu.Lock()
	for id := range o.stateSent {
		if !passing[id] {
			delete(o.stateSent, id)
		}
	}
	o.mu.Unlock()
}

// ApplyState takes over what another member learned; lag is by how much this clock shows more.
func (o *Handoff) ApplyState(all []api.DestinationState, lag api.Micros) {
	for i := range all {
		l := &all[i]
		for _, at := range []*api.Micros{&l.ObservedAt, &l.WaitUntil, &l.NextCanaryAt, &l.SlowStartSince} {
			if *at > 0 {
				*at += lag
			}
		}
	}
	if len(all) > 0 {
		o.decider.Teach(all)
	}
}
