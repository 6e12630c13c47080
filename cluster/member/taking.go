package member

import (
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// intake is webhooks of one message, taken on in their order, each once, whatever is said twice.
type intake struct {
	*forwarder
	transfer  Transfer
	outcomes  []Outcome
	before    []SavedRecord // records before, where this message takes them on; by place in the message
	accepted  []*inflight.Webhook
	positions []int // their places in the message
	returned  map[inflight.RequestID]*inflight.Past
	callable  []inflight.RequestID // may be called from here on
}

func (t *intake) run(admit func(Transfer, shardmap.TransferredWebhook) (shardmap.Admission, shardmap.Decision)) {
	names, webhooks := make([]shardmap.WebhookID, len(t.transfer.Webhooks)), make([]*inflight.Webhook, len(t.transfer.Webhooks))
	t.before, t.returned = make([]SavedRecord, len(t.transfer.Webhooks)), map[inflight.RequestID]*inflight.Past{}
	for i, c := range t.transfer.Webhooks {
		names[i] = c.ID
		if w, err := DecodeWebhook(c); err == nil && t.exchange.Named(c.Destination) {
			webhooks[i] = w
		}
	}
	err := t.custody.Update(names, func(k *shardmap.CustodyTable) {
		now := inflight.Now()
		if !t.writeReturned(k, webhooks) {
			return
		}
		for i, c := range t.transfer.Webhooks {
			t.decide(k, i, c, webhooks[i], now, admit)
		}
	})
	if err != nil { // what was to be taken on is refused by this try, of the rest nothing is told
		clear(t.outcomes)
		for n, i := range t.positions {
			t.handoff.RecordArrival(t.accepted[n].RequestID, 0)
			t.outcomes[i] = Outcome{Reply: shardmap.CustodyRejected, RetryAfter: inflight.AnswerWithin}
		}
		return
	}
	t.submit()
	t.recordArrivals(names)
}

// writeReturned has what comes back written with what it brings along, before the record says that it is here;
// names are locked.
func (t *intake) writeReturned(k *shardmap.CustodyTable, webhooks []*inflight.Webhook) (written bool) {
	for i, c := range t.transfer.Webhooks {
		if w := webhooks[i]; w != nil && k.ReturnsCopy(c.ID, c.Handoff) && w.Past != nil {
			t.returned[w.RequestID] = w.Past
		}
	}
	return len(t.returned) == 0 || t.handoff.decider.Returned(t.returned)
}

// decide decides one; names are locked.
func (t *intake) decide(k *shardmap.CustodyTable, i int, c shardmap.TransferredWebhook, w *inflight.Webhook, now api.Micros,
	admit func(Transfer, shardmap.TransferredWebhook) (shardmap.Admission, shardmap.Decision)) {
	admission, told := admit(t.transfer, c)
	t.before[i] = t.custody.SaveRecord(c.ID)
	reply, what := k.HandleOffer(c.ID, c.Handoff, c.TTL, now, admission == shardmap.AdmissionAccepted && w != nil)
	if t.outcomes[i].Reply = reply; reply == shardmap.CustodyRejected && admission != shardmap.AdmissionAccepted {
		t.outcomes[i].Admission, t.outcomes[i].Verdict = admission, told
	}
	switch what {
	case shardmap.OfferTaken:
		w.InDoubt = true // until its record says that it came
		t.accepted, t.positions = append(t.accepted, w), append(t.positions, i)
	case shardmap.OfferReturnsCopy:
		t.callable = append(t.callable, w.RequestID)
	default:
		return
	}
	t.handoff.RecordArrival(w.RequestID, t.transfer.Move)
}

// submit has what is new taken on; what is refused is as if it had not been offered.
func (t *intake) submit() {
	t.exchange.HandInAll(t.accepted, func(n int, what inflight.Answer, retryIn api.Micros) {
		i := t.positions[n]
		switch what {
		case inflight.Taken:
			t.ownership.session.Received.Add(1)
			t.exchange.Accepted.Add(1)
		case inflight.Doubled: // it came here by another way, and is this member's already
			t.outcomes[i].Duplicate = true
		default:
			t.handoff.RecordArrival(t.accepted[n].RequestID, 0)
			t.outcomes[i] = Outcome{Reply: shardmap.CustodyRejected, RetryAfter: retryIn}
		}
	})
}

// recordArrivals notes what has come, before it may be called and before that is said.
func (t *intake) recordArrivals(names []shardmap.WebhookID) {
	var after []shardmap.WebhookID
	for _, i := range t.positions {
		after = append(after, names[i])
	}
	note := func(k *shardmap.CustodyTable) {
		for _, i := range t.positions {
			if w := t.before[i]; t.outcomes[i].Reply == shardmap.CustodyRejected {
				k.Rollback(w.Name, w.Record, w.Known)
			} else {
				k.ConfirmStored(w.Name)
			}
		}
	}
	if len(after) > 0 && t.custody.Update(after, note) != nil { // Look tries again
		clear(t.outcomes)
	} else {
		for n, i := range t.positions {
			if t.outcomes[i].Reply == shardmap.CustodyTaken {
				t.callable = append(t.callable, t.accepted[n].RequestID)
			}
		}
	}
	t.handoff.decider.Settled(t.callable)
}
