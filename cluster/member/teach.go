package member

import (
	"log/slog"

	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// teach tells the target of each move what was learned here, once no call of the range is out any more.
func (o *owing) teach(chart *shardmap.Map) {
	f := o.forwarding
	passing := map[shardmap.MoveID]bool{}
	for _, r := range chart.Ranges {
		v := r.Move
		if v.Step != shardmap.Passing || v.From != f.homes.self {
			continue
		}
		o.mu.Lock()
		passing[v.ID] = true
		told := o.told[v.ID]
		o.mu.Unlock()
		if told {
			continue
		}
		all, idle := o.decider.Learned(func(d api.DestinationID) bool {
			return chart.Holds(r, d)
		})
		if !idle {
			continue
		}
		s := sent{Version: chart.Version, At: inflight.Now(), Move: v.ID, Learned: all}
		if _, _, err := f.say(v.To, owedPath, s, f.homes.term/2, true); err != nil {
			slog.Debug("learned not handed on", "to", v.To, "why", err)
			continue
		}
		slog.Info("learned handed on", "range", r.ID, "move", v.ID, "to", v.To, "destinations", len(all))
		o.mu.Lock()
		o.told[v.ID] = true
		o.mu.Unlock()
		f.homes.changed()
	}
	o.mu.Lock()
	for id := range o.told {
		if !passing[id] {
			delete(o.told, id)
		}
	}
	o.mu.Unlock()
}

// taught takes over what another member learned; lag is by how much this clock shows more.
func (o *owing) taught(all []api.Learned, lag api.Micros) {
	for i := range all {
		l := &all[i]
		for _, at := range []*api.Micros{&l.At, &l.WaitUntil, &l.CanaryAt, &l.ColdSince} {
			if *at > 0 {
				*at += lag
			}
		}
	}
	if len(all) > 0 {
		o.decider.Teach(all)
	}
}
