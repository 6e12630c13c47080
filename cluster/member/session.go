package member

import (
	"log/slog"
	"sync"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// Life is what a member's session is told at its start.
type Life struct {
	Self        cluster.MemberID
	Incarnation lease.Incarnation // drawn at each start of the process
	Term        api.Micros
	Apart       float64           // lease.NewTenure's
	Clock       func() api.Micros // never runs back
	Keepers     *Keepers
	Told        func(cluster.Resource, cluster.Epoch) // of each task that it has from now on; with epoch 0, no more
}

// Session keeps a member's session up and what hangs on it.
type Session struct {
	Counters
	Life

	mu      sync.Mutex
	tenure  *lease.Holder
	wishes  *lease.Reconciler
	has     map[cluster.Resource]cluster.Epoch // as Told last
	follows map[byte]*followed

	fresh bool // a task became free: all who wait for it are told in one moment
	tells []func()

	poke, look, toTell, toHand chan struct{} // there is something to ask for, to follow, to tell, to hand over

	ended   chan struct{}
	done    sync.WaitGroup
	handing sync.Mutex // news over to those who follow
}

// NewSession begins to ask for a session at once.
func NewSession(l Life) *Session {
	tenure := lease.NewHolder(l.Term, l.Apart)
	s := &Session{Life: l, tenure: tenure, wishes: lease.NewReconciler(tenure, timing.AcquireRetryInterval(l.Term)),
		has: map[cluster.Resource]cluster.Epoch{}, follows: map[byte]*followed{}, poke: make(chan struct{}, 1),
		look: make(chan struct{}, 1), toTell: make(chan struct{}, 1), toHand: make(chan struct{}, 1),
		ended: make(chan struct{})}
	s.done.Go(s.telling)
	s.done.Go(s.upkeep)
	s.done.Go(s.tasks)
	go s.follow()  // Close does not wait for a poll that is out
	go s.handOut() // nor, but for the one that is under way, for those who follow
	return s
}

func span(t api.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// nudge wakes a loop that may not be waiting just now.
func nudge(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits, or tells that all is over.
func (s *Session) pause(t api.Micros) bool {
	timer := time.NewTimer(span(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ended:
		return false
	}
}

func (s *Session) closed() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Want has a task asked for until it is released.
func (s *Session) Want(t cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wishes.Request(t) {
		nudge(s.poke)
		nudge(s.look)
	}
}

// Unwant drops a wish of before, where nothing was granted by it; cheap, since it is called time and again.
func (s *Session) Unwant(t cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wishes.CancelRequest(t)
}

// Release gives a task up at once, and tells the keepers.
func (s *Session) Release(t cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wishes.Release(t)
	nudge(s.poke)
	s.tell()
}

// Holds looks at the clock: by which epoch the task may be acted on now.
func (s *Session) Holds(t cluster.Resource) (cluster.Epoch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenure.Epoch(t, s.Clock())
}

// Guarded does a deed if the task is held. The deed calls still right before its last byte goes out, and
// leaves it if that says no: between the two lies what can't be fenced at a partner.
func (s *Session) Guarded(t cluster.Resource, deed func(e cluster.Epoch, still func() bool)) bool {
	e, held := s.Holds(t)
	if held {
		deed(e, func() bool {
			now, held := s.Holds(t)
			return held && now == e
		})
	}
	return held
}

// Standing is whether the session surely stands, for who looks from outside.
func (s *Session) Standing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenure.IsValid(s.Clock())
}

// upkeep asks for the session to be opened, then to go on, each time it is due.
func (s *Session) upkeep() {
	failures := 0
	for {
		s.mu.Lock()
		now := s.Clock()
		s.tell()
		wait := s.tenure.NextRenewalAt() - now
		if left := s.tenure.Deadline() - now; s.tenure.IsValid(now) {
			wait = min(wait, left) // guards against a term's end that nobody is told of
		}
		if wait <= 0 && !s.closed() {
			ask, session, tally := s.tenure.StartRenewal(now), s.tenure.Session(), s.tenure.Digest()
			s.mu.Unlock()
			if s.ask(ask, session, tally) {
				failures = 0
				continue
			}
			failures++
			wait = timing.RetryBackoff(s.Term, failures, s.Keepers.draw())
		} else {
			s.mu.Unlock()
		}
		if !s.pause(wait) {
			return
		}
	}
}

// ask asks the leading keeper once, and tells whether it answered.
func (s *Session) ask(a lease.Renewal, session cluster.SessionID, tally lease.Digest) bool {
	within := timing.RequestTimeout(s.Term)
	if session == 0 {
		within = timing.LoggedRequestTimeout(s.Term)
	}
	raw, err := s.Keepers.Ask(transport.SessionPath, transport.Encode(transport.SessionAsk{Member: s.Self, Session: session,
		Incarnation: s.Incarnation, Tally: tally}), span(within))
	var answer transport.SessionAnswer
	if err == nil {
		err = transport.Decode(raw, &answer)
	}
	if err == nil && answer.Refusal != 0 {
		err = fsm.Refusal(answer.Refusal)
		s.refused(session)
	}
	if err == nil && answer.Term < s.Term { // guards against acting for longer than the keepers wait
		slog.Error("the keepers count a shorter term: none is held", "term_us", s.Term, "theirs_us", answer.Term)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.Unanswered.Add(1)
		slog.Debug("session not answered", "session", session, "why", err)
		return false
	}
	before, stood := s.tenure.Session(), s.tenure.IsValid(s.Clock())
	if s.tenure.ConfirmRenewal(a, answer.Session) && before != answer.Session {
		s.Sessions.Add(1)
		slog.Info("session held", "member", s.Self, "session", answer.Session)
		s.wishes.RetryAll()
	}
	if len(answer.Holds) > 0 {
		s.wishes.ReconcileGrants(answer.Session, answer.Holds)
		s.tell()
	}
	if !stood || len(answer.Holds) > 0 {
		nudge(s.poke)
	}
	return true
}

// refused is a keeper's no to a session: all is given up.
func (s *Session) refused(session cluster.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenure.HandleRejection(session)
	s.tell()
}
