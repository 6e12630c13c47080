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

// offerBatch offers what is owed to its home, or to the target of its move, and has it parked in doubt until
// there is an answer. What has none is offered again: there it is known by its name.
func (o *Handoff) offerBatch(chart *shardmap.Map, to cluster.MemberID, move shardmap.MoveID, all []eventloop.Owed) {
	f := o.forwarding
	s := Transfer{MapVersion: chart.Version, SentAt: inflight.Now(), Move: move}
	all = o.recordOffers(chart, to, move, all, &s)
	if len(all) == 0 {
		return
	}
	hs, _, err := f.Send(to, TransferPath, s, f.ownership.leaseTTL/2, false)
	if hs == nil {
		hs = make([]Outcome, len(all))
	}
	if errors.Is(err, transport.ErrNotSent) {
		for i := range hs {
			hs[i].Reply = shardmap.CustodyRejected // by nobody: this try went nowhere
		}
	}
	n := 0
	for _, h := range hs {
		if h.Reply == shardmap.CustodyTaken {
			n++
		}
	}
	f.ownership.session.HandedOff.Add(int64(n))
	if o.applyOutcomes(s, all, hs); err != nil {
		slog.Debug("owed not handed on", "to", to, "webhooks", len(all), "why", err)
		return
	}
	slog.Info("owed handed on", "to", to, "move", move, "webhooks", n, "of", len(all))
	if n > 0 {
		o.wake()
		f.ownership.onChange()
	}
}

// recordOffers writes to whom webhooks are on their way, before they are. It keeps those that are still parked
// here.
func (o *Handoff) recordOffers(chart *shardmap.Map, to cluster.MemberID, move shardmap.MoveID, all []eventloop.Owed,
	s *Transfer) (still []eventloop.Owed) {
	f := o.forwarding
	ids, names := make([]api.WebhookID, len(all)), make([]shardmap.WebhookID, len(all))
	for i, w := range all {
		ids[i], names[i] = w.ID, NameOf(w.RequestID)
	}
	marked := o.decider.Doubt(ids)
	life := f.Incarnation(to)
	var anew, settled []inflight.RequestID
	err := f.custody.Update(names, func(k *shardmap.CustodyTable) {
		for i, w := range all {
			r, ok := chart.RangeOf(chart.KeyOf(w.Destination))
			fresh, parked := marked[w.ID]
			_, _, out := k.OutstandingOffer(names[i])
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
			hand, ok := k.BeginOffer(names[i], w.TTL, shardmap.Offer{To: to, Incarnation: life, Move: move, Range: r.ID,
				Epoch: r.Epoch, SentAt: s.SentAt})
			if ok {
				still = append(still, w)
				s.Webhooks = append(s.Webhooks, NewCarried(w.Webhook, hand, w.Attempts, w.MayRun, w.Zone))
			}
		}
	})
	if err != nil {
		settled, still = append(settled, anew...), nil
	}
	o.decider.Settled(settled)
	return still
}

// applyOutcomes does what the answers to offers say.
func (o *Handoff) applyOutcomes(s Transfer, all []eventloop.Owed, hs []Outcome) {
	var own []shardmap.WebhookID
	var ours []inflight.RequestID
	var drop []api.WebhookID
	for i, w := range all {
		if hs[i].Reply != shardmap.CustodyTaken {
			own = append(own, s.Webhooks[i].ID)
			continue
		}
		drop = append(drop, w.ID)
	}
	if len(drop) > 0 {
		o.dropTransferred(s, all, hs)
	}
	if len(own) == 0 {
		return
	}
	err := o.forwarding.custody.Update(own, func(k *shardmap.CustodyTable) {
		for i, w := range all {
			if hs[i].Reply != shardmap.CustodyTaken && k.HandleReply(s.Webhooks[i].ID, s.Webhooks[i].Handoff, hs[i].Reply) == shardmap.KeepCopy {
				ours = append(ours, w.RequestID)
			}
		}
	})
	if err == nil { // else it stays in doubt
		o.decider.Settled(ours)
	}
	for i, w := range all {
		if out, hand, is := o.forwarding.custody.PendingOffer(s.Webhooks[i].ID); is && hs[i].Reply == shardmap.CustodyStateLost {
			o.resolveInDoubt(inDoubt{w, s.Webhooks[i].ID, hand, out}, shardmap.CustodyStateLost)
		}
	}
}

// dropTransferred ends what another member has. Guards against one that has come back meanwhile, and against one taken
// on anew before it has ended here: both wait for the names.
func (o *Handoff) dropTransferred(s Transfer, all []eventloop.Owed, hs []Outcome) {
	o.forwarding.custody.UpdateUnsynced(func(k *shardmap.CustodyTable) {
		var ids []api.WebhookID
		for i, w := range all {
			if hs[i].Reply == shardmap.CustodyTaken && k.HandleReply(s.Webhooks[i].ID, s.Webhooks[i].Handoff, shardmap.CustodyTaken) == shardmap.DropCopy {
				ids = append(ids, w.ID)
			}
		}
		if len(ids) > 0 {
			o.decider.Passed(ids)
		}
	})
}
