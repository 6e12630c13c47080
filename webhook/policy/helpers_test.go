package policy

import (
	"rowanlink/webhook/api"
)

// sent is one attempt that the module asked for.
type sent struct {
	id       api.WebhookID
	ep       api.EndpointID
	at       api.Micros
	patience api.Micros
	latest   api.Micros
}

// fakeHost writes down what the module does; the story moves its clock.
type fakeHost struct {
	now      api.Micros
	sent     []sent
	rejected map[api.WebhookID]api.Micros
	dead     []api.WebhookID
	wakes    map[api.TimerID]api.Micros
	logs     []string
	answers  int

	cancelled []api.WebhookID
	closed    []api.EndpointID
}

func (h *fakeHost) Now() api.Micros { return h.now }
func (h *fakeHost) StartAttempt(id api.WebhookID, ep api.EndpointID, patience, latest api.Micros) {
	h.sent = append(h.sent, sent{id, ep, h.now, patience, latest})
}
func (h *fakeHost) CancelAttempt(id api.WebhookID, attempt int) {
	h.cancelled = append(h.cancelled, id)
}
func (h *fakeHost) Reject(id api.WebhookID, advised api.Micros) {
	h.rejected[id] = advised
	h.answers++
}
func (h *fakeHost) DeadLetter(id api.WebhookID) {
	h.dead = append(h.dead, id)
	h.answers++
}
func (h *fakeHost) SetTimer(in api.Micros, timer api.TimerID) { h.wakes[timer] = h.now + in }
func (h *fakeHost) CloseIdleConnections(ep api.EndpointID)    { h.closed = append(h.closed, ep) }
func (h *fakeHost) Log(text string)                           { h.logs = append(h.logs, text) }

// story is a dispatcher on a fake host, with event types 0 idempotent, 1 tokened, 2 at-most-once, 3 ordered.
type story struct {
	*Policy
	h *fakeHost
}

const sec = api.Second

func plainFacts() api.Settings {
	return api.Settings{Seed: 7, Dispatchers: 1, MaxInFlight: 8, BufferSize: 100, MaxAttempts: 6, MaxRetryAfter: 3 * sec,
		DestinationKinds: []api.DestinationKind{{BatchSize: 1}, {BatchSize: 3}, {BatchSize: 1, SeparateRoutes: true}}, MinTurnInterval: 5000, RatesListed: true,
		ConnectTimeout: sec, OrderingGap: 2 * sec,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * sec, OverloadFactor: 2, OverloadDuration: 2 * sec,
		EventTypes: []api.EventType{
			{LatencyTarget: 2 * sec, TTL: 20 * sec, Value: 1, Semantics: api.Idempotent},
			{LatencyTarget: 2 * sec, TTL: 20 * sec, Value: 1, Semantics: api.Deduplicated, DedupWindow: 8 * sec},
			{LatencyTarget: 2 * sec, TTL: 20 * sec, Value: 1, Semantics: api.AtMostOnce},
			{LatencyTarget: 2 * sec, TTL: 20 * sec, Value: 1, Semantics: api.Idempotent, Ordered: true},
		}}
}

// begin starts a story: destination d has endpoints 10d and 10d+1 of the kind given.
func begin(f api.Settings, kinds ...api.DestinationKindID) *story {
	h := &fakeHost{now: 100 * sec, rejected: map[api.WebhookID]api.Micros{},
		wakes: map[api.TimerID]api.Micros{}}
	s := &story{New(f, h), h}
	var list []api.EndpointEntry
	for d, k := range kinds {
		for i := range 2 {
			list = append(list, api.EndpointEntry{Endpoint: api.EndpointID(10*d + i),
				Destination: api.DestinationID(d), Kind: k, Rate: 1000})
		}
	}
	s.UpdateEndpoints(list, true)
	s.EndTurn()
	return s
}

func (s *story) take(id api.WebhookID, evt api.EventTypeID, dest api.DestinationID) {
	s.Submit(api.Webhook{ID: id, EventType: evt, OrderingKey: 5, Deadline: s.h.now + 20*sec, Destination: dest})
}

// came reports an outcome of the webhook's attempt that is out and closes the turn.
func (s *story) came(id api.WebhookID, what api.Outcome, wait api.Micros) {
	s.report(id, what, wait)
	s.EndTurn()
}

func (s *story) report(id api.WebhookID, what api.Outcome, wait api.Micros) {
	for i := len(s.h.sent) - 1; i >= 0; i-- {
		if x := s.h.sent[i]; x.id == id {
			s.AttemptEnded(api.AttemptResult{
				Webhook:    id,
				Endpoint:   x.ep,
				Outcome:    what,
				Latency:    s.h.now - x.at,
				Final:      what == api.Delivered,
				RetryAfter: wait,
			})
			return
		}
	}
}

// all reports the same outcome, if there is one to report, for each attempt that is out and closes the turn.
func (s *story) all(of func(ep api.EndpointID) api.Outcome) (n int) {
	for _, x := range s.h.sent {
		if w := s.webhooks[x.id]; w != nil && w.call != nil {
			s.report(x.id, of(w.call.endpoint.id), 0)
			n++
		}
	}
	s.EndTurn()
	return n
}

func always(what api.Outcome) func(api.EndpointID) api.Outcome {
	return func(api.EndpointID) api.Outcome { return what }
}

// run moves the clock on in small turns, waking the module when its timers are due.
func (s *story) run(span api.Micros) {
	for until := s.h.now + span; s.h.now < until; {
		s.h.now += 5000
		for _, timer := range []api.TimerID{timerPeriodic, timerQueue} {
			if at, ok := s.h.wakes[timer]; ok && at <= s.h.now {
				delete(s.h.wakes, timer)
				s.TimerFired(timer)
			}
		}
		s.EndTurn()
	}
}

func (s *story) sentOf(id api.WebhookID) (n int) {
	for _, x := range s.h.sent {
		if x.id == id {
			n++
		}
	}
	return n
}
