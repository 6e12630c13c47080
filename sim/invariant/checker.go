// Package invariant holds the observers of an emulated run: one for each rule, one for each claim that the
// design makes of what can be seen from outside, and a recorder that makes tables. They read events and
// nothing else; none knows the model or a module.
package invariant

import (
	"fmt"
	"math"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Thresholds are the figures that the rules are told in.
type Thresholds struct {
	api.Settings
	DrainGrace  api.Micros
	AnswerGrace api.Micros // past a webhook's TTL until its end is late
}

// Violation is a broken rule: where, when, and the last events of the webhook concerned.
type Violation struct {
	Invariant   string            `json:"rule"`
	At          api.Micros        `json:"at_us"`
	Dispatcher  int32             `json:"dispatcher"`
	Webhook     api.WebhookID     `json:"webhook"`
	Destination api.DestinationID `json:"destination"`
	Text        string            `json:"text"`
	History     []string          `json:"last,omitempty"`
}

func (b Violation) String() string {
	s := fmt.Sprintf("%s: %s (%.6fs, dispatcher %d, webhook %d, destination %d)", b.Invariant, b.Text, b.At.Seconds(),
		b.Dispatcher, b.Webhook, b.Destination)
	for _, l := range b.History {
		s += "\n    " + l
	}
	return s
}

const (
	maxViolations = 50
	maxHistory    = 10    // of one webhook
	maxFinished   = 20000 // webhooks whose events are kept after their end
)

// Checker is all observers of rules and claims of one run.
type Checker struct {
	Violations     []Violation // the first of them
	ViolationCount map[string]int
	history        history
	invariants     []invariantChecker
	claimCheckers  []claimChecker
}

type invariantChecker interface {
	event.Observer
	finish(at api.Micros)
}

// Claim is one of the design's claims, as seen from outside.
type Claim struct {
	Name       string `json:"name"`
	Holds      bool   `json:"kept"`
	Conclusive bool   `json:"seen"` // there was enough to judge by
	Text       string `json:"text"`
}

type claimChecker interface {
	event.Observer
	judge() Claim
}

// Names are the names of the six rules.
var Names = []string{"lost", "twice", "drain", "failback", "order", "wait"}

// NewChecker makes observers that hold a run to the terms.
func NewChecker(thresholds Thresholds) *Checker {
	w := &Checker{ViolationCount: map[string]int{}, history: history{events: map[api.WebhookID][]event.Event{}}}
	tell := func(rule string) violationReporter { return violationReporter{w, rule} }
	w.invariants = []invariantChecker{
		&delivery{violationReporter: tell("lost"), thresholds: thresholds, owned: map[webhookKey]*obligation{}, finished: map[webhookKey]bool{}},
		&duplicates{violationReporter: tell("twice"), thresholds: thresholds, webhooks: map[api.WebhookID]*attemptHistory{}},
		&draining{violationReporter: tell("drain"), thresholds: thresholds, notifiedAt: map[endpointKey]api.Micros{}},
		&slowStart{violationReporter: tell("failback"), thresholds: thresholds, routes: map[event.Route]*recoveringRoute{}},
		&ordering{violationReporter: tell("order"), thresholds: thresholds, queues: map[queueKey]*orderingQueue{}, webhooks: map[webhookKey]*orderedWebhook{}},
		&retryAfter{violationReporter: tell("wait"), until: map[routeKey]api.Micros{}},
	}
	w.claimCheckers = []claimChecker{
		&backoff{retryDelays: newRetryDelays(thresholds)},
		&jitter{retryDelays: newRetryDelays(thresholds)},
		&destinationCap{thresholds: thresholds, active: activeCalls{}},
		&isolation{thresholds: thresholds, active: activeCalls{}, failuresInRow: map[routeKey]int{}},
	}
	return w
}

// Subscribe puts the observers on a bus.
func (w *Checker) Subscribe(b *event.Bus) {
	b.Subscribe(&w.history)
	for _, r := range w.invariants {
		b.Subscribe(r)
	}
	for _, c := range w.claimCheckers {
		b.Subscribe(c)
	}
}

// Finish ends the watch: what is still owed then is lost.
func (w *Checker) Finish(at api.Micros) {
	for _, r := range w.invariants {
		r.finish(at)
	}
}

// Claims judges the design's claims by all that was seen.
func (w *Checker) Claims() (all []Claim) {
	for _, c := range w.claimCheckers {
		all = append(all, c.judge())
	}
	return all
}

// webhookKey is a webhook's stay at a dispatcher, which outlasts the dispatcher's process where its folder does.
type webhookKey struct {
	dispatcher int32
	webhook    api.WebhookID
}

type routeKey struct {
	dispatcher int32
	route      event.Route
}

func webhookKeyOf(e *event.Event) webhookKey { return webhookKey{e.Dispatcher, e.Webhook} }
func routeKeyOf(e *event.Event) routeKey     { return routeKey{e.Dispatcher, e.Route} }

// violationReporter writes breaches of one rule down.
type violationReporter struct {
	checker   *Checker
	invariant string
}

func (t violationReporter) report(e *event.Event, text string, args ...any) {
	t.checker.ViolationCount[t.invariant]++
	if len(t.checker.Violations) >= maxViolations {
		return
	}
	b := Violation{Invariant: t.invariant, At: e.At, Dispatcher: e.Dispatcher, Webhook: e.Webhook, Destination: e.Destination,
		Text: fmt.Sprintf(text, args...)}
	for _, h := range t.checker.history.events[e.Webhook] {
		b.History = append(b.History, h.String())
	}
	t.checker.Violations = append(t.checker.Violations, b)
}

// history keeps the last events of each webhook, and those of one that is over for a while.
type history struct {
	events   map[api.WebhookID][]event.Event
	finished []api.WebhookID
}

func (h *history) Kinds() []event.Kind {
	return []event.Kind{event.Accepted, event.Recovered, event.AttemptStarted, event.AttemptEnded, event.Finished}
}

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

// activeCalls counts the calls that each dispatcher has out to each route.
type activeCalls map[routeKey]int

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

func shareOfSlots(share float64, slots int) int { return max(int(math.Floor(share*float64(slots))), 1) }
