// Package api holds what the decision module and its callers share: our words as types, the facts that a
// dispatcher is handed at start, the calls made on the module and the Host through which it acts.
package api

// Micros is a time or a span in whole microseconds. Times count from an arbitrary origin and never run back.
type Micros int64

// Second is the unit of the retry schedule.
const Second Micros = 1_000_000

// Never marks a time that has not come.
const Never Micros = -1

// Seconds is the span in seconds.
func (t Micros) Seconds() float64 { return float64(t) / float64(Second) }

// The ids. None carries a meaning beyond equality, but those that index a list in Facts.
type (
	WebhookID         uint32
	EndpointID        uint32
	DestinationID     uint32
	OrderingKey       uint64 // webhooks of an ordered event type that share one go in turn; 0 is none
	TenantID          uint32 // index in Facts.Tenants
	ZoneID            uint16
	DestinationKindID uint16 // index in Facts.Kinds
	EventTypeID       uint8  // index in Facts.EventTypes
	TimerID           uint32
)

// Outcome is how a delivery attempt ended.
type Outcome uint8

const (
	Delivered         Outcome = iota
	ErrorResponse             // answered with an error; it may have taken effect
	Rejected                  // turned away unseen
	TimedOut                  // no answer in time; it may still take effect
	ConnectFailed             // no connection in time
	ConnectionReset           // the connection broke while the attempt was out
	Cancelled                 // called off by this dispatcher
	NotSent                   // never left: no slot, too late, or too many attempts
	ConnectionLimited         // the endpoint takes no further connection, and said so
)

// NeverRan tells whether the outcome proves that the attempt took no effect.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == ConnectionLimited
}

// MayStillRun tells whether the work may go on at the destination after the outcome.
func (o Outcome) MayStillRun() bool { return o == TimedOut || o == ConnectionReset || o == Cancelled }

// Semantics says what a second effect of an event type would do.
type Semantics uint8

const (
	Idempotent   Semantics = iota // may run again
	Deduplicated                  // carries a mark by which the destination drops a repeat for a while
	AtMostOnce                    // must never run twice
)

// EventType holds the facts of one event type.
type EventType struct {
	LatencyTarget Micros  // target latency, from when the webhook was first handed in
	TTL           Micros  // it may be delivered for so long, from the same moment
	Value         float64 // value when delivered within the target latency
	LateValue     float64 // share of the value left at the TTL
	Semantics     Semantics
	DedupWindow   Micros // tokened: repeats are dropped for so long after the first send that may have run
	DedupByZone   bool   // tokened: only endpoints of the same zone share what they remember
	Ordered       bool   // webhooks that share a key go one at a time, in the order taken
}

// DestinationKind holds the facts of one kind of destination.
type DestinationKind struct {
	BatchSize      int  // webhooks that may share one call
	SeparateRoutes bool // its endpoints are separate routes: own limit, waits, outages
}

// Settings is what a dispatcher knows at its start.
type Settings struct {
	Seed             uint64
	Dispatchers      int // dispatchers in all
	Zone             ZoneID
	EventTypes       []EventType
	DestinationKinds []DestinationKind
	TenantRates      []float64 // webhooks a second within each tenant's share, over the whole fleet
	OverQuotaValue   float64   // value of a webhook beyond its tenant's share, as a fraction

	MaxInFlight   int // calls out at once
	BufferSize    int // webhooks held at once, sent or not
	MaxAttempts   int
	CanCancel     bool
	MaxRetryAfter Micros // the longest wait that a program heeds after a rejection; 0: none is heeded
	RatesListed   bool   // endpoint lists state the rate that a destination takes

	ConnectionLimitsReported bool // a connection turned away at a cap is told as Crowded, not as ConnectFailed

	ConnectTimeout  Micros
	MinTurnInterval Micros // least time between two turns
	OrderingGap     Micros // a key rests so long after an attempt that may still run

	// A destination back from an outage has SlowStartCapacity of what it takes and all of it after SlowStartDuration.
	// Sent over OverloadFactor times what it can take for OverloadDuration, it falls over.
	SlowStartCapacity float64
	SlowStartDuration Micros
	OverloadFactor    float64
	OverloadDuration  Micros
}

// EndpointStatus is what the list says of an endpoint. It tells nothing of health.
type EndpointStatus uint8

const (
	EndpointActive EndpointStatus = iota
	EndpointDraining
	EndpointRemoved
)

// EndpointEntry is one line of an endpoint list.
type EndpointEntry struct {
	Endpoint    EndpointID
	Destination DestinationID
	Kind        DestinationKindID
	Zone        ZoneID
	Status      EndpointStatus
	Rate        float64 // calls a second that the destination takes from the whole fleet, where stated
}

// DestinationState is what one dispatcher knows of a destination, as it goes over to the one that calls next.
type DestinationState struct {
	Destination    DestinationID `cbor:"1,keyasint"`
	ObservedAt     Micros        `cbor:"2,keyasint"`
	Window         float64       `cbor:"3,keyasint"` // calls out at most
	WaitUntil      Micros        `cbor:"4,keyasint"` // as it was told
	Unhealthy      bool          `cbor:"5,keyasint"`
	NextCanaryAt   Micros        `cbor:"6,keyasint"` // sick: not before then
	SlowStartSince Micros        `cbor:"7,keyasint"` // first success after an outage, or Never
	MeanLatency    float64       `cbor:"8,keyasint"` // answer time in µs
	FailureRate    float64       `cbor:"9,keyasint"` // share of late calls that failed
	TimeoutRate    float64       `cbor:"10,keyasint"`
}

// StateTransferer is a module that can hand on and take over what was learned, for fleets that act as one.
type StateTransferer interface {
	ExportState(DestinationID) (DestinationState, bool)
	ImportState(DestinationState)
}

// Policy is the decision module as its callers see it. One turn is any number of these calls at one time of
// the clock, closed by EndTurn; the module sends only as a turn closes.
type Policy interface {
	UpdateEndpoints(list []EndpointEntry, whole bool)
	Submit(id WebhookID, evt EventTypeID, tenant TenantID, key OrderingKey, ttl Micros, dest DestinationID)
	Recover(id WebhookID, evt EventTypeID, tenant TenantID, key OrderingKey, ttl Micros, dest DestinationID,
		attempts int, mayRun Micros, zone ZoneID) // of an earlier life; mayRun: first attempt that may have run
	AttemptEnded(id WebhookID, ep EndpointID, what Outcome, took Micros, ended bool, wait Micros)
	// ReportLoad takes a load report, some time old and not exact, before the outcome it came with: the share of
	// the limit that is left, and the calls a second that it allows the whole fleet; 0 where there is none.
	ReportLoad(ep EndpointID, left, limit float64)
	Withdraw(id WebhookID)
	TimerFired(timer TimerID)
	UpdateSettings(f Settings) // of a running dispatcher: indexes of lists in Facts keep what they stood for
	EndTurn()
}

// Host is what the module acts through.
type Host interface {
	Now() Micros
	// StartAttempt calls an endpoint. A call that has not begun by latest, as connecting took long, is not made.
	StartAttempt(id WebhookID, ep EndpointID, patience, latest Micros)
	CancelAttempt(id WebhookID, attempt int)
	Reject(id WebhookID, advised Micros)
	DeadLetter(id WebhookID)
	SetTimer(in Micros, timer TimerID)
	CloseIdleConnections(ep EndpointID)
	Log(text string)
}
