// Package invariant holds the observers of a simulation run: a checker for each invariant of the dispatchers and for each
// claim of their design, and recorders that make tables. They see nothing but events.
package invariant

import (
	"fmt"
	"math"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Thresholds are what a run is checked against: the settings of its dispatchers and two times of grace.
type Thresholds struct {
	api.Settings
	DrainGrace  api.Micros
	AnswerGrace api.Micros // after a webhook's deadline, until which it must be finished
}

// eventType returns the type of an event's webhook. A type that isn't known counts as the last one.
func (t *Thresholds) eventType(e *event.Event) api.EventType {
	return t.EventTypes[min(int(e.EventType), len(t.EventTypes)-1)]
}

// slowStartCapacity returns the share of its warm capacity that a route has some time after an outage.
func (t *Thresholds) slowStartCapacity(elapsed api.Micros) float64 {
	return t.SlowStartCapacity + (1-t.SlowStartCapacity)*float64(elapsed)/float64(t.SlowStartDuration)
}

// Violation is a violation of an invariant, with the last events of the webhook.
type Violation struct {
	Invariant   string            `json:"rule"`
	At          api.Micros        `json:"at_us"`
	Dispatcher  int32             `json:"dispatcher"`
	Webhook     api.WebhookID     `json:"webhook"`
	Destination api.DestinationID `json:"destination"`
	Text        string            `json:"text"`
	History     []string          `json:"last,omitempty"`
}

// String describes the violation, with a line for each event.
func (v Violation) String() string {
	s := fmt.Sprintf("%s: %s (%.6fs, dispatcher %d, webhook %d, destination %d)", v.Invariant, v.Text, v.At.Seconds(),
		v.Dispatcher, v.Webhook, v.Destination)
	for _, l := range v.History {
		s += "\n    " + l
	}
	return s
}

const (
	maxViolations = 50
	maxHistory    = 10    // of one webhook
	maxFinished   = 20000 // webhooks whose events are kept after their end
)

// Checker checks all invariants and claims of one run.
type Checker struct {
	Violations     []Violation // the first ones
	ViolationCount map[string]int
	history        history
	invariants     []invariantChecker
	claimCheckers  []claimChecker
}

// invariantChecker checks one invariant.
type invariantChecker interface {
	event.Observer
	// finish checks what must have happened by the end of the run.
	finish(at api.Micros)
}

// Claim is the judgment on a claim of the design, by what can be seen from outside.
type Claim struct {
	Name       string `json:"name"`
	Holds      bool   `json:"kept"`
	Conclusive bool   `json:"seen"` // there were enough events to judge by
	Text       string `json:"text"`
}

// claimChecker judges one claim.
type claimChecker interface {
	event.Observer
	judge() Claim
}

// The names of the invariants in results.
const (
	deliveryName   = "lost"
	duplicatesName = "twice"
	drainingName   = "drain"
	slowStartName  = "failback"
	orderingName   = "order"
	retryAfterName = "wait"
)

// Names are the names of the invariants in results.
var Names = []string{deliveryName, duplicatesName, drainingName, slowStartName, orderingName, retryAfterName}

// NewChecker makes a checker of one run. It must be subscribed before the run starts.
func NewChecker(thresholds Thresholds) *Checker {
	c := &Checker{
		ViolationCount: map[string]int{},
		history:        history{events: map[api.WebhookID][]event.Event{}},
	}
	reporter := func(invariant string) violationReporter { return violationReporter{c, invariant} }
	c.invariants = []invariantChecker{
		newDelivery(reporter(deliveryName), thresholds),
		newDuplicates(reporter(duplicatesName), thresholds),
		newDraining(reporter(drainingName), thresholds),
		newSlowStart(reporter(slowStartName), thresholds),
		newOrdering(reporter(orderingName), thresholds),
		newRetryAfter(reporter(retryAfterName)),
	}
	c.claimCheckers = []claimChecker{
		&backoff{retryDelays: newRetryDelays(thresholds)},
		&jitter{retryDelays: newRetryDelays(thresholds)},
		&destinationCap{thresholds: thresholds, active: activeCalls{}},
		&isolation{thresholds: thresholds, active: activeCalls{}, failuresInRow: map[routeKey]int{}},
	}
	return c
}

// Subscribe subscribes all checkers to a bus.
func (c *Checker) Subscribe(b *event.Bus) {
	b.Subscribe(&c.history)
	for _, invariant := range c.invariants {
		b.Subscribe(invariant)
	}
	for _, claim := range c.claimCheckers {
		b.Subscribe(claim)
	}
}

// Finish is called at the end of the run. Webhooks that aren't finished by then are violations.
func (c *Checker) Finish(at api.Micros) {
	for _, invariant := range c.invariants {
		invariant.finish(at)
	}
}

// Claims judges the claims by all events so far.
func (c *Checker) Claims() []Claim {
	var all []Claim
	for _, claim := range c.claimCheckers {
		all = append(all, claim.judge())
	}
	return all
}

// webhookKey identifies a webhook at a dispatcher, also across restarts with the same persisted state.
type webhookKey struct {
	dispatcher int32
	webhook    api.WebhookID
}

// routeKey identifies a route as seen by a dispatcher.
type routeKey struct {
	dispatcher int32
	route      event.Route
}

func webhookKeyOf(e *event.Event) webhookKey { return webhookKey{e.Dispatcher, e.Webhook} }
func routeKeyOf(e *event.Event) routeKey     { return routeKey{e.Dispatcher, e.Route} }

// violationReporter records violations of one invariant.
type violationReporter struct {
	checker   *Checker
	invariant string
}

func (t violationReporter) report(e *event.Event, text string, args ...any) {
	t.checker.ViolationCount[t.invariant]++
	if len(t.checker.Violations) >= maxViolations {
		return
	}
	v := Violation{Invariant: t.invariant, At: e.At, Dispatcher: e.Dispatcher, Webhook: e.Webhook, Destination: e.Destination,
		Text: fmt.Sprintf(text, args...)}
	for _, h := range t.checker.history.events[e.Webhook] {
		v.History = append(v.History, h.String())
	}
	t.checker.Violations = append(t.checker.Violations, v)
}

// history keeps the last events of each webhook, for the latest finished ones too.
type history struct {
	events   map[api.WebhookID][]event.Event
	finished []api.WebhookID
}

// Kinds returns the kinds of events in a history.
func (h *history) Kinds() []event.Kind {
	return []event.Kind{event.Accepted, event.Recovered, event.AttemptStarted, event.AttemptEnded, event.Finished}
}

// Observe adds an event to the history of its webhook.
func (h *history) Observe(e *event.Event) {
	of := h.events[e.Webhook]
	if len(of) == maxHistory {
		copy(of, of[1:])
		of = of[:maxHistory-1]
	}
	h.events[e.Webhook] = append(of, *e)
	if e.Kind != event.Finished {
		return
	}
	if h.finished = append(h.finished, e.Webhook); len(h.finished) > maxFinished {
		delete(h.events, h.finished[0])
		h.finished = h.finished[1:]
	}
}

// activeCalls counts the active calls of each dispatcher to each route.
type activeCalls map[routeKey]int

// observe counts a call that starts or finishes, and returns the number of active ones.
func (o activeCalls) observe(e *event.Event) int {
	k := routeKeyOf(e)
	switch e.Kind {
	case event.CallStarted:
		o[k]++
	case event.CallFinished:
		if o[k]--; o[k] <= 0 {
			delete(o, k)
		}
	}
	return o[k]
}

// shareOfSlots returns a share of the concurrency slots, at least one.
func shareOfSlots(share float64, slots int) int { return max(int(math.Floor(share*float64(slots))), 1) }
