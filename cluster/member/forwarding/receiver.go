package forwarding

import (
	"log/slog"
	"sync"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/member/peer"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// Receiver accepts the webhooks that other members send, and answers their custody queries. Its methods may be called
// concurrently.
type Receiver struct {
	Config

	mu           sync.Mutex
	clockOffsets map[cluster.MemberID]*shardmap.ClockOffset
}

// NewReceiver returns a Receiver, which has no estimate of other members' clocks yet.
func NewReceiver(c Config) *Receiver {
	return &Receiver{Config: c, clockOffsets: map[cluster.MemberID]*shardmap.ClockOffset{}}
}

// admitFunc decides whether a webhook of a transfer may be accepted here. It also returns the decision by the shard
// map.
type admitFunc func(peer.Transfer, shardmap.TransferredWebhook) (shardmap.Admission, shardmap.Decision)

// HandleWebhook accepts a webhook that a client submitted to another member, or redirects the sender to the owner.
func (r *Receiver) HandleWebhook(ctx *fasthttp.RequestCtx) { r.receive(ctx, r.admitByMap) }

// HandleTransfer accepts webhooks that were pending at another member. The sender hands them off by a move, or because
// this member owns their range.
func (r *Receiver) HandleTransfer(ctx *fasthttp.RequestCtx) { r.receive(ctx, r.admitHandoff) }

// admitByMap admits webhooks that this member owns by its map. While a move of the range is open and this member has
// released the lease or closed the range, it rejects them with AdmissionMapStale, and the sender keeps them: otherwise
// the next webhook of the same key, which is sent to the move's target, could overtake them.
func (r *Receiver) admitByMap(t peer.Transfer, w shardmap.TransferredWebhook) (shardmap.Admission, shardmap.Decision) {
	shardMap := r.Ownership.Map()
	if shardMap == nil {
		return shardmap.AdmissionMapStale, shardmap.Decision{}
	}
	admission, decision := shardMap.AdmitDestination(r.Ownership.LocalMember(), w.Destination, t.MapVersion)
	held := r.Ownership.HoldsRange(decision.Range)
	if admission == shardmap.AdmissionAccepted && decision.Move.IsOpen() && (!held || r.Ownership.IsClosed(decision)) {
		admission = shardmap.AdmissionMapStale
	}
	return admission, decision
}

// admitHandoff admits webhooks that are handed off to this member by a move. Webhooks that are handed off by no move
// are admitted as by admitByMap.
func (r *Receiver) admitHandoff(t peer.Transfer, w shardmap.TransferredWebhook) (shardmap.Admission,
	shardmap.Decision) {
	shardMap := r.Ownership.Map()
	if shardMap == nil || t.Move == 0 {
		return r.admitByMap(t, w)
	}
	return shardMap.AdmitTransfer(t.Move, r.Ownership.Self), shardmap.Decision{}
}

func (r *Receiver) receive(ctx *fasthttp.RequestCtx, admit admitFunc) {
	var transfer peer.Transfer
	if err := transport.Decode(ctx.Request.Body(), &transfer); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	reply := peer.TransferReply{Incarnation: r.Custody.Incarnation}
	if transfer.Incarnation != reply.Incarnation {
		// The transfer is meant for a custody directory that was lost, or whose incarnation the sender doesn't know yet.
		// Nothing is accepted, and the reply tells the sender the incarnation.
		ctx.SetBody(transport.Encode(reply))
		return
	}
	offset := r.observeClock(transport.Sender(ctx), transfer.SentAt)
	r.Handoffs.ApplyState(transfer.Learned, offset)
	for i, w := range transfer.Webhooks {
		transfer.Webhooks[i] = w.WithClockShift(offset)
	}
	end := r.Ownership.BeginAdmission()
	defer end()
	in := newIntake(r, transfer, admit)
	in.run()
	reply.Outcomes = in.outcomes
	ctx.SetBody(transport.Encode(reply))
}

// observeClock updates the estimate of another member's clock from the time at which a message of it was sent. It
// returns how far this member's clock is ahead of the sender's.
func (r *Receiver) observeClock(sender cluster.MemberID, sentAt api.Micros) api.Micros {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clockOffsets[sender] == nil {
		r.clockOffsets[sender] = &shardmap.ClockOffset{}
	}
	return r.clockOffsets[sender].Observe(sentAt, inflight.Now(), r.MaxClockDrift)
}

// HandleQuery answers the custody queries of a member for webhooks in doubt. CustodyNeverTaken is recorded before the reply
// is sent, so that an offer that is still in flight is rejected when it arrives.
func (r *Receiver) HandleQuery(ctx *fasthttp.RequestCtx) {
	var queries []peer.CustodyQuery
	if err := transport.Decode(ctx.Request.Body(), &queries); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	replies := make([]shardmap.CustodyReply, len(queries))
	ids := make([]shardmap.WebhookID, len(queries))
	now := inflight.Now()
	for i, q := range queries {
		ids[i] = q.ID
		switch {
		case q.Incarnation == 0: // offered before the incarnation was known: no member accepts such an offer
			replies[i] = shardmap.CustodyNeverTaken
		case q.Incarnation != r.Custody.Incarnation:
			replies[i] = shardmap.CustodyStateLost
		}
	}
	err := r.Custody.Update(ids, func(t *shardmap.CustodyTable) {
		for i, q := range queries {
			if replies[i] == shardmap.CustodyUnknown {
				replies[i], _ = t.HandleQuery(q.ID, q.Handoff, now+q.TTLLeft)
			}
		}
	})
	if err != nil {
		ctx.Error("custody records not written", fasthttp.StatusServiceUnavailable)
		return
	}
	slog.Debug("custody of webhooks queried", "member", transport.Sender(ctx), "webhooks", len(queries))
	ctx.SetBody(transport.Encode(replies))
}
