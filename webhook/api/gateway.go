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
	WebhookID     uint32
	EndpointID    uint32
	DestinationID uint32
	Key           uint64 // webhooks of an ordered event type that share one go in turn; 0 is none
	TenantID      uint32 // index in Facts.Tenants
	ZoneID        uint16
	KindID        uint16 // index in Facts.Kinds
	EventTypeID   uint8  // index in Facts.EventTypes
	TimerID       uint32
)

// Outcome is how a delivery attempt ended.
type Outcome uint8

const (
	Delivered     Outcome = iota
	Errored               // answered with an error; it may have taken effect
	Full                  // turned away unseen
	TimedOut              // no answer in time; it may still take effect
	ConnectFailed         // no connection in time
	Reset                 // the connection broke while the attempt was out
	Cancelled             // called off by this dispatcher
	NotSent               // never left: no slot, too late, or too many attempts
	Crowded               // the endpoint takes no further connection, and said so
)

// NeverRan tells whether the outcome proves that the attempt took no effect.
func (o Outcome) NeverRan() bool {
	return o == Full || o == ConnectFailed || o == NotSent || o == Crowded
}

// MayStillRun tells whether the work may go on at the destination after the outcome.
func (o Outcome) MayStillRun() bool { return o == TimedOut || o == Reset || o == Cancelled }

// Repeat says what a second effect of an event type would do.
type Repeat uint8

const (
	Idempotent Repeat = iota // may run again
	Tokened                  // carries a mark by which the destination drops a repeat for a while
	AtMostOnce               // must never run twice
)

// EventType holds the facts of one event type.
type EventType struct {
	Target      Micros  // target latency, from when the webhook was first handed in
	TTL         Micros  // it may be delivered for so long, from the same moment
	Value       float64 // value when delivered within the target latency
	LateValue   float64 // share of the value left at the TTL
	Repeat      Repeat
	TokenWindow Micros // tokened: repeats are dropped for so long after the first send that may have run
	TokenByZone bool   // tokened: only endpoints of the same zone share what they remember
	Ordered     bool   // webhooks that share a key go one at a time, in the order taken
}

// Kind holds the facts of one kind of destination.
type Kind struct {
	Batch int  // webhooks that may share one call
	Apart bool // its endpoints are separate routes: own limit, waits, outages
}

// Facts is what a dispatcher knows at its start.
type Facts struct {
	Seed       uint64
	Fleet      int // dispatchers in all
	Zone       ZoneID
	EventTypes []EventType
	Kinds      []Kind
	Tenants    []float64 // webhooks a second within each tenant's share, over the whole fleet
	OverShare  float64   // value of a webhook beyond its tenant's share, as a fraction

	Slots       int // calls out at once
	Buffer      int // webhooks held at once, sent or not
	MaxAttempts int
	MayCancel   bool
	MaxAdvice   Micros // the longest wait that a program heeds after a rejection; 0: none is heeded
	RatesStated bool   // endpoint lists state the rate that a destination takes

	CapsTold bool // a connection turned away at a cap is told as Crowded, not as ConnectFailed

	ConnectTimeout Micros
	Tick           Micros // least time between two turns
	TurnGap        Micros // a key rests so long after an attempt that may still run

	// A destination back from an outage has StartCapacity of what it takes and all of it after WarmAfter.
	// Sent over FallMultiple times what it can take for TipAfter, it falls over.
	StartCapacity float64
	WarmAfter     Micros
	FallMultiple  float64
	TipAfter      Micros
}

// Standing is what the list says of an endpoint. It tells nothing of health.
type Standing uint8

const (
	Listed Standing = iota
	Draining
	Gone
)

// Entry is one line of an endpoint list.
type Entry struct {
	Endpoint    EndpointID
	Destination DestinationID
	Kind        KindID
	Zone        ZoneID
	Standing    Standing
	Rate        float64 // calls a second that the destination takes from the whole fleet, where stated
}

// Learned is what one dispatcher knows of a destination, as it goes over to the one that calls next.
type Learned struct {
	Destination DestinationID `cbor:"1,keyasint"`
	At          Micros        `cbor:"2,keyasint"`
	Window      float64       `cbor:"3,keyasint"` // calls out at most
	WaitUntil   Micros        `cbor:"4,keyasint"` // as it was told
	Sick        bool          `cbor:"5,keyasint"`
	CanaryAt    Micros        `cbor:"6,keyasint"` // sick: not before then
	ColdSince   Micros        `cbor:"7,keyasint"` // first success after an outage, or Never
	Mean        float64       `cbor:"8,keyasint"` // answer time in µs
	Failing     float64       `cbor:"9,keyasint"` // share of late calls that failed
	Lost        float64       `cbor:"10,keyasint"`
}

// Teacher is a module that can hand on and take over what was learned, for fleets that act as one.
type Teacher interface {
	Learned(DestinationID) (Learned, bool)
	Teach(Learned)
}

// Module is the decision module as its callers see it. One turn is any number of these calls at one time of
// the clock, closed by TurnOver; the module sends only as a turn closes.
type Module interface {
	Endpoints(list []Entry, whole bool)
	Take(id WebhookID, evt EventTypeID, tenant TenantID, key Key, ttl Micros, dest DestinationID)
	Resume(id WebhookID, evt EventTypeID, tenant TenantID, key Key, ttl Micros, dest DestinationID,
		attempts int, mayRun Micros, zone ZoneID) // of an earlier life; mayRun: first attempt that may have run
	Outcome(id WebhookID, ep EndpointID, what Outcome, took Micros, ended bool, wait Micros)
	// Reported takes a load report, some time old and not exact, before the outcome it came with: the share of
	// the limit that is left, and the calls a second that it allows the whole fleet; 0 where there is none.
	Reported(ep EndpointID, left, limit float64)
	Withdrawn(id WebhookID)
	Wake(timer TimerID)
	Renew(f Facts) // of a running dispatcher: indexes of lists in Facts keep what they stood for
	TurnOver()
}

// Host is what the module acts through.
type Host interface {
	Now() Micros
	// Attempt calls an endpoint. A call that has not begun by latest, as connecting took long, is not made.
	Attempt(id WebhookID, ep EndpointID, patience, latest Micros)
	Cancel(id WebhookID, attempt int)
	Reject(id WebhookID, advised Micros)
	DeadLetter(id WebhookID)
	Wake(in Micros, timer TimerID)
	CloseIdle(ep EndpointID)
	Log(text string)
}
