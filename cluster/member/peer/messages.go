// Package peer has the messages by which members transfer webhooks to each other, and a client that distinguishes the
// incarnations of a member's folder, so that a reply about a lost folder is not taken for one about its replacement.
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
	TransferPath = "/fleet/move/owed" // a Transfer of pending webhooks, or of what was learned
	QueryPath    = "/fleet/settle"    // []CustodyQuery, answered with []shardmap.CustodyReply
)

// Transfer offers webhooks to the owner of their range, or to the target of its move.
type Transfer struct {
	MapVersion  cluster.Version               `cbor:"1,keyasint"`           // by which they were sent
	SentAt      api.Micros                    `cbor:"2,keyasint"`           // by the sender's clock, as the times within
	Move        shardmap.MoveID               `cbor:"3,keyasint,omitempty"` // by which they are handed off; 0: to the owner
	Webhooks    []shardmap.TransferredWebhook `cbor:"4,keyasint"`           // in the order accepted
	Incarnation uint64                        `cbor:"6,keyasint"`           // of the folder that they are meant for

	// Learned is the state of the move's destinations that the sender has learned, once no call to them is in flight.
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
	Admission  shardmap.Admission    `cbor:"2,keyasint,omitempty"` // CustodyRejected: the reason, by the map
	Decision   shardmap.Decision     `cbor:"3,keyasint,omitempty"` // CustodyRejected: the decision by the map there
	RetryAfter api.Micros            `cbor:"4,keyasint,omitempty"` // CustodyRejected for lack of capacity
	Duplicate  bool                  `cbor:"5,keyasint,omitempty"` // another webhook with its request ID is pending there
}

// CustodyQuery queries whether a webhook was accepted by a hand-off number; Incarnation is of the folder that it was
// offered to.
type CustodyQuery struct {
	ID          shardmap.WebhookID     `cbor:"1,keyasint"`
	Handoff     shardmap.HandoffNumber `cbor:"2,keyasint"`
	TTLLeft     api.Micros             `cbor:"3,keyasint"`
	Incarnation uint64                 `cbor:"4,keyasint"`
}

// EncodeWebhook returns the form in which a webhook is transferred, with this ID and hand-off number.
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

// DecodeWebhook returns the webhook that was handed over. Its times have to be by this member's clock already.
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
