package policy

import (
	"rowanlink/webhook/api"
)

// The event types of testSettings.
const (
	idempotentEvent api.EventTypeID = iota
	deduplicatedEvent
	atMostOnceEvent
	orderedEvent
)

// The destination kinds of testSettings.
const (
	plainKind api.DestinationKindID = iota
	batchingKind
	separateRoutesKind
)

const (
	webhookTTL      = 20 * api.Second
	turnInterval    = api.Micros(5000)
	testOrderingKey = api.OrderingKey(5)
)

// startedAttempt is one attempt that the policy started.
type startedAttempt struct {
	id       api.WebhookID
	endpoint api.EndpointID
	at       api.Micros
	timeout  api.Micros
	latest   api.Micros // latest start of the call
}

// fakeHost records what the policy does; the scenario moves its clock.
type fakeHost struct {
	now          api.Micros
	attempts     []startedAttempt
	rejected     map[api.WebhookID]api.Micros // the Retry-After of each
	deadLettered []api.WebhookID
	timers       map[api.TimerID]api.Micros // when each expires
	logs         []string
	answers      int // final answers

	cancelled  []api.WebhookID
	closedIdle []api.EndpointID
}

func (h *fakeHost) Now() api.Micros { return h.now }

func (h *fakeHost) StartAttempt(id api.WebhookID, endpoint api.EndpointID, timeout, latest api.Micros) {
	h.attempts = append(h.attempts, startedAttempt{
		id:       id,
		endpoint: endpoint,
		at:       h.now,
		timeout:  timeout,
		latest:   latest,
	})
}

func (h *fakeHost) CancelAttempt(id api.WebhookID, _ int) {
	h.cancelled = append(h.cancelled, id)
}

func (h *fakeHost) Reject(id api.WebhookID, retryAfter api.Micros) {
	h.rejected[id] = retryAfter
	h.answers++
}

func (h *fakeHost) DeadLetter(id api.WebhookID) {
	h.deadLettered = append(h.deadLettered, id)
	h.answers++
}

func (h *fakeHost) SetTimer(after api.Micros, timer api.TimerID) {
	h.timers[timer] = h.now + after
}

func (h *fakeHost) CloseIdleConnections(endpoint api.EndpointID) {
	h.closedIdle = append(h.closedIdle, endpoint)
}

func (h *fakeHost) Log(text string) {
	h.logs = append(h.logs, text)
}

func (h *fakeHost) lastAttempt() startedAttempt {
	return h.attempts[len(h.attempts)-1]
}

// testSettings returns the settings of a single dispatcher.
func testSettings() api.Settings {
	eventType := func(semantics api.Semantics) api.EventType {
		return api.EventType{LatencyTarget: 2 * api.Second, TTL: webhookTTL, Value: 1, Semantics: semantics}
	}
	deduplicated := eventType(api.Deduplicated)
	deduplicated.DedupWindow = 8 * api.Second
	ordered := eventType(api.Idempotent)
	ordered.Ordered = true
	return api.Settings{
		Seed:          7,
		Dispatchers:   1,
		MaxInFlight:   8,
		BufferSize:    100,
		MaxAttempts:   6,
		MaxRetryAfter: 3 * api.Second,
		DestinationKinds: []api.DestinationKind{
			plainKind:          {BatchSize: 1},
			batchingKind:       {BatchSize: 3},
			separateRoutesKind: {BatchSize: 1, SeparateRoutes: true},
		},
		MinTurnInterval:   turnInterval,
		RatesListed:       true,
		ConnectTimeout:    api.Second,
		OrderingGap:       2 * api.Second,
		SlowStartCapacity: 0.2,
		SlowStartDuration: 10 * api.Second,
		OverloadFactor:    2,
		OverloadDuration:  2 * api.Second,
		EventTypes: []api.EventType{
			idempotentEvent:   eventType(api.Idempotent),
			deduplicatedEvent: deduplicated,
			atMostOnceEvent:   eventType(api.AtMostOnce),
			orderedEvent:      ordered,
		},
	}
}

// settingsWithoutRates returns testSettings for one of a number of dispatchers, with endpoint lists that state no rates.
func settingsWithoutRates(dispatchers int) api.Settings {
	settings := testSettings()
	settings.Dispatchers = dispatchers
	settings.RatesListed = false
	return settings
}

// scenario drives a policy that acts on a fake host.
type scenario struct {
	*Policy
	fake *fakeHost
}

// startScenario starts a policy. Destination d is of kind kinds[d] and has the endpoints 10d and 10d+1.
func startScenario(settings api.Settings, kinds ...api.DestinationKindID) *scenario {
	host := &fakeHost{
		now:      100 * api.Second,
		rejected: map[api.WebhookID]api.Micros{},
		timers:   map[api.TimerID]api.Micros{},
	}
	s := &scenario{Policy: New(settings, host), fake: host}
	var list []api.EndpointEntry
	for d, kind := range kinds {
		for i := range 2 {
			list = append(list, api.EndpointEntry{
				Endpoint:    api.EndpointID(10*d + i),
				Destination: api.DestinationID(d),
				Kind:        kind,
				Rate:        1000,
			})
		}
	}
	s.UpdateEndpoints(list, true)
	s.EndTurn()
	return s
}

// startRateLimitedScenario starts a scenario of one of a number of dispatchers. The two destinations, of endpoints 0 and 10,
// each accept four calls a second from all dispatchers together.
func startRateLimitedScenario(dispatchers int) *scenario {
	settings := testSettings()
	settings.Dispatchers = dispatchers
	s := startScenario(settings, plainKind, plainKind)
	for d := range api.DestinationID(2) {
		entry := api.EndpointEntry{Endpoint: api.EndpointID(10 * d), Destination: d, Rate: 4}
		s.UpdateEndpoints([]api.EndpointEntry{entry}, false)
	}
	return s
}

// submit submits a webhook in the current turn.
func (s *scenario) submit(id api.WebhookID, eventType api.EventTypeID, destination api.DestinationID) {
	s.Submit(api.Webhook{
		ID:          id,
		EventType:   eventType,
		OrderingKey: testOrderingKey,
		Deadline:    s.fake.now + webhookTTL,
		Destination: destination,
	})
}

// endAttempt reports to the policy how the webhook's last attempt ended.
func (s *scenario) endAttempt(id api.WebhookID, outcome api.Outcome, retryAfter api.Micros) {
	for i := len(s.fake.attempts) - 1; i >= 0; i-- {
		attempt := s.fake.attempts[i]
		if attempt.id != id {
			continue
		}
		s.AttemptEnded(api.AttemptResult{
			Webhook:    id,
			Endpoint:   attempt.endpoint,
			Outcome:    outcome,
			Latency:    s.fake.now - attempt.at,
			Final:      outcome == api.Delivered,
			RetryAfter: retryAfter,
		})
		return
	}
}

// endAttemptAndTurn reports the outcome of the webhook's last attempt and ends the turn.
func (s *scenario) endAttemptAndTurn(id api.WebhookID, outcome api.Outcome, retryAfter api.Micros) {
	s.endAttempt(id, outcome, retryAfter)
	s.EndTurn()
}

// endAllAttempts reports an outcome for each attempt in flight, ends the turn and returns the number of attempts.
func (s *scenario) endAllAttempts(outcomeAt func(api.EndpointID) api.Outcome) int {
	ended := 0
	for _, attempt := range s.fake.attempts {
		if w := s.webhooks[attempt.id]; w != nil && w.call != nil {
			s.endAttempt(attempt.id, outcomeAt(w.call.endpoint.id), 0)
			ended++
		}
	}
	s.EndTurn()
	return ended
}

// always returns an outcome function for endAllAttempts that gives every attempt the same outcome.
func always(outcome api.Outcome) func(api.EndpointID) api.Outcome {
	return func(api.EndpointID) api.Outcome { return outcome }
}

// advance moves the clock forward in turns of turnInterval and fires the timers that expire.
func (s *scenario) advance(span api.Micros) {
	for until := s.fake.now + span; s.fake.now < until; {
		s.fake.now += turnInterval
		for _, timer := range []api.TimerID{timerPeriodic, timerQueue} {
			if at, ok := s.fake.timers[timer]; ok && at <= s.fake.now {
				delete(s.fake.timers, timer)
				s.TimerFired(timer)
			}
		}
		s.EndTurn()
	}
}

// attemptsOf returns how many attempts of a webhook were started.
func (s *scenario) attemptsOf(id api.WebhookID) int {
	attempts := 0
	for _, attempt := range s.fake.attempts {
		if attempt.id == id {
			attempts++
		}
	}
	return attempts
}
