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

// Terms are the figures that the rules are told in.
type Terms struct {
	api.Settings
	DrainGrace  api.Micros
	AnswerGrace api.Micros // past a webhook's TTL until its end is late
}

// Breach is a broken rule: where, when, and the last events of the webhook concerned.
type Breach struct {
	Rule        string            `json:"rule"`
	At          api.Micros        `json:"at_us"`
	Dispatcher  int32             `json:"dispatcher"`
	Webhook     api.WebhookID     `json:"webhook"`
	Destination api.DestinationID `json:"destination"`
	Text        string            `json:"text"`
	Last        []string          `json:"last,omitempty"`
}

func (b Breach) String() string {
	s := fmt.Sprintf("%s: %s (%.6fs, dispatcher %d, webhook %d, destination %d)", b.Rule, b.Text, b.At.Seconds(),
		b.Dispatcher, b.Webhook, b.Destination)
	for _, l := range b.Last {
		s += "\n    " + l
	}
	return s
}

const (
	keptBreaches = 50
	keptEvents   = 10    // of one webhook
	keptEnded    = 20000 // webhooks whose events are kept after their end
)

// Watch is all observers of rules and claims of one run.
type Watch struct {
	Breaches []Breach // the first of them
	Broken   map[string]int
	history  history
	rules    []rule
	claims   []claim
}

type rule interface {
	event.Observer
	close(at api.Micros)
}

// Claim is one of the design's claims, as seen from outside.
type Claim struct {
	Name string `json:"name"`
	Kept bool   `json:"kept"`
	Seen bool   `json:"seen"` // there was enough to judge by
	Text string `json:"text"`
}

type claim interface {
	event.Observer
	judge() Claim
}

// Rules are the names of the six rules.
var Rules = []string{"lost", "twice", "drain", "failback", "order", "wait"}

// NewWatch makes observers that hold a run to the terms.
func NewWatch(t Terms) *Watch {
	w := &Watch{Broken: map[string]int{}, history: history{events: map[api.WebhookID][]event.Event{}}}
	tell := func(rule string) teller { return teller{w, rule} }
	w.rules = []rule{
		&lost{teller: tell("lost"), t: t, open: map[stay]*due{}, ended: map[stay]bool{}},
		&twice{teller: tell("twice"), t: t, of: map[api.WebhookID]*tries{}},
		&drain{teller: tell("drain"), t: t, told: map[told]api.Micros{}},
		&failback{teller: tell("failback"), t: t, routes: map[event.Route]*returning{}},
		&order{teller: tell("order"), t: t, lines: map[line]*queue{}, of: map[stay]*ordered{}},
		&wait{teller: tell("wait"), until: map[toRoute]api.Micros{}},
	}
	w.claims = []claim{
		&backoff{pauses: newPauses(t)},
		&jitter{pauses: newPauses(t)},
		&destCap{t: t, out: outs{}},
		&isolates{t: t, out: outs{}, fails: map[toRoute]int{}},
	}
	return w
}

// Join puts the observers on a bus.
func (w *Watch) Join(b *event.Bus) {
	b.Subscribe(&w.history)
	for _, r := range w.rules {
		b.Subscribe(r)
	}
	for _, c := range w.claims {
		b.Subscribe(c)
	}
}

// Close ends the watch: what is still owed then is lost.
func (w *Watch) Close(at api.Micros) {
	for _, r := range w.rules {
		r.close(at)
	}
}

// Claims judges the design's claims by all that was seen.
func (w *Watch) Claims() (all []Claim) {
	for _, c := range w.claims {
		all = append(all, c.judge())
	}
	return all
}

// stay is a webhook's stay at a dispatcher, which outlasts the dispatcher's process where its folder does.
type stay struct {
	d  int32
	id api.WebhookID
}

type toRoute struct {
	d int32
	r event.Route
}

func stayOf(e *event.Event) stay       { return stay{e.Dispatcher, e.Webhook} }
func toRouteOf(e *event.Event) toRoute { return toRoute{e.Dispatcher, e.Route} }

// teller writes breaches of one rule down.
type teller struct {
	w    *Watch
	rule string
}

func (t teller) breach(e *event.Event, text string, args ...any) {
	t.w.Broken[t.rule]++
	if len(t.w.Breaches) >= keptBreaches {
		return
	}
	b := Breach{Rule: t.rule, At: e.At, Dispatcher: e.Dispatcher, Webhook: e.Webhook, Destination: e.Destination,
		Text: fmt.Sprintf(text, args...)}
	for _, h := range t.w.history.events[e.Webhook] {
		b.Last = append(b.Last, h.String())
	}
	t.w.Breaches = append(t.w.Breaches, b)
}

// history keeps the last events of each webhook, and those of one that is over for a while.
type history struct {
	events map[api.WebhookID][]event.Event
	ended  []api.WebhookID
}

func (h *history) Kinds() []event.Kind {
	return []event.Kind{event.Accepted, event.Recovered, event.AttemptStarted, event.AttemptEnded, event.Finished}
}

func (h *history) Observe(e *event.Event) {
	of := h.events[e.Webhook]
	if len(of) == keptEvents {
		copy(of, of[1:])
		of = of[:keptEvents-1]
	}
	h.events[e.Webhook] = append(of, *e)
	if e.Kind != event.Finished {
		return
	}
	if h.ended = append(h.ended, e.Webhook); len(h.ended) > keptEnded {
		delete(h.events, h.ended[0])
		h.ended = h.ended[1:]
	}
}

// outs counts the calls that each dispatcher has out to each route.
type outs map[toRoute]int

func (o outs) see(e *event.Event) int {
	k := toRouteOf(e)
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

func most(share float64, slots int) int { return max(int(math.Floor(share*float64(slots))), 1) }
