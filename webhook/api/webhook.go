package api

// The identifiers. They are compared for equality only, except those that index a list of Settings.
type (
	// WebhookID identifies a webhook within one dispatcher process.
	WebhookID uint32
	// EndpointID identifies an endpoint: one address of a destination.
	EndpointID uint32
	// DestinationID identifies a destination, the receiver of webhooks.
	DestinationID uint32
	// OrderingKey is shared by webhooks of an ordered event type that are delivered one at a time; 0: no key.
	OrderingKey uint64
	// TenantID indexes Settings.TenantRates.
	TenantID uint32
	// ZoneID identifies a zone.
	ZoneID uint16
	// DestinationKindID indexes Settings.DestinationKinds.
	DestinationKindID uint16
	// EventTypeID indexes Settings.EventTypes.
	EventTypeID uint8
	// TimerID identifies a timer of a Policy.
	TimerID uint32
)

// Webhook is the part of a webhook on which a Policy bases its decisions.
type Webhook struct {
	ID          WebhookID
	EventType   EventTypeID
	Tenant      TenantID
	OrderingKey OrderingKey
	Deadline    Micros // latest time of the final answer
	Destination DestinationID
}

// PriorAttempts describes the attempts to deliver a webhook that an earlier process or another dispatcher made.
type PriorAttempts struct {
	Count int
	// MayHaveRunAt is when the first attempt that may have taken effect was sent, or Never.
	MayHaveRunAt Micros
	Zone         ZoneID // of that attempt's endpoint
}

// Semantics is the delivery semantics of an event type: whether its webhooks may take effect more than once.
type Semantics uint8

// The delivery semantics.
const (
	Idempotent   Semantics = iota // the webhook may take effect more than once
	Deduplicated                  // the webhook has an idempotency key that the destination remembers for a limited time
	AtMostOnce                    // the webhook must never take effect twice
)

// EventType holds the settings of one event type. LatencyTarget and TTL are counted from the webhook's first
// submission.
type EventType struct {
	LatencyTarget Micros  // a webhook delivered within it has its full value
	TTL           Micros  // the webhook may be delivered until it has elapsed
	Value         float64 // of a webhook delivered within the latency target
	LateValue     float64 // fraction of the value that is left at the end of the TTL
	Semantics     Semantics
	// DedupWindow is how long after the first attempt that may have taken effect a destination drops repeats
	// (Deduplicated only).
	DedupWindow Micros
	// DedupByZone is set if only the endpoints of the same zone share the idempotency keys that they remember
	// (Deduplicated only).
	DedupByZone bool
	// Ordered webhooks that share an ordering key are delivered one at a time, in the order of submission.
	Ordered bool
}
