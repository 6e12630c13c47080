package member

import (
	"log/slog"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// inDoubt is one webhook that another member may have, as it stands when that is asked.
type inDoubt struct {
	eventloop.Owed
	name shardmap.WebhookID
	hand shardmap.HandoffNumber
	out  shardmap.Offer
}

// queryInDoubt asks a member that may have webhooks, of which it is not the home any more, or not in that life.
func (o *Handoff) queryInDoubt(at cluster.MemberID, all []eventloop.Owed) {
	f, now := o.forwarding, inflight.Now()
	var doubts []inDoubt
	var asks []CustodyQuery
	for _, w := range all {
		name := NameOf(w.RequestID)
		if out, hand, is := f.custody.PendingOffer(name); is && out.To == at {
			doubts = append(doubts, inDoubt{w, name, hand, out})
			asks = append(asks, CustodyQuery{Name: name, Hand: hand, TTLLeft: w.TTL - now, Incarnation: out.Incarnation})
		}
	}
	if len(asks) == 0 {
		return
	}
	replies := make([]shardmap.CustodyReply, len(asks))
	status, raw, err := f.client.Call(at, QueryPath, transport.Encode(asks), inflight.Span(f.ownership.leaseTTL/4))
	var said []shardmap.CustodyReply
	if err == nil && status == fasthttp.StatusOK {
		err = transport.Decode(raw, &said)
	}
	if len(said) == len(asks) {
		replies = said
	} else {
		slog.Debug("doubts not settled", "at", at, "webhooks", len(asks), "status", status, "why", err)
	}
	for i, d := range doubts {
		o.resolveInDoubt(d, replies[i])
	}
}

// resolveInDoubt does what a reply says, or what holds where there is none.
func (o *Handoff) resolveInDoubt(d inDoubt, r shardmap.CustodyReply) {
	names, now := o.forwarding.custody, inflight.Now()
	what := d.out.Resolve(r, o.isOwnerReplaced(d), o.eventType(d.Event), d.MayRun, d.TTL, now)
	is := func(k *shardmap.CustodyTable) bool { // nothing else was heard meanwhile
		_, hand, out := k.OutstandingOffer(d.name)
		return out && hand == d.hand
	}
	still := false
	switch what {
	case shardmap.StayInDoubt:
		return
	case shardmap.DropCopy:
		names.UpdateUnsynced(func(k *shardmap.CustodyTable) {
			if still = k.HandleReply(d.name, d.hand, shardmap.CustodyTaken) == shardmap.DropCopy; still { // its end first
				o.decider.Passed([]api.WebhookID{d.ID})
			}
		})
	case shardmap.KeepCopy:
		err := names.Update([]shardmap.WebhookID{d.name}, func(k *shardmap.CustodyTable) {
			still = k.HandleReply(d.name, d.hand, shardmap.CustodyNever) == shardmap.KeepCopy
		})
		if still = still && err == nil; still {
			o.decider.Settled([]inflight.RequestID{d.RequestID})
		}
	default:
		ran := map[inflight.RequestID]*inflight.Past{d.RequestID: {Attempts: d.Attempts + 1, MayRun: d.out.SentAt}}
		if !o.decider.Returned(ran) { // first, so that a restart finds it
			return
		}
		err := names.Update([]shardmap.WebhookID{d.name}, func(k *shardmap.CustodyTable) {
			if still = is(k); still {
				k.Fork(d.name)
			}
		})
		if still = still && err == nil; still && what == shardmap.ForkCopy {
			o.decider.Settled([]inflight.RequestID{d.RequestID})
		} else if still {
			o.decider.GiveUp(d.ID)
		}
	}
	if still {
		slog.Info("doubt settled", "webhook", d.RequestID, "ours", what != shardmap.DropCopy, "at", d.out.To, "said", r)
		o.wake()
	}
}

// isOwnerReplaced is whether, by the map, the member that may have a webhook can't call for it any more: its range was
// granted to another since.
func (o *Handoff) isOwnerReplaced(d inDoubt) bool {
	chart := o.forwarding.ownership.Map()
	if chart == nil {
		return false
	}
	r, ok := chart.RangeOf(chart.KeyOf(d.Destination))
	return ok && len(chart.MisplacedOf(d.Destination)) == 0 && r.Epoch > d.out.Epoch && r.Owner != d.out.To &&
		!(r.Move.IsOpen() && r.Move.To == d.out.To)
}
