package forwarding

import (
	"rowanlink/cluster/member/custody"
	"rowanlink/cluster/member/peer"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// intake accepts the webhooks of one transfer in their order, and each webhook once, even if the message is duplicated.
type intake struct {
	*Receiver
	transfer peer.Transfer
	admit    admitFunc

	// The following slices have one element for each element of transfer.Webhooks.
	ids      []shardmap.WebhookID
	webhooks []*inflight.Webhook      // nil: the webhook can't be decoded, or its destination is unknown here
	before   []custody.RecordSnapshot // the custody records before this transfer
	outcomes []peer.Outcome

	arrivals []arrival // webhooks that are new here
	// returned holds the prior attempts of webhooks that were in doubt here and are transferred back.
	returned map[inflight.RequestID]*inflight.PriorAttempts
	callable []inflight.RequestID // webhooks that may be called once their custody records are written
}

// arrival is a webhook that is new here.
type arrival struct {
	webhook  *inflight.Webhook
	position int // in the transfer
}

func newIntake(r *Receiver, t peer.Transfer, admit admitFunc) *intake {
	in := &intake{
		Receiver: r,
		transfer: t,
		admit:    admit,
		ids:      make([]shardmap.WebhookID, len(t.Webhooks)),
		webhooks: make([]*inflight.Webhook, len(t.Webhooks)),
		before:   make([]custody.RecordSnapshot, len(t.Webhooks)),
		outcomes: make([]peer.Outcome, len(t.Webhooks)),
		returned: map[inflight.RequestID]*inflight.PriorAttempts{},
	}
	for i, transferred := range t.Webhooks {
		in.ids[i] = transferred.ID
		if w, err := peer.DecodeWebhook(transferred); err == nil && r.Inbox.HasDestination(transferred.Destination) {
			in.webhooks[i] = w
		}
	}
	return in
}

// run accepts the webhooks that are admitted, and sets the outcomes of all.
func (in *intake) run() {
	err := in.Custody.Update(in.ids, func(t *shardmap.CustodyTable) {
		now := inflight.Now()
		if !in.writeReturned(t) {
			return
		}
		for i := range in.transfer.Webhooks {
			in.decide(t, i, now)
		}
	})
	if err != nil { // webhooks that would have been accepted are rejected; the other outcomes become CustodyUnknown
		clear(in.outcomes)
		for _, a := range in.arrivals {
			in.reject(a, inflight.AnswerTimeout)
		}
		return
	}
	in.submit()
	in.recordArrivals()
}

// reject sets the outcome of an arrival that is not accepted by this transfer.
func (in *intake) reject(a arrival, retryAfter api.Micros) {
	in.Handoffs.RecordArrival(a.webhook.RequestID, 0)
	in.outcomes[a.position] = peer.Outcome{Reply: shardmap.CustodyRejected, RetryAfter: retryAfter}
}

// writeReturned writes the prior attempts of webhooks that are transferred back, before their custody records are
// written. It returns false if that fails. The custody table is locked.
func (in *intake) writeReturned(t *shardmap.CustodyTable) (written bool) {
	for i, transferred := range in.transfer.Webhooks {
		w := in.webhooks[i]
		if w != nil && t.ReturnsCopy(transferred.ID, transferred.Handoff) && w.Prior != nil {
			in.returned[w.RequestID] = w.Prior
		}
	}
	return len(in.returned) == 0 || in.Loop.MergePriorAttempts(in.returned)
}

// decide decides whether one webhook of the transfer is accepted. The custody table is locked.
func (in *intake) decide(t *shardmap.CustodyTable, i int, now api.Micros) {
	transferred, w := in.transfer.Webhooks[i], in.webhooks[i]
	admission, decision := in.admit(in.transfer, transferred)
	in.before[i] = in.Custody.SnapshotRecord(transferred.ID)
	admits := admission == shardmap.AdmissionAccepted && w != nil
	reply, outcome := t.HandleOffer(transferred.ID, transferred.Handoff, transferred.Deadline, now, admits)
	in.outcomes[i].Reply = reply
	if reply == shardmap.CustodyRejected && admission != shardmap.AdmissionAccepted {
		in.outcomes[i].Admission, in.outcomes[i].Decision = admission, decision
	}
	switch outcome {
	case shardmap.OfferTaken:
		w.InDoubt = true // until recordArrivals has written its custody record
		in.arrivals = append(in.arrivals, arrival{webhook: w, position: i})
	case shardmap.OfferReturnsCopy:
		in.callable = append(in.callable, w.RequestID)
	default:
		return
	}
	in.Handoffs.RecordArrival(w.RequestID, in.transfer.Move)
}

// submit submits the arrivals to the dispatcher. Arrivals that the dispatcher rejects get the outcome CustodyRejected.
func (in *intake) submit() {
	webhooks := make([]*inflight.Webhook, 0, len(in.arrivals))
	for _, a := range in.arrivals {
		webhooks = append(webhooks, a.webhook)
	}
	in.Inbox.SubmitAll(webhooks, func(n int, answer inflight.Answer, retryAfter api.Micros) {
		a := in.arrivals[n]
		switch answer {
		case inflight.Accepted:
			in.Metrics.Received.Add(1)
			in.Inbox.Accepted.Add(1)
		case inflight.Duplicate: // the webhook was also submitted to this member, and is pending
			in.outcomes[a.position].Duplicate = true
		default:
			in.reject(a, retryAfter)
		}
	})
}

// recordArrivals writes the custody records of the arrivals. That has to be done before their destinations are called
// and before the reply is sent.
func (in *intake) recordArrivals() {
	ids := make([]shardmap.WebhookID, 0, len(in.arrivals))
	for _, a := range in.arrivals {
		ids = append(ids, in.ids[a.position])
	}
	if len(ids) > 0 && in.Custody.Update(ids, in.confirmArrivals) != nil {
		clear(in.outcomes) // CustodyUnknown: the sender offers them again or queries
	} else {
		for _, a := range in.arrivals {
			if in.outcomes[a.position].Reply == shardmap.CustodyTaken {
				in.callable = append(in.callable, a.webhook.RequestID)
			}
		}
	}
	in.Loop.ResolveInDoubt(in.callable)
}

// confirmArrivals records which arrivals the dispatcher has accepted. The custody table is locked.
func (in *intake) confirmArrivals(t *shardmap.CustodyTable) {
	for _, a := range in.arrivals {
		before := in.before[a.position]
		if in.outcomes[a.position].Reply == shardmap.CustodyRejected {
			t.Rollback(before.ID, before.Record, before.Exists)
		} else {
			t.ConfirmStored(before.ID)
		}
	}
}
