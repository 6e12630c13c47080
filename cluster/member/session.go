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

// Config is what a member's session is told at its start.
type Config struct {
	Self          cluster.MemberID
	Incarnation   lease.Incarnation // drawn at each start of the process
	LeaseTTL      api.Micros
	MaxClockDrift float64           // lease.NewTenure's
	Clock         func() api.Micros // never runs back
	Leader        *LeaderClient
	OnChange      func(cluster.Resource, cluster.Epoch) // of each task that it has from now on; with epoch 0, no more
}

// Session keeps a member's session up and what hangs on it.
type Session struct {
	Counters
	Config

	mu       sync.Mutex
	tenure   *lease.Holder
	wishes   *lease.Reconciler
	notified map[cluster.Resource]cluster.Epoch // as Told last
	watchers map[byte]*watcher

	hasFreed      bool // a task became free: all who wait for it are told in one moment
	notifications []func()

	acquireWake, pollWake, notifyWake, deliverWake chan struct{} // there is something to ask for, to follow, to tell, to hand over

	ended     chan struct{}
	done      sync.WaitGroup
	deliverMu sync.Mutex // news over to those who follow
}

// NewSession begins to ask for a session at once.
func NewSession(l Config) *Session {
	tenure := lease.NewHolder(l.LeaseTTL, l.MaxClockDrift)
	s := &Session{Config: l, tenure: tenure, wishes: lease.NewReconciler(tenure, timing.AcquireRetryInterval(l.LeaseTTL)),
		notified: map[cluster.Resource]cluster.Epoch{}, watchers: map[byte]*watcher{}, acquireWake: make(chan struct{}, 1),
		pollWake: make(chan struct{}, 1), notifyWake: make(chan struct{}, 1), deliverWake: make(chan struct{}, 1),
		ended: make(chan struct{})}
	s.done.Go(s.notifyLoop)
	s.done.Go(s.renewLoop)
	s.done.Go(s.acquireLoop)
	go s.watchLoop()   // Close does not wait for a poll that is out
	go s.deliverLoop() // nor, but for the one that is under way, for those who follow
	return s
}

func duration(t api.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// wake wakes a loop that may not be waiting just now.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits, or tells that all is over.
func (s *Session) sleep(t api.Micros) bool {
	timer := time.NewTimer(duration(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ended:
		return false
	}
}

func (s *Session) isClosed() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Acquire has a task asked for until it is released.
func (s *Session) Acquire(t cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wishes.Request(t) {
		wake(s.acquireWake)
		wake(s.pollWake)
	}
}

// CancelAcquire drops a wish of before, where nothing was granted by it; cheap, since it is called time and again.
func (s *Session) CancelAcquire(t cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wishes.CancelRequest(t)
}

// Release gives a task up at once, and tells the keepers.
func (s *Session) Release(t cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wishes.Release(t)
	wake(s.acquireWake)
	s.notifyChanges()
}

// Holds looks at the clock: by which epoch the task may be acted on now.
func (s *Session) Holds(t cluster.Resource) (cluster.Epoch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenure.Epoch(t, s.Clock())
}

// DoWhileHeld does a deed if the task is held. The deed calls still right before its last byte goes out, and
// leaves it if that says no: between the two lies what can't be fenced at a partner.
func (s *Session) DoWhileHeld(t cluster.Resource, deed func(e cluster.Epoch, still func() bool)) bool {
	e, held := s.Holds(t)
	if held {
		deed(e, func() bool {
			now, held := s.Holds(t)
			return held && now == e
		})
	}
	return held
}

// IsActive is whether the session surely stands, for who looks from outside.
func (s *Session) IsActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenure.IsValid(s.Clock())
}

// renewLoop asks for the session to be opened, then to go on, each time it is due.
func (s *Session) renewLoop() {
	failures := 0
	for {
		s.mu.Lock()
		now := s.Clock()
		s.notifyChanges()
		wait := s.tenure.NextRenewalAt() - now
		if left := s.tenure.Deadline() - now; s.tenure.IsValid(now) {
			wait = min(wait, left) // guards against a term's end that nobody is told of
		}
		if wait <= 0 && !s.isClosed() {
			ask, session, tally := s.tenure.StartRenewal(now), s.tenure.Session(), s.tenure.Digest()
			s.mu.Unlock()
			if s.requestRenewal(ask, session, tally) {
				failures = 0
				continue
			}
			failures++
			wait = timing.RetryBackoff(s.LeaseTTL, failures, s.Leader.drawRandom())
		} else {
			s.mu.Unlock()
		}
		if !s.sleep(wait) {
			return
		}
	}
}

// requestRenewal asks the leading keeper once, and tells whether it answered.
func (s *Session) requestRenewal(a lease.Renewal, session cluster.SessionID, tally lease.Digest) bool {
	within := timing.RequestTimeout(s.LeaseTTL)
	if session == 0 {
		within = timing.LoggedRequestTimeout(s.LeaseTTL)
	}
	raw, err := s.Leader.Request(transport.SessionPath, transport.Encode(transport.SessionRequest{Member: s.Self, Session: session,
		Incarnation: s.Incarnation, GrantTally: tally}), duration(within))
	var answer transport.SessionResponse
	if err == nil {
		err = transport.Decode(raw, &answer)
	}
	if err == nil && answer.ErrorCode != 0 {
		err = fsm.ErrorFromCode(answer.ErrorCode)
		s.dropSession(session)
	}
	if err == nil && answer.TTL < s.LeaseTTL { // guards against acting for longer than the keepers wait
		slog.Error("the keepers count a shorter term: none is held", "term_us", s.LeaseTTL, "theirs_us", answer.TTL)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.RenewalsUnanswered.Add(1)
		slog.Debug("session not answered", "session", session, "why", err)
		return false
	}
	before, stood := s.tenure.Session(), s.tenure.IsValid(s.Clock())
	if s.tenure.ConfirmRenewal(a, answer.Session) && before != answer.Session {
		s.SessionsOpened.Add(1)
		slog.Info("session held", "member", s.Self, "session", answer.Session)
		s.wishes.RetryAll()
	}
	if len(answer.Grants) > 0 {
		s.wishes.ReconcileGrants(answer.Session, answer.Grants)
		s.notifyChanges()
	}
	if !stood || len(answer.Grants) > 0 {
		wake(s.acquireWake)
	}
	return true
}

// dropSession is a keeper's no to a session: all is given up.
func (s *Session) dropSession(session cluster.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenure.HandleRejection(session)
	s.notifyChanges()
}
