// Package event holds what happens in an emulated fleet as plain events. The model writes them, observers and
// recorders read them, and neither knows the other.
package event

import (
	"fmt"

	"rowanlink/webhook/api"
)

// What happened.
type What uint8

const (
	Offered     What = iota // a client hands a webhook in for the first time; Origin
	Taken                   // a dispatcher takes one on
	TurnedAway              // its buffer is full: refused at the door
	Resumed                 // an earlier life's webhook is its dispatcher's again; Attempt counts what was made
	Sent                    // a delivery attempt leaves; Attempt counts from 0
	Heard                   // its outcome is told to the module; Outcome, Wait
	Ended                   // End; Span is the time since the client first handed it in
	GivenUp                 // a client does not come again with what was rejected
	CallOut                 // a call takes a slot; Weight webhooks share it
	CallBack                // it gives the slot back
	Connected               // a new connection came up
	Reached                 // a call's last byte reaches an endpoint; Weight
	Refused                 // the endpoint turns the call away
	Told                    // a dispatcher learns of an endpoint's Standing
	OutageOver              // a route that was out is back: Weight is what it takes a second when warm
	OutageStart             // no endpoint of the route does its work
	Fell                    // a cold route was pushed over, for the rest of the run
	Killed                  // a dispatcher ends, or stands still; Span: how long; End: Died with its folder
	Started                 // it is ready, with nothing but what its folder holds
	Froze                   // it stands still for Span
	Handed                  // a dispatcher has in its journal what another sent it, as its own from now on
	Passed                  // another is said to have it: this one owes nothing more for it
	Whats                   // how many there are
)

var names = [Whats]string{"offered", "taken", "turned away", "resumed", "sent", "heard", "ended", "given up",
	"call out", "call back", "connected", "reached", "refused", "told", "outage over", "outage starts", "fell",
	"killed", "started", "froze", "handed", "passed"}

func (w What) String() string { return names[w] }

// End is how a webhook's stay at a dispatcher ended.
type End uint8

const (
	Delivered End = iota
	Rejected
	DeadLettered
	Died // its dispatcher's folder is gone with all that it held
)

func (e End) String() string { return [...]string{"delivered", "rejected", "dead-lettered", "died"}[e] }

// Outcomes are the names of gateway.Outcome, by number.
var Outcomes = [...]string{
	"delivered",
	"errored",
	"full",
	"timed out",
	"connect failed",
	"reset",
	"cancelled",
	"not sent",
}

// Route is what limits, waits and outages belong to: a destination, or one endpoint where routes are apart.
type Route int32

// Origin is a webhook as its client knows it, however often it is handed in.
type Origin int32

// Event is one thing that happened. Fields that say nothing of it are zero.
type Event struct {
	At          api.Micros
	What        What
	Dispatcher  int32
	Other       int32 // Passed: who has it
	Webhook     api.WebhookID
	Origin      Origin
	Type        api.EventTypeID
	Destination api.DestinationID
	Endpoint    api.EndpointID
	Route       Route
	Zone        api.ZoneID
	Key         api.OrderingKey
	TTL         api.Micros // the last moment at which it may be delivered
	Attempt     int
	Outcome     api.Outcome
	End         End
	Standing    api.EndpointStatus
	Wait        api.Micros
	Span        api.Micros
	Weight      float64
}

// String tells an event in one line.
func (e *Event) String() string {
	s := fmt.Sprintf("%.6fs %s dispatcher %d", e.At.Seconds(), e.What, e.Dispatcher)
	switch e.What {
	case Sent:
		s += fmt.Sprintf(" attempt %d to endpoint %d", e.Attempt, e.Endpoint)
	case Heard:
		s += fmt.Sprintf(" attempt %d: %s", e.Attempt, Outcomes[e.Outcome])
		if e.Wait > 0 {
			s += fmt.Sprintf(", wait %.3fs", e.Wait.Seconds())
		}
	case Ended:
		s += " " + e.End.String()
	case Resumed:
		s += fmt.Sprintf(" after %d attempts", e.Attempt)
	}
	return s
}

// Observer reads events in the order in which they happen.
type Observer interface {
	Wants() []What
	See(e *Event)
}

// Bus hands each event to those that want it; its zero value hands them to nobody.
type Bus struct{ to [Whats][]Observer }

// Join adds observers.
func (b *Bus) Join(all ...Observer) {
	for _, o := range all {
		for _, w := range o.Wants() {
			b.to[w] = append(b.to[w], o)
		}
	}
}

// Emit hands an event on.
func (b *Bus) Emit(e Event) {
	for _, o := range b.to[e.What] {
		o.See(&e)
	}
}

// Listened tells whether anybody wants such events, so that costly ones need not be made.
func (b *Bus) Listened(w What) bool { return len(b.to[w]) > 0 }
