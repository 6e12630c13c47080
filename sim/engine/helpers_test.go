package engine_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/sim/engine"
	eventpkg "rowanlink/sim/event"
	"rowanlink/sim/invariant"
	"rowanlink/webhook/api"
	"rowanlink/webhook/policy"
)

const sec = engine.Span(api.Second)

func module(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) }

// plain is one dispatcher in front of eight destinations of two endpoints each, with one event type of each
// sort.
func plain(troubles ...engine.Trouble) *engine.Scenario {
	s := &engine.Scenario{Name: "plain", Length: 30 * sec,
		Dispatchers: engine.Dispatchers{Count: 2, Slots: 24, Buffer: 400, Cancel: true, MaxAdvice: 3 * sec,
			RatesStated: true, ListDelay: []engine.Span{sec, sec}},
		Clients:      engine.Clients{Rate: 100, Skew: 0.5, Retries: 2, Heed: 1},
		Destinations: engine.Destinations{Count: 8},
		Events: []engine.EventType{
			{Name: "idempotent", Target: 3 * sec, TTL: 20 * sec},
			{Name: "tokened", Target: 3 * sec, TTL: 20 * sec, Repeat: "tokened", Window: 8 * sec},
			{Name: "once", Target: 3 * sec, TTL: 20 * sec, Repeat: "at-most-once"},
			{Name: "ordered", Target: 3 * sec, TTL: 20 * sec, Ordered: true, Keys: 12},
		},
		Kinds: []engine.Kind{{Name: "shop", Endpoints: []int{2}, Answer: sec / 5, Spread: 0.5, Limit: "rate",
			Headroom: 2, Least: 4, TellsWait: 1, Wait: []engine.Span{sec / 2, sec}}},
		Troubles: troubles}
	s.Complete()
	return s
}

// log writes down all events that it wants.
type log struct {
	wants []eventpkg.Kind
	all   []eventpkg.Event
}

func (l *log) Kinds() []eventpkg.Kind    { return l.wants }
func (l *log) Observe(e *eventpkg.Event) { l.all = append(l.all, *e) }

// play runs a scenario under the watch; events of the kinds given come back, too.
func play(
	t *testing.T,
	s *engine.Scenario,
	start engine.Starter,
	what ...eventpkg.Kind,
) (*invariant.Watch, []eventpkg.Event,
	invariant.Summary) {
	require.NoError(t, s.Check())
	m := engine.New(s, start)
	terms := invariant.Terms{Settings: s.Facts(0, 0), DrainGrace: api.Micros(s.Rules.DrainGrace),
		AnswerGrace: 3*api.Micros(s.Dispatchers.Tick) + api.Second/20}
	w, r, l := invariant.NewWatch(terms), invariant.NewRecorder(terms), &log{wants: what}
	w.Join(&m.Bus)
	m.Bus.Subscribe(r, l)
	w.Close(m.Run())
	return w, l.all, r.Close()
}

// mutant is the module with its ears or hands tampered with.
type mutant struct {
	api.Policy
	host
	take      func(key api.OrderingKey) api.OrderingKey
	outcome   func(what api.Outcome, wait api.Micros) (api.Outcome, api.Micros)
	endpoints func(list []api.EndpointEntry) []api.EndpointEntry
}

type host struct {
	api.Host
	mute bool
}

func (h *host) DeadLetter(id api.WebhookID) {
	if !h.mute {
		h.Host.DeadLetter(id)
	}
}

func (m *mutant) Submit(w api.Webhook) {
	if m.take != nil {
		w.OrderingKey = m.take(w.OrderingKey)
	}
	m.Policy.Submit(w)
}

func (m *mutant) AttemptEnded(result api.AttemptResult) {
	if m.outcome != nil {
		result.Outcome, result.RetryAfter = m.outcome(result.Outcome, result.RetryAfter)
	}
	m.Policy.AttemptEnded(result)
}

func (m *mutant) UpdateEndpoints(list []api.EndpointEntry, whole bool) {
	if m.endpoints != nil {
		list = m.endpoints(list)
	}
	m.Policy.UpdateEndpoints(list, whole)
}

// tampered starts mutants.
func tampered(facts func(*api.Settings), with func(*mutant)) engine.Starter {
	return func(f api.Settings, h api.Host) api.Policy {
		if facts != nil {
			facts(&f)
		}
		m := &mutant{host: host{Host: h}}
		with(m)
		m.Policy = policy.New(f, &m.host)
		return m
	}
}

func all(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

func texts(b []invariant.Breach) (s string) {
	for _, x := range b[:min(len(b), 3)] {
		s += fmt.Sprintln(x)
	}
	return s
}
