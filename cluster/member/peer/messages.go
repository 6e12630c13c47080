// Package peer is how members hand webhooks to each other: the messages and a client that tells apart the incarnations
// of a member's folder, so that an answer for a folder that was lost is not taken for one of the folder in use.
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

	// Learned is what the sender has learned of the move's destinations, once it calls none of them any more.
	Learned []api.DestinationState `cbor:"5,keyasint,omitempty"`
}

// TransferReply is the answer to a Transfer. Where the incarnation is not the one named in that, nothing was accepted
// and there are no outcomes.
type TransferReply struct {
	Incarnation uint64    `cbor:"1,keyasint"`
	Outcomes    []Outcome `cbor:"2,keyasint,omitempty"` // one for each webhook
}

// Outcome is what became of one webhook of a Transfer.
type Outcome struct {
	Reply      shardmap.CustodyReply `cbor:"1,keyasint,omitempty"`
	Admission  shardmap.Admission    `cbor:"2,keyasint,omitempty"` // CustodyRejected: why, by the map
	Decision   shardmap.Decision     `cbor:"3,keyasint,omitempty"` // CustodyRejected: what the map there says
	RetryAfter api.Micros            `cbor:"4,keyasint,omitempty"` // CustodyRejected for want of capacity
	Duplicate  bool                  `cbor:"5,keyasint,omitempty"` // another webhook with its request id is pending there
}

// CustodyQuery asks whether a webhook was ever accepted by a handoff number, of the folder that it was offered to.
type CustodyQuery struct {
	ID          shardmap.WebhookID     `cbor:"1,keyasint"`
	Handoff     shardmap.HandoffNumber `cbor:"2,keyasint"`
	TTLLeft     api.Micros             `cbor:"3,keyasint"`
	Incarnation uint64                 `cbor:"4,keyasint"`
}

// EncodeWebhook returns a webhook as it is handed over with this id and handoff number.
func EncodeWebhook(w eventloop.Parked, id shardmap.WebhookID,
	handoff shardmap.HandoffNumber) shardmap.TransferredWebhook {
	return shardmap.TransferredWebhook{
		ID:           id,
		Handoff:      handoff,
		EventType:    w.EventType,
		Tenant:       w.Tenant,
		Key:          w.OrderingKey,
		Destination:  w.Destination,
		TTL:          w.Deadline,
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
	w.ReceivedAt, w.Deadline = inflight.Now(), t.TTL
	if t.Attempts > 0 || t.FirstRunAt != api.Never {
		w.Prior = &inflight.PriorAttempts{Attempts: t.Attempts, MayHaveRunAt: t.FirstRunAt, Zone: t.Zone}
	}
	return w, nil
}
