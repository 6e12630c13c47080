package member

import (
	"errors"
	"log/slog"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// handOn offers what is owed to its home, or to the target of its move, and has it parked in doubt until
// there is an answer. What has none is offered again: there it is known by its name.
func (o *owing) handOn(chart *shardmap.Map, to cluster.MemberID, move shardmap.MoveID, all []eventloop.Owed) {
	f := o.forwarding
	s := sent{Version: chart.Version, At: inflight.Now(), Move: move}
	all = o.offered(chart, to, move, all, &s)
	if len(all) == 0 {
		return
	}
	hs, _, err := f.say(to, owedPath, s, f.homes.term/2, false)
	if hs == nil {
		hs = make([]heard, len(all))
	}
	if errors.Is(err, transport.ErrNotSent) {
		for i := range hs {
			hs[i].Reply = shardmap.Refuses // by nobody: this try went nowhere
		}
	}
	n := 0
	for _, h := range hs {
		if h.Reply == shardmap.Has {
			n++
		}
	}
	f.homes.session.HandedOn.Add(int64(n))
	if o.heard(s, all, hs); err != nil {
		slog.Debug("owed not handed on", "to", to, "webhooks", len(all), "why", err)
		return
	}
	slog.Info("owed handed on", "to", to, "move", move, "webhooks", n, "of", len(all))
	if n > 0 {
		o.looks()
		f.homes.changed()
	}
}

// offered writes to whom webhooks are on their way, before they are. It keeps those that are still parked
// here.
func (o *owing) offered(chart *shardmap.Map, to cluster.MemberID, move shardmap.MoveID, all []eventloop.Owed,
	s *sent) (still []eventloop.Owed) {
	f := o.forwarding
	ids, names := make([]api.WebhookID, len(all)), make([]shardmap.Name, len(all))
	for i, w := range all {
		ids[i], names[i] = w.ID, nameOf(w.RequestID)
	}
	marked := o.decider.Doubt(ids)
	life := f.life(to)
	var anew, settled []inflight.RequestID
	err := f.names.Change(names, func(k *shardmap.Known) {
		for i, w := range all {
			r, ok := chart.Of(chart.Key(w.Destination))
			fresh, parked := marked[w.ID]
			_, _, out := k.Out(names[i])
			switch {
			case !parked || !ok:
				continue
			case !out && !fresh: // in doubt by another way, or coming
				continue
			case !out && w.Doubted: // settled meanwhile, and marked anew above
				settled = append(settled, w.RequestID)
				continue
			case !out:
				anew = append(anew, w.RequestID)
			}
			hand, ok := k.Offers(names[i], w.TTL, shardmap.Offer{To: to, Life: life, Move: move, Range: r.ID,
				Epoch: r.Epoch, SentAt: s.At})
			if ok {
				still = append(still, w)
				s.All = append(s.All, carried(w.Webhook, hand, w.Attempts, w.MayRun, w.Zone))
			}
		}
	})
	if err != nil {
		settled, still = append(settled, anew...), nil
	}
	o.decider.Settled(settled)
	return still
}

// heard does what the answers to offers say.
func (o *owing) heard(s sent, all []eventloop.Owed, hs []heard) {
	var own []shardmap.Name
	var ours []inflight.RequestID
	var drop []api.WebhookID
	for i, w := range all {
		if hs[i].Reply != shardmap.Has {
			own = append(own, s.All[i].Name)
			continue
		}
		drop = append(drop, w.ID)
	}
	if len(drop) > 0 {
		o.drops(s, all, hs)
	}
	if len(own) == 0 {
		return
	}
	err := o.forwarding.names.Change(own, func(k *shardmap.Known) {
		for i, w := range all {
			if hs[i].Reply != shardmap.Has && k.Heard(s.All[i].Name, s.All[i].Hand, hs[i].Reply) == shardmap.Own {
				ours = append(ours, w.RequestID)
			}
		}
	})
	if err == nil { // else it stays in doubt
		o.decider.Settled(ours)
	}
	for i, w := range all {
		if out, hand, is := o.forwarding.names.Out(s.All[i].Name); is && hs[i].Reply == shardmap.Forgot {
			o.settled(doubt{w, s.All[i].Name, hand, out}, shardmap.Forgot)
		}
	}
}

// drops ends what another member has. Guards against one that has come back meanwhile, and against one taken
// on anew before it has ended here: both wait for the names.
func (o *owing) drops(s sent, all []eventloop.Owed, hs []heard) {
	o.forwarding.names.Note(func(k *shardmap.Known) {
		var ids []api.WebhookID
		for i, w := range all {
			if hs[i].Reply == shardmap.Has && k.Heard(s.All[i].Name, s.All[i].Hand, shardmap.Has) == shardmap.Drop {
				ids = append(ids, w.ID)
			}
		}
		if len(ids) > 0 {
			o.decider.Passed(ids)
		}
	})
}
