package member

import (
	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// The paths on which members hear each other.
const (
	WebhookPath  = "/fleet/webhook" // one, from its client's entry
	TransferPath = "/fleet/move/owed"
	QueryPath    = "/fleet/settle"
)

// Transfer is webhooks on their way to their home.
type Transfer struct {
	MapVersion  cluster.Version               `cbor:"1,keyasint"`           // of the map that they were sent by
	SentAt      api.Micros                    `cbor:"2,keyasint"`           // by their sender's clock, as the times within
	Move        shardmap.MoveID               `cbor:"3,keyasint,omitempty"` // by which they go over; 0: to their home
	Webhooks    []shardmap.TransferredWebhook `cbor:"4,keyasint"`           // in the order taken
	Incarnation uint64                        `cbor:"6,keyasint"`           // of the folder that they are sent to

	Learned []api.DestinationState `cbor:"5,keyasint,omitempty"` // of the move's destinations, once none is called
}

// TransferReply is what came of them. Where the folder is of another life than was thought, nothing was taken and
// there are no answers.
type TransferReply struct {
	Incarnation uint64    `cbor:"1,keyasint"`
	Outcomes    []Outcome `cbor:"2,keyasint,omitempty"`
}

// Outcome is what came of one.
type Outcome struct {
	Reply      shardmap.CustodyReply `cbor:"1,keyasint,omitempty"` // Has: it is the other's now
	Admission  shardmap.Admission    `cbor:"2,keyasint,omitempty"`
	Verdict    shardmap.Decision     `cbor:"3,keyasint,omitempty"`
	RetryAfter api.Micros            `cbor:"4,keyasint,omitempty"` // rejected, with the time told
	Duplicate  bool                  `cbor:"5,keyasint,omitempty"` // its request id is held there
}

// CustodyQuery is whether a webhook was ever taken by a hand, as that folder's life knows.
type CustodyQuery struct {
	Name        shardmap.WebhookID     `cbor:"1,keyasint"`
	Hand        shardmap.HandoffNumber `cbor:"2,keyasint"`
	TTLLeft     api.Micros             `cbor:"3,keyasint"`
	Incarnation uint64                 `cbor:"4,keyasint"`
}

// NewCarried is a webhook as it goes over.
func NewCarried(w *inflight.Webhook, hand shardmap.HandoffNumber, attempts int, mayRun api.Micros,
	zone api.ZoneID) shardmap.TransferredWebhook {
	return shardmap.TransferredWebhook{ID: NameOf(w.RequestID), Handoff: hand, EventType: w.Event, Tenant: w.Tenant, Key: w.Key,
		Destination: w.Destination, TTL: w.TTL, Attempts: attempts, FirstRunAt: mayRun, Zone: zone,
		AcceptOrder: uint64(w.ID), JournalEntry: w.Bytes()}
}

// DecodeWebhook is the same at the other end, its times by the clock here.
func DecodeWebhook(c shardmap.TransferredWebhook) (*inflight.Webhook, error) {
	w, err := inflight.FromBytes(0, c.JournalEntry)
	if err != nil {
		return nil, err
	}
	w.CameAt, w.TTL = inflight.Now(), c.TTL
	if c.Attempts > 0 || c.FirstRunAt != api.Never {
		w.Past = &inflight.Past{Attempts: c.Attempts, MayRun: c.FirstRunAt, Zone: c.Zone}
	}
	return w, nil
}
