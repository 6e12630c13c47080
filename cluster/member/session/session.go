// Package session is the client side of leases: it keeps a member's session with the leading raft node open, acquires
// and releases the leases of resources by it, and follows components of the replicated state.
//
// The rules for when a lease may be acted on are those of package lease; this package adds goroutines, the clock and
// requests to the raft nodes.
package session

import (
	"sync"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/internal/wakeup"
	"rowanlink/webhook/api"
)

// Config is what a Session is made from.
type Config struct {
	Self          cluster.MemberID
	Incarnation   lease.Incarnation // random, another one for each start of the process
	LeaseTTL      api.Micros
	MaxClockDrift float64           // the most by which the rates of two clocks differ, as a fraction
	Clock         func() api.Micros // monotonic
	Leader        *LeaderClient
	// OnChange is called for each resource that the session has acquired, with the epoch of the grant, and for each
	// that it has lost or released, with epoch 0. It runs on a goroutine of the session's own, one call at a time, and
	// may call the session. nil: not called.
	OnChange func(resource cluster.Resource, epoch cluster.Epoch)
}

// Session keeps a member's session open and the leases that belong to it. All methods may be called concurrently.
type Session struct {
	Counters
	Config

	mu         sync.Mutex
	holder     *lease.Holder
	reconciler *lease.Reconciler
	notified   map[cluster.Resource]cluster.Epoch // the state that OnChange was last called with
	watchers   map[cluster.ComponentID]*watcher   // by component of the replicated state

	// hasFreed is set when a raft node reports that a resource became free. All waiting members get that report at
	// once, so the next request for a grant is delayed by a random jitter.
	hasFreed      bool
	notifications []func() // calls of OnChange that are queued

	acquireWake wakeup.Signal // the acquire loop has something to propose
	pollWake    wakeup.Signal // the watch loop has something to poll for
	notifyWake  wakeup.Signal // notifications are queued
	deliverWake wakeup.Signal // a watcher has a pending snapshot

	ended     chan struct{}
	done      sync.WaitGroup
	deliverMu sync.Mutex // held while a watcher's callback runs
}

// New returns a session that has begun to open itself. It has to be closed.
func New(c Config) *Session {
	holder := lease.NewHolder(c.LeaseTTL, c.MaxClockDrift)
	s := &Session{
		Config:      c,
		holder:      holder,
		reconciler:  lease.NewReconciler(holder, timing.AcquireRetryInterval(c.LeaseTTL)),
		notified:    map[cluster.Resource]cluster.Epoch{},
		watchers:    map[cluster.ComponentID]*watcher{},
		acquireWake: wakeup.New(),
		pollWake:    wakeup.New(),
		notifyWake:  wakeup.New(),
		deliverWake: wakeup.New(),
		ended:       make(chan struct{}),
	}
	s.done.Go(s.notifyLoop)
	s.done.Go(s.renewLoop)
	s.done.Go(s.acquireLoop)
	go s.watchLoop()   // Close doesn't wait for a poll in flight
	go s.deliverLoop() // Close waits only for the callback that is running
	return s
}

// Acquire requests the lease of a resource until it is granted, and again whenever it was lost, until Release.
func (s *Session) Acquire(resource cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reconciler.Request(resource) {
		s.acquireWake.Send()
		s.pollWake.Send()
	}
}

// CancelAcquire stops requesting a resource that was not granted; a granted one is held until Release. It is cheap, as
// it is called for each range at each reconciliation of ownership.
func (s *Session) CancelAcquire(resource cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reconciler.CancelRequest(resource)
}

// Release gives up a resource at once; its release is proposed to the raft nodes in the background.
func (s *Session) Release(resource cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reconciler.Release(resource)
	s.acquireWake.Send()
	s.notifyChanges()
}

// Wanted returns the resources that are held or requested, sorted.
func (s *Session) Wanted() []cluster.Resource {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reconciler.Requested()
}

// Holds reads the clock and returns the epoch of the lease that is held on the resource now; false: none is.
func (s *Session) Holds(resource cluster.Resource) (cluster.Epoch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Epoch(resource, s.Clock())
}

// DoWhileHeld calls do if the resource is held, and returns whether it was. do has to call stillHeld right before it
// writes the last byte of what it sends, and must not write that if it returns false: a third party can't fence what
// arrives later.
func (s *Session) DoWhileHeld(resource cluster.Resource, do func(epoch cluster.Epoch, stillHeld func() bool)) bool {
	epoch, held := s.Holds(resource)
	if !held {
		return false
	}
	do(epoch, func() bool {
		now, stillHeld := s.Holds(resource)
		return stillHeld && now == epoch
	})
	return true
}

// Propose proposes a command as LeaderClient.Propose does, within the time-out for requests that are logged.
func (s *Session) Propose(command cluster.Command) (answer []byte, err error) {
	answer, _, err = s.Leader.Propose(command, timing.LoggedRequestTimeout(s.LeaseTTL).Duration())
	return answer, err
}

// IsActive reports whether the session is valid now, by the member's own clock.
func (s *Session) IsActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.IsValid(s.Clock())
}

// Close releases all leases and ends the session in the log, so that nobody has to wait for its TTL.
// No callback runs once Close has returned.
func (s *Session) Close() {
	s.mu.Lock()
	if s.isClosed() {
		s.mu.Unlock()
		return
	}
	session := s.holder.EndSession()
	s.active.Store(0) // a session that is closed is not counted as lost
	s.notifyChanges()
	close(s.ended)
	s.mu.Unlock()
	if session != 0 {
		// If this fails the session ends by its TTL.
		_, _, _ = s.Leader.Propose(lease.EndSession(session), timing.RequestTimeout(s.LeaseTTL).Duration())
	}
	s.done.Wait()
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	for _, notify := range s.notifications {
		notify()
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

// sleep waits for a time and returns true, or returns false as soon as the session is closed.
func (s *Session) sleep(t api.Micros) bool {
	timer := time.NewTimer(t.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ended:
		return false
	}
}
