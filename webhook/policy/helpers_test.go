package policy

import (
	"rowanlink/gateway"
)

// sent is one attempt that the module asked for.
type sent struct {
	id       gateway.WebhookID
	ep       gateway.EndpointID
	at       gateway.Micros
	patience gateway.Micros
	latest   gateway.Micros
}

// fakeHost writes down what the module does; the story moves its clock.
type fakeHost struct {
	now      gateway.Micros
	sent     []sent
	rejected map[gateway.WebhookID]gateway.Micros
	dead     []gateway.WebhookID
	wakes    map[gateway.TimerID]gateway.Micros
	logs     []string
	answers  int

	cancelled []gateway.WebhookID
	closed    []gateway.EndpointID
}

func (h *fakeHost) Now() gateway.Micros { return h.now }
func (h *fakeHost) Attempt(id gateway.WebhookID, ep gateway.EndpointID, patience, latest gateway.Micros) {
	h.sent = append(h.sent, sent{id, ep, h.now, patience, latest})
}
func (h *fakeHost) Cancel(id gateway.WebhookID, attempt int) {
	h.cancelled = append(h.cancelled, id)
}
func (h *fakeHost) Reject(id gateway.WebhookID, advised gateway.Micros) {
	h.rejected[id] = advised
	h.answers++
}
func (h *fakeHost) DeadLetter(id gateway.WebhookID) {
	h.dead = append(h.dead, id)
	h.answers++
}
func (h *fakeHost) Wake(in gateway.Micros, timer gateway.TimerID) { h.wakes[timer] = h.now + in }
func (h *fakeHost) CloseIdle(ep gateway.EndpointID)               { h.closed = append(h.closed, ep) }
func (h *fakeHost) Log(text string)                               { h.logs = append(h.logs, text) }

// story is a dispatcher on a fake host, with event types 0 idempotent, 1 tokened, 2 at-most-once, 3 ordered.
type story struct {
	*Control
	h *fakeHost
}

const sec = gateway.Second

func plainFacts() gateway.Facts {
	return gateway.Facts{Seed: 7, Fleet: 1, Slots: 8, Buffer: 100, MaxAttempts: 6, MaxAdvice: 3 * sec,
		Kinds: []gateway.Kind{{Batch: 1}, {Batch: 3}, {Batch: 1, Apart: true}}, Tick: 5000, RatesStated: true,
		ConnectTimeout: sec, TurnGap: 2 * sec,
		StartCapacity: 0.2, WarmAfter: 10 * sec, FallMultiple: 2, TipAfter: 2 * sec,
		EventTypes: []gateway.EventType{
			{Target: 2 * sec, TTL: 20 * sec, Value: 1, Repeat: gateway.Idempotent},
			{Target: 2 * sec, TTL: 20 * sec, Value: 1, Repeat: gateway.Tokened, TokenWindow: 8 * sec},
			{Target: 2 * sec, TTL: 20 * sec, Value: 1, Repeat: gateway.AtMostOnce},
			{Target: 2 * sec, TTL: 20 * sec, Value: 1, Repeat: gateway.Idempotent, Ordered: true},
		}}
}

// begin starts a story: destination d has endpoints 10d and 10d+1 of the kind given.
func begin(f gateway.Facts, kinds ...gateway.KindID) *story {
	h := &fakeHost{now: 100 * sec, rejected: map[gateway.WebhookID]gateway.Micros{},
		wakes: map[gateway.TimerID]gateway.Micros{}}
	s := &story{New(f, h), h}
	var list []gateway.Entry
	for d, k := range kinds {
		for i := range 2 {
			list = append(list, gateway.Entry{Endpoint: gateway.EndpointID(10*d + i),
				Destination: gateway.DestinationID(d), Kind: k, Rate: 1000})
		}
	}
	s.Endpoints(list, true)
	s.TurnOver()
	return s
}

func (s *story) take(id gateway.WebhookID, evt gateway.EventTypeID, dest gateway.DestinationID) {
	s.Take(id, evt, 0, 5, s.h.now+20*sec, dest)
}

// came reports an outcome of the webhook's attempt that is out and closes the turn.
func (s *story) came(id gateway.WebhookID, what gateway.Outcome, wait gateway.Micros) {
	s.report(id, what, wait)
	s.TurnOver()
}

func (s *story) report(id gateway.WebhookID, what gateway.Outcome, wait gateway.Micros) {
	for i := len(s.h.sent) - 1; i >= 0; i-- {
		if x := s.h.sent[i]; x.id == id {
			s.Outcome(id, x.ep, what, s.h.now-x.at, what == gateway.Delivered, wait)
			return
		}
	}
}

// all reports the same outcome, if there is one to report, for each attempt that is out and closes the turn.
func (s *story) all(of func(ep gateway.EndpointID) gateway.Outcome) (n int) {
	for _, x := range s.h.sent {
		if w := s.held[x.id]; w != nil && w.call != nil {
			s.report(x.id, of(w.call.ep.id), 0)
			n++
		}
	}
	s.TurnOver()
	return n
}

func always(what gateway.Outcome) func(gateway.EndpointID) gateway.Outcome {
	return func(gateway.EndpointID) gateway.Outcome { return what }
}

// run moves the clock on in small turns, waking the module when its timers are due.
func (s *story) run(span gateway.Micros) {
	for until := s.h.now + span; s.h.now < until; {
		s.h.now += 5000
		for _, timer := range []gateway.TimerID{timerPeriod, timerDue} {
			if at, ok := s.h.wakes[timer]; ok && at <= s.h.now {
				delete(s.h.wakes, timer)
				s.Wake(timer)
			}
		}
		s.TurnOver()
	}
}

func (s *story) sentOf(id gateway.WebhookID) (n int) {
	for _, x := range s.h.sent {
		if x.id == id {
			n++
		}
	}
	return n
}
