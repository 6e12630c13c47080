package member

import (
	"log/slog"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// HandleWebhook takes a webhook that its entry sent here, or says where it goes.
func (f *forwarder) HandleWebhook(ctx *fasthttp.RequestCtx) {
	f.receive(ctx, func(s Transfer, c shardmap.TransferredWebhook) (admission shardmap.Admission, v shardmap.Decision) {
		if chart := f.ownership.Map(); chart != nil {
			return f.admit(chart, s, c)
		}
		return shardmap.AdmissionMapStale, v
	})
}

// admit guards against a webhook taken on by a move's source that has let go, or is about to, which the next
// one of its key, sent to the target, overtakes: its sender keeps it.
func (f *forwarder) admit(chart *shardmap.Map, s Transfer, c shardmap.TransferredWebhook) (shardmap.Admission, shardmap.Decision) {
	admission, v := chart.AdmitDestination(f.ownership.Claimant(), c.Destination, s.MapVersion)
	_, held := f.ownership.session.Holds(cluster.RangeOwnerResource(v.Range))
	if admission == shardmap.AdmissionAccepted && v.Move.IsOpen() && (!held || f.ownership.IsClosed(v)) {
		admission = shardmap.AdmissionMapStale
	}
	return admission, v
}

// HandleTransfer takes what another member owes and hands on: by a move, or since the home is here.
func (f *forwarder) HandleTransfer(ctx *fasthttp.RequestCtx) {
	f.receive(ctx, func(s Transfer, c shardmap.TransferredWebhook) (admission shardmap.Admission, v shardmap.Decision) {
		chart := f.ownership.Map()
		switch {
		case chart == nil:
			return shardmap.AdmissionMapStale, v
		case s.Move == 0:
			return f.admit(chart, s, c)
		}
		return chart.AdmitTransfer(s.Move, f.ownership.self), v
	})
}

func (f *forwarder) receive(ctx *fasthttp.RequestCtx, admit func(Transfer, shardmap.TransferredWebhook) (shardmap.Admission,
	shardmap.Decision)) {
	var s Transfer
	if err := transport.Decode(ctx.Request.Body(), &s); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	said := TransferReply{Incarnation: f.custody.Incarnation}
	if s.Incarnation != said.Incarnation { // guards against a yes for what went down with the folder that it was sent to
		ctx.SetBody(transport.Encode(said))
		return
	}
	lag := f.clockOffset(transport.Sender(ctx), s.SentAt)
	f.handoff.ApplyState(s.Learned, lag)
	for i, c := range s.Webhooks {
		s.Webhooks[i] = c.WithClockShift(lag)
	}
	f.ownership.admissionMu.RLock() // until what is admitted is in
	defer f.ownership.admissionMu.RUnlock()
	t := intake{forwarder: f, transfer: s, outcomes: make([]Outcome, len(s.Webhooks))}
	t.run(admit)
	said.Outcomes = t.outcomes
	ctx.SetBody(transport.Encode(said))
}

// clockOffset is by how much this member's clock shows more than another's.
func (f *forwarder) clockOffset(from cluster.MemberID, sentAt api.Micros) api.Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clockOffsets[from] == nil {
		f.clockOffsets[from] = &shardmap.ClockOffset{}
	}
	return f.clockOffsets[from].Observe(sentAt, inflight.Now(), f.maxClockDrift)
}

// HandleQuery answers a member in doubt. A no is kept: what is still on its way comes in vain.
func (f *forwarder) HandleQuery(ctx *fasthttp.RequestCtx) {
	var all []CustodyQuery
	if err := transport.Decode(ctx.Request.Body(), &all); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	replies, names, now := make([]shardmap.CustodyReply, len(all)), make([]shardmap.WebhookID, len(all)), inflight.Now()
	for i, a := range all {
		switch names[i] = a.Name; {
		case a.Incarnation == 0: // sent before any life was known: no folder takes that
			replies[i] = shardmap.CustodyNever
		case a.Incarnation != f.custody.Incarnation:
			replies[i] = shardmap.CustodyStateLost
		}
	}
	err := f.custody.Update(names, func(k *shardmap.CustodyTable) {
		for i, a := range all {
			if replies[i] == shardmap.CustodyUnknown {
				replies[i], _ = k.HandleQuery(a.Name, a.Hand, now+a.TTLLeft)
			}
		}
	})
	if err != nil {
		ctx.Error("names not written", fasthttp.StatusServiceUnavailable)
		return
	}
	slog.Debug("asked who has webhooks", "by", transport.Sender(ctx), "webhooks", len(all))
	ctx.SetBody(transport.Encode(replies))
}
