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

func newPolicy(settings api.Settings, host api.Host) api.Policy { return policy.New(settings, host) }

// newScenario has two dispatchers and eight destinations of two endpoints each, with one event type of each kind.
func newScenario(faults ...engine.Fault) *engine.Scenario {
	s := &engine.Scenario{
		Name:     "plain",
		Duration: 30 * sec,
		Dispatchers: engine.Dispatchers{
			Count:               2,
			MaxConcurrentCalls:  24,
			BufferSize:          400,
			CanCancel:           true,
			MaxRetryAfter:       3 * sec,
			RatesListed:         true,
			EndpointUpdateDelay: []engine.Duration{sec, sec},
		},
		Clients:      engine.Clients{Rate: 100, DestinationSkew: 0.5, MaxResubmissions: 2, HonorRetryAfter: 1},
		Destinations: engine.Destinations{Count: 8},
		EventTypes: []engine.EventType{
			{Name: "idempotent", LatencyTarget: 3 * sec, TTL: 20 * sec},
			{Name: "tokened", LatencyTarget: 3 * sec, TTL: 20 * sec, Semantics: "tokened", DedupWindow: 8 * sec},
			{Name: "once", LatencyTarget: 3 * sec, TTL: 20 * sec, Semantics: "at-most-once"},
			{Name: "ordered", LatencyTarget: 3 * sec, TTL: 20 * sec, Ordered: true, OrderingKeys: 12},
		},
		DestinationKinds: []engine.DestinationKind{{
			Name:            "shop",
			Endpoints:       []int{2},
			ServiceTime:     sec / 5,
			ServiceTimeCV:   0.5,
			Limit:           "rate",
			Headroom:        2,
			MinRate:         4,
			RetryAfterShare: 1,
			RetryAfter:      []engine.Duration{sec / 2, sec},
		}},
		Faults: faults,
	}
	s.ApplyDefaults()
	return s
}

// eventLog keeps the events of some kinds.
type eventLog struct {
	kinds  []event.Kind
	events []event.Event
}

func (l *eventLog) Kinds() []event.Kind    { return l.kinds }
func (l *eventLog) Observe(e *event.Event) { l.events = append(l.events, *e) }

func thresholdsOf(s *engine.Scenario) invariant.Thresholds {
	return invariant.Thresholds{
		Settings:    s.DispatcherSettings(0, 0),
		DrainGrace:  api.Micros(s.Thresholds.DrainGrace),
		AnswerGrace: 3*api.Micros(s.Dispatchers.MinIterationInterval) + api.Second/20,
	}
}

// run runs a scenario, checks the invariants and returns the events of the given kinds.
func run(t *testing.T, s *engine.Scenario, newPolicy engine.PolicyFactory, kinds ...event.Kind) (*invariant.Checker,
	[]event.Event, invariant.Summary) {
	t.Helper()
	require.NoError(t, s.Validate())
	m := engine.New(s, newPolicy)
	checker, recorder := invariant.NewChecker(thresholdsOf(s)), invariant.NewRecorder(thresholdsOf(s))
	log := &eventLog{kinds: kinds}
	checker.Subscribe(&m.Bus)
	m.Bus.Subscribe(recorder, log)
	checker.Finish(m.Run())
	return checker, log.events, recorder.Finish()
}

// mutantPolicy is the policy with changed input, or without its dead letters.
type mutantPolicy struct {
	api.Policy
	mutantHost
	orderingKey func(key api.OrderingKey) api.OrderingKey
	outcome     func(outcome api.Outcome, retryAfter api.Micros) (api.Outcome, api.Micros)
	endpoints   func(entries []api.EndpointEntry) []api.EndpointEntry
}

type mutantHost struct {
	api.Host
	dropsDeadLetters bool
}

func (h *mutantHost) DeadLetter(id api.WebhookID) {
	if !h.dropsDeadLetters {
		h.Host.DeadLetter(id)
	}
}

func (m *mutantPolicy) Submit(w api.Webhook) {
	if m.orderingKey != nil {
		w.OrderingKey = m.orderingKey(w.OrderingKey)
	}
	m.Policy.Submit(w)
}

func (m *mutantPolicy) AttemptEnded(result api.AttemptResult) {
	if m.outcome != nil {
		result.Outcome, result.RetryAfter = m.outcome(result.Outcome, result.RetryAfter)
	}
	m.Policy.AttemptEnded(result)
}

func (m *mutantPolicy) UpdateEndpoints(entries []api.EndpointEntry, complete bool) {
	if m.endpoints != nil {
		entries = m.endpoints(entries)
	}
	m.Policy.UpdateEndpoints(entries, complete)
}

// mutant makes mutants of the policy.
func mutant(change func(*mutantPolicy)) engine.PolicyFactory {
	return func(settings api.Settings, host api.Host) api.Policy {
		m := &mutantPolicy{mutantHost: mutantHost{Host: host}}
		change(m)
		m.Policy = policy.New(settings, &m.mutantHost)
		return m
	}
}

// describe formats the first violations.
func describe(violations []invariant.Violation) string {
	var text string
	for _, v := range violations[:min(len(violations), 3)] {
		text += fmt.Sprintln(v)
	}
	return text
}
