// Package event defines the events of a simulation run. The engine publishes them on a Bus; the checkers and recorders
// of sim/invariant subscribe to it. Neither side depends on the other.
package event

import (
	"fmt"
	"strings"

	"rowanlink/webhook/api"
)

// Kind is what happened.
type Kind uint8

// The kinds of events, with the fields that are set beside the time and those that identify the webhook.
const (
	Offered             Kind = iota // a client submits a webhook for the first time; Request
	Accepted                        // a dispatcher accepts a webhook
	BufferFull                      // a dispatcher rejects a submission because its buffer is full
	Recovered                       // a dispatcher recovers a webhook of its earlier incarnation; Attempt is the number made
	AttemptStarted                  // a delivery attempt starts; Attempt counts from 0
	AttemptEnded                    // the policy is notified of an attempt's outcome; Outcome, RetryAfter
	Finished                        // a dispatcher is done with a webhook; Final, Duration since the first submission
	Abandoned                       // a client doesn't resubmit a rejected webhook
	CallStarted                     // a call takes a concurrency slot; Weight
	CallFinished                    // a call releases its concurrency slot
	Connected                       // a new connection is established
	CallArrived                     // the last byte of a call reaches an endpoint; Weight
	CallRefused                     // an endpoint rejects a call
	EndpointUpdated                 // a dispatcher is notified of an endpoint's Status
	OutageEnded                     // a route is back after an outage; Weight is its capacity when warm, calls per second
	OutageStarted                   // no endpoint of a route serves calls; Weight as above
	Collapsed                       // a route in its slow start was overloaded and fails from now on
	Killed                          // a dispatcher's process ends; Until its next start; Final StateLost if it loses its state
	Started                         // a dispatcher is ready, with nothing but its persisted state
	Paused                          // a dispatcher's process stands still for Duration
	HandoffAccepted                 // a dispatcher has persisted a webhook that a peer handed off to it
	HandoffAcknowledged             // a dispatcher releases a webhook that its Peer has acknowledged
	kindCount
)

var kindNames = [kindCount]string{
	Offered:             "offered",
	Accepted:            "accepted",
	BufferFull:          "rejected, buffer full",
	Recovered:           "recovered",
	AttemptStarted:      "attempt started",
	AttemptEnded:        "attempt ended",
	Finished:            "finished",
	Abandoned:           "abandoned",
	CallStarted:         "call started",
	CallFinished:        "call finished",
	Connected:           "connected",
	CallArrived:         "call arrived",
	CallRefused:         "call refused",
	EndpointUpdated:     "endpoint updated",
	OutageEnded:         "outage ended",
	OutageStarted:       "outage started",
	Collapsed:           "collapsed",
	Killed:              "killed",
	Started:             "started",
	Paused:              "paused",
	HandoffAccepted:     "handoff accepted",
	HandoffAcknowledged: "handoff acknowledged",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// FinalStatus is how a dispatcher finished with a webhook.
type FinalStatus uint8

// The final statuses.
const (
	Delivered FinalStatus = iota
	Rejected
	DeadLettered
	StateLost // the dispatcher's persisted state is gone, and the webhook with it
)

var finalStatusNames = [...]string{
	Delivered:    "delivered",
	Rejected:     "rejected",
	DeadLettered: "dead-lettered",
	StateLost:    "state lost",
}

// String returns the status's name.
func (s FinalStatus) String() string { return finalStatusNames[s] }

// outcomeNames are the names of api.Outcome, by number.
var outcomeNames = [...]string{
	"delivered",
	"errored",
	"full",
	"timed out",
	"connect failed",
	"reset",
	"cancelled",
	"not sent",
}

// Route is the unit that rate limits, Retry-After times and outages apply to: a destination, or one of its endpoints
// where these have separate routes.
type Route int32

// RequestID identifies a webhook for its client. It stays the same when the client submits the webhook again, while
// each accepted submission has a webhook ID of its own.
type RequestID int32

// Event is one thing that happened. Fields that don't apply to its kind are zero.
type Event struct {
	At          api.Micros // simulated time
	Kind        Kind
	Dispatcher  int32
	Peer        int32 // HandoffAcknowledged: the dispatcher that has the webhook now
	Webhook     api.WebhookID
	Request     RequestID
	EventType   api.EventTypeID
	Destination api.DestinationID
	Endpoint    api.EndpointID
	Route       Route
	Zone        api.ZoneID
	OrderingKey api.OrderingKey
	Deadline    api.Micros // the last moment at which the webhook may be delivered
	Attempt     int
	Outcome     api.Outcome
	Final       FinalStatus
	Status      api.EndpointStatus
	RetryAfter  api.Micros
	Duration    api.Micros
	Until       api.Micros
	Weight      float64 // of a call, in webhooks; of a route, see the kind
}

// String describes the event in one line.
func (e *Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.6fs %s dispatcher %d", e.At.Seconds(), e.Kind, e.Dispatcher)
	switch e.Kind {
	case AttemptStarted:
		fmt.Fprintf(&b, " attempt %d to endpoint %d", e.Attempt, e.Endpoint)
	case AttemptEnded:
		fmt.Fprintf(&b, " attempt %d: %s", e.Attempt, outcomeNames[e.Outcome])
		if e.RetryAfter > 0 {
			fmt.Fprintf(&b, ", retry after %.3fs", e.RetryAfter.Seconds())
		}
	case Finished:
		b.WriteString(" " + e.Final.String())
	case Recovered:
		fmt.Fprintf(&b, " after %d attempts", e.Attempt)
	}
	return b.String()
}

// Observer receives events in the order in which they happen.
type Observer interface {
	// Kinds returns the kinds of events to receive.
	Kinds() []Kind
	// Observe handles one event. The observer must not change or keep it.
	Observe(e *Event)
}

// Bus passes each event to the observers of its kind. The zero value has no observers.
type Bus struct{ subscribers [kindCount][]Observer }

// Subscribe adds observers, behind those that are there already.
func (b *Bus) Subscribe(observers ...Observer) {
	for _, observer := range observers {
		for _, kind := range observer.Kinds() {
			b.subscribers[kind] = append(b.subscribers[kind], observer)
		}
	}
}

// Emit passes an event to its observers.
func (b *Bus) Emit(e Event) {
	for _, observer := range b.subscribers[e.Kind] {
		observer.Observe(&e)
	}
}

// HasSubscribers reports whether events of a kind have observers, so that costly ones need not be made.
func (b *Bus) HasSubscribers(kind Kind) bool { return len(b.subscribers[kind]) > 0 }
