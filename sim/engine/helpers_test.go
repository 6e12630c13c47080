package engine_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/sim/engine"
	"rowanlink/sim/event"
	"rowanlink/sim/invariant"
	"rowanlink/webhook/api"
	"rowanlink/webhook/policy"
)

const sec = engine.Duration(api.Second)

func module(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) }

// plain is one dispatcher in front of eight destinations of two endpoints each, with one event type of each
// sort.
func plain(troubles ...engine.Fault) *engine.Scenario {
	s := &engine.Scenario{Name: "plain", Duration: 30 * sec,
		Dispatchers: engine.Dispatchers{Count: 2, MaxConcurrentCalls: 24, BufferSize: 400, CanCancel: true, MaxRetryAfter: 3 * sec,
			RatesListed: true, EndpointUpdateDelay: []engine.Duration{sec, sec}},
		Clients:      engine.Clients{Rate: 100, DestinationSkew: 0.5, MaxResubmissions: 2, HonorRetryAfter: 1},
		Destinations: engine.Destinations{Count: 8},
		EventTypes: []engine.EventType{
			{Name: "idempotent", LatencyTarget: 3 * sec, TTL: 20 * sec},
			{Name: "tokened", LatencyTarget: 3 * sec, TTL: 20 * sec, Semantics: "tokened", DedupWindow: 8 * sec},
			{Name: "once", LatencyTarget: 3 * sec, TTL: 20 * sec, Semantics: "at-most-once"},
			{Name: "ordered", LatencyTarget: 3 * sec, TTL: 20 * sec, Ordered: true, OrderingKeys: 12},
		},
		DestinationKinds: []engine.DestinationKind{{Name: "shop", Endpoints: []int{2}, ServiceTime: sec / 5, ServiceTimeCV: 0.5, Limit: "rate",
			Headroom: 2, MinRate: 4, RetryAfterShare: 1, RetryAfter: []engine.Duration{sec / 2, sec}}},
		Faults: troubles}
	s.ApplyDefaults()
	return s
}

// log writes down all events that it wants.
type log struct {
	wants []event.Kind
	all   []event.Event
}

func (l *log) Kinds() []event.Kind    { return l.wants }
func (l *log) Observe(e *event.Event) { l.all = append(l.all, *e) }

// play runs a scenario under the watch; events of the kinds given come back, too.
func play(
	t *testing.T,
	s *engine.Scenario,
	start engine.PolicyFactory,
	what ...event.Kind,
) (*invariant.Checker, []event.Event,
	invariant.Summary) {
	require.NoError(t, s.Validate())
	m := engine.New(s, start)
	terms := invariant.Thresholds{Settings: s.DispatcherSettings(0, 0), DrainGrace: api.Micros(s.Thresholds.DrainGrace),
		AnswerGrace: 3*api.Micros(s.Dispatchers.MinIterationInterval) + api.Second/20}
	w, r, l := invariant.NewChecker(terms), invariant.NewRecorder(terms), &log{wants: what}
	w.Subscribe(&m.Bus)
	m.Bus.Subscribe(r, l)
	w.Finish(m.Run())
	return w, l.all, r.Finish()
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
func tampered(facts func(*api.Settings), with func(*mutant)) engine.PolicyFactory {
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

func texts(b []invariant.Violation) (s string) {
	for _, x := range b[:min(len(b), 3)] {
		s += fmt.Sprintln(x)
	}
	return s
}
