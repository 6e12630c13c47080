package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// WebhookID identifies a webhook in the whole cluster until its end. Origin is the member that accepted the webhook
// from its client.
type WebhookID struct {
	Origin      cluster.MemberID `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"` // of the origin's data folder: local ids start anew with it
	LocalID     uint64           `cbor:"3,keyasint"` // never used twice in that incarnation
}

// TransferredWebhook is a webhook with what its next owner must know about its past. Times are by the sender's clock
// until WithClockShift converts them.
type TransferredWebhook struct {
	ID           WebhookID         `cbor:"1,keyasint"`
	Handoff      HandoffNumber     `cbor:"2,keyasint"`
	EventType    api.EventTypeID   `cbor:"3,keyasint"`
	Tenant       api.TenantID      `cbor:"4,keyasint"`
	Key          api.OrderingKey   `cbor:"5,keyasint"`
	Destination  api.DestinationID `cbor:"6,keyasint"`
	Deadline     api.Micros        `cbor:"7,keyasint"` // when it expires
	Attempts     int               `cbor:"8,keyasint"`
	FirstRunAt   api.Micros        `cbor:"9,keyasint"`  // of the first attempt that may have run, or api.Never
	Zone         api.ZoneID        `cbor:"10,keyasint"` // of that attempt's endpoint
	AcceptOrder  uint64            `cbor:"11,keyasint"` // position among the sender's webhooks: the order of one key
	JournalEntry []byte            `cbor:"12,keyasint"` // request id, token and body, as in the sender's journal
}

// WithClockShift returns the webhook with its times converted to a clock that is ahead by offset.
func (w TransferredWebhook) WithClockShift(offset api.Micros) TransferredWebhook {
	w.Deadline += offset
	if w.FirstRunAt != api.Never {
		w.FirstRunAt += offset
	}
	return w
}

// TransferDecision is what the source of a move does with a webhook of the range.
type TransferDecision uint8

// The decisions.
const (
	TransferWebhook   TransferDecision = iota + 1
	RejectWebhook                      // too late to be sent, and it never ran: rejected at once
	DeadLetterWebhook                  // it may have run and may not run again: dead-lettered at once
)

// DecideTransfer decides about a webhook that has no call in flight. minLatency is the least time that a transfer and
// the first attempt at the target take together; maxAttempts is the most attempts in all.
func (w TransferredWebhook) DecideTransfer(
	eventType api.EventType, minLatency api.Micros, maxAttempts int, now api.Micros,
) TransferDecision {
	mayHaveRun := w.FirstRunAt != api.Never
	tooLate := now+minLatency >= w.Deadline || w.Attempts >= maxAttempts
	if mayHaveRun && eventType.Semantics == api.Deduplicated {
		tooLate = tooLate || now+minLatency >= w.FirstRunAt+eventType.DedupWindow
	}
	switch {
	case mayHaveRun && (tooLate || eventType.Semantics == api.AtMostOnce):
		return DeadLetterWebhook
	case tooLate:
		return RejectWebhook
	}
	return TransferWebhook
}

// SortByAcceptOrder sorts webhooks as their source accepted them, so that those of one key arrive in order.
func SortByAcceptOrder(webhooks []TransferredWebhook) {
	slices.SortStableFunc(webhooks, func(a, b TransferredWebhook) int {
		return cmp.Compare(a.AcceptOrder, b.AcceptOrder)
	})
}
