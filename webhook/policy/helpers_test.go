package policy

import (
	webhookpkg "rowanlink/webhook"
)

// sent is one attempt that the module asked for.
type sent struct {
	id       webhookpkg.WebhookID
	ep       webhookpkg.EndpointID
	at       webhookpkg.Micros
	patience webhookpkg.Micros
	latest   webhookpkg.Micros
}

// fakeHost writes down what the module does; the story moves its clock.
type fakeHost struct {
	now      webhookpkg.Micros
	sent     []sent
	rejected map[webhookpkg.WebhookID]webhookpkg.Micros
	dead     []webhookpkg.WebhookID
	wakes    map[webhookpkg.TimerID]webhookpkg.Micros
	logs     []string
	answers  int

	cancelled []webhookpkg.WebhookID
	closed    []webhookpkg.EndpointID
}

func (h *fakeHost) Now() webhookpkg.Micros { return h.now }
func (h *fakeHost) Attempt(id webhookpkg.WebhookID, ep webhookpkg.EndpointID, patience, latest webhookpkg.Micros) {
	h.sent = append(h.sent, sent{id, ep, h.now, patience, latest})
}
func (h *fakeHost) Cancel(id webhookpkg.WebhookID, attempt int) {
	h.cancelled = append(h.cancelled, id)
}
func (h *fakeHost) Reject(id webhookpkg.WebhookID, advised webhookpkg.Micros) {
	h.rejected[id] = advised
	h.answers++
}
func (h *fakeHost) DeadLetter(id webhookpkg.WebhookID) {
	h.dead = append(h.dead, id)
	h.answers++
}
func (h *fakeHost) Wake(in webhookpkg.Micros, timer webhookpkg.TimerID) { h.wakes[timer] = h.now + in }
func (h *fakeHost) CloseIdle(ep webhookpkg.EndpointID)                  { h.closed = append(h.closed, ep) }
func (h *fakeHost) Log(text string)                                     { h.logs = append(h.logs, text) }

// story is a dispatcher on a fake host, with event types 0 idempotent, 1 tokened, 2 at-most-once, 3 ordered.
type story struct {
	*Control
	h *fakeHost
}

const sec = webhookpkg.Second

func plainFacts() webhookpkg.Facts {
	return webhookpkg.Facts{Seed: 7, Fleet: 1, Slots: 8, Buffer: 100, MaxAttempts: 6, MaxAdvice: 3 * sec,
		Kinds: []webhookpkg.Kind{{Batch: 1}, {Batch: 3}, {Batch: 1, Apart: true}}, Tick: 5000, RatesStated: true,
		ConnectTimeout: sec, TurnGap: 2 * sec,
		StartCapacity: 0.2, WarmAfter: 10 * sec, FallMultiple: 2, TipAfter: 2 * sec,
		EventTypes: []webhookpkg.EventType{
			{Target: 2 * sec, TTL: 20 * sec, Value: 1, Repeat: webhookpkg.Idempotent},
			{Target: 2 * sec, TTL: 20 * sec, Value: 1, Repeat: webhookpkg.Tokened, TokenWindow: 8 * sec},
			{Target: 2 * sec, TTL: 20 * sec, Value: 1, Repeat: webhookpkg.AtMostOnce},
			{Target: 2 * sec, TTL: 20 * sec, Value: 1, Repeat: webhookpkg.Idempotent, Ordered: true},
		}}
}

// begin starts a story: destination d has endpoints 10d and 10d+1 of the kind given.
func begin(f webhookpkg.Facts, kinds ...webhookpkg.KindID) *story {
	h := &fakeHost{now: 100 * sec, rejected: map[webhookpkg.WebhookID]webhookpkg.Micros{},
		wakes: map[webhookpkg.TimerID]webhookpkg.Micros{}}
	s := &story{New(f, h), h}
	var list []webhookpkg.Entry
	for d, k := range kinds {
		for i := range 2 {
			list = append(list, webhookpkg.Entry{Endpoint: webhookpkg.EndpointID(10*d + i),
				Destination: webhookpkg.DestinationID(d), Kind: k, Rate: 1000})
		}
	}
	s.Endpoints(list, true)
	s.TurnOver()
	return s
}

func (s *story) take(id webhookpkg.WebhookID, evt webhookpkg.EventTypeID, dest webhookpkg.DestinationID) {
	s.Take(id, evt, 0, 5, s.h.now+20*sec, dest)
}

// came reports an outcome of the webhook's attempt that is out and closes the turn.
func (s *story) came(id webhookpkg.WebhookID, what webhookpkg.Outcome, wait webhookpkg.Micros) {
	s.report(id, what, wait)
	s.TurnOver()
}

func (s *story) report(id webhookpkg.WebhookID, what webhookpkg.Outcome, wait webhookpkg.Micros) {
	for i := len(s.h.sent) - 1; i >= 0; i-- {
		if x := s.h.sent[i]; x.id == id {
			s.Outcome(id, x.ep, what, s.h.now-x.at, what == webhookpkg.Delivered, wait)
			return
		}
	}
}

// all reports the same outcome, if there is one to report, for each attempt that is out and closes the turn.
func (s *story) all(of func(ep webhookpkg.EndpointID) webhookpkg.Outcome) (n int) {
	for _, x := range s.h.sent {
		if w := s.held[x.id]; w != nil && w.call != nil {
			s.report(x.id, of(w.call.ep.id), 0)
			n++
		}
	}
	s.TurnOver()
	return n
}

func always(what webhookpkg.Outcome) func(webhookpkg.EndpointID) webhookpkg.Outcome {
	return func(webhookpkg.EndpointID) webhookpkg.Outcome { return what }
}

// run moves the clock on in small turns, waking the module when its timers are due.
func (s *story) run(span webhookpkg.Micros) {
	for until := s.h.now + span; s.h.now < until; {
		s.h.now += 5000
		for _, timer := range []webhookpkg.TimerID{timerPeriod, timerDue} {
			if at, ok := s.h.wakes[timer]; ok && at <= s.h.now {
				delete(s.h.wakes, timer)
				s.Wake(timer)
			}
		}
		s.TurnOver()
	}
}

func (s *story) sentOf(id webhookpkg.WebhookID) (n int) {
	for _, x := range s.h.sent {
		if x.id == id {
			n++
		}
	}
	return n
}
