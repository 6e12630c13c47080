package api

// Identifiers. None carries a meaning beyond equality, except those that index a list in Settings.
type (
	// WebhookID identifies a webhook within one dispatcher process.
	WebhookID uint32
	// EndpointID identifies an address of a destination.
	EndpointID uint32
	// DestinationID identifies who a webhook is delivered to.
	DestinationID uint32
	// OrderingKey is shared by webhooks of an ordered event type that are delivered one at a time; 0 is none.
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

// Webhook is the part of a webhook that a Policy decides by.
type Webhook struct {
	ID          WebhookID
	EventType   EventTypeID
	Tenant      TenantID
	OrderingKey OrderingKey
	Deadline    Micros // last moment for the final answer
	Destination DestinationID
}

// PriorAttempts is what an earlier incarnation of the process, or another dispatcher, did for a webhook.
type PriorAttempts struct {
	Count int
	// MayHaveRunAt is when the first attempt was sent that may have taken effect, or Never.
	MayHaveRunAt Micros
	Zone         ZoneID // of that attempt's endpoint
}

// Semantics says whether webhooks of an event type may take effect more than once.
type Semantics uint8

// Delivery semantics of event types.
const (
	Idempotent   Semantics = iota // may take effect more than once
	Deduplicated                  // carries an idempotency key that the destination remembers for a limited time
	AtMostOnce                    // must never take effect twice
)

// EventType holds the settings of one event type. Durations count from when the webhook was first submitted.
type EventType struct {
	LatencyTarget Micros  // delivered by then it has its full value
	TTL           Micros  // it may be delivered until then
	Value         float64 // value when delivered within the latency target
	LateValue     float64 // share of the value left at the TTL
	Semantics     Semantics
	// DedupWindow is how long a destination drops repeats after the first attempt that may have run (Deduplicated only).
	DedupWindow Micros
	// DedupByZone is set where only endpoints of one zone share what they remember (Deduplicated only).
	DedupByZone bool
	// Ordered webhooks that share an ordering key are delivered one at a time, in the order of submission.
	Ordered bool
}
