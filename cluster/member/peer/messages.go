// Package peer defines the messages by which members transfer webhooks to each other, and a client for them. Each
// message names the incarnation of the receiver's custody directory that it is meant for. A member that has lost its
// directory no longer knows what it accepted. The incarnation keeps its replies from being taken for answers to offers
// that were addressed to the lost directory.
package peer

import (
	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// The HTTP paths that members serve for each other.
const (
	WebhookPath  = "/fleet/webhook"   // a Transfer of one webhook, from the member that its client sent it to
	TransferPath = "/fleet/move/owed" // a Transfer of pending webhooks, or of learned state
	QueryPath    = "/fleet/settle"    // a []CustodyQuery, answered with a []shardmap.CustodyReply
)

// Transfer offers webhooks to the owner of their range, or to the target of its move.
type Transfer struct {
	MapVersion  cluster.Version               `cbor:"1,keyasint"`           // version of the sender's shard map
	SentAt      api.Micros                    `cbor:"2,keyasint"`           // by the sender's clock, as all times in it
	Move        shardmap.MoveID               `cbor:"3,keyasint,omitempty"` // move that hands them off; 0: to the owner
	Webhooks    []shardmap.TransferredWebhook `cbor:"4,keyasint"`           // in the order accepted
	Incarnation uint64                        `cbor:"6,keyasint"`           // of the receiver's custody directory

	// Learned is the state that the sender has learned about the move's destinations. It is sent once no call to them is
	// in flight.
	Learned []api.DestinationState `cbor:"5,keyasint,omitempty"`
}

// TransferReply is the reply to a Transfer. If its incarnation differs from the Transfer's, nothing was accepted and
// there are no outcomes.
type TransferReply struct {
	Incarnation uint64    `cbor:"1,keyasint"`
	Outcomes    []Outcome `cbor:"2,keyasint,omitempty"` // one for each webhook
}

// Outcome is the outcome of one webhook of a Transfer.
type Outcome struct {
	Reply      shardmap.CustodyReply `cbor:"1,keyasint,omitempty"`
	Admission  shardmap.Admission    `cbor:"2,keyasint,omitempty"` // why the receiver's map led to CustodyRejected
	Decision   shardmap.Decision     `cbor:"3,keyasint,omitempty"` // with Admission: the decision by the receiver's map
	RetryAfter api.Micros            `cbor:"4,keyasint,omitempty"` // CustodyRejected by the dispatcher: when to retry
	Duplicate  bool                  `cbor:"5,keyasint,omitempty"` // a webhook with its request ID is pending there
}

// CustodyQuery asks whether a member has accepted a webhook that was offered to it with a hand-off number. TTLLeft is
// the time until the webhook expires. Incarnation is that of the custody directory that the webhook was offered to.
type CustodyQuery struct {
	ID          shardmap.WebhookID     `cbor:"1,keyasint"`
	Handoff     shardmap.HandoffNumber `cbor:"2,keyasint"`
	TTLLeft     api.Micros             `cbor:"3,keyasint"`
	Incarnation uint64                 `cbor:"4,keyasint"`
}

// EncodeWebhook returns a webhook in the form in which it is transferred, with the given ID and hand-off number.
func EncodeWebhook(w eventloop.Parked, id shardmap.WebhookID,
	handoff shardmap.HandoffNumber) shardmap.TransferredWebhook {
	return shardmap.TransferredWebhook{
		ID:           id,
		Handoff:      handoff,
		EventType:    w.EventType,
		Tenant:       w.Tenant,
		Key:          w.OrderingKey,
		Destination:  w.Destination,
		Deadline:     w.Deadline,
		Attempts:     w.Attempts,
		FirstRunAt:   w.MayHaveRunAt,
		Zone:         w.Zone,
		AcceptOrder:  uint64(w.ID),
		JournalEntry: w.Encode(),
	}
}

// DecodeWebhook returns the webhook that was transferred. The caller has already converted its times to this member's
// clock (shardmap.TransferredWebhook.WithClockShift).
func DecodeWebhook(t shardmap.TransferredWebhook) (*inflight.Webhook, error) {
	w, err := inflight.DecodeWebhook(0, t.JournalEntry)
	if err != nil {
		return nil, err
	}
	w.ReceivedAt, w.Deadline = inflight.Now(), t.Deadline
	if t.Attempts > 0 || t.FirstRunAt != api.Never {
		w.Prior = &inflight.PriorAttempts{Attempts: t.Attempts, MayHaveRunAt: t.FirstRunAt, Zone: t.Zone}
	}
	return w, nil
}
