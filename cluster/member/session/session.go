// Package session is the client side of leases. It keeps a member's session with the leading raft node open, acquires
// and releases leases on resources, which belong to the session, and watches components of the replicated state.
//
// Package lease has the rules for when a member may act on a lease. This package adds the goroutines, the clock and the
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

// Config holds the settings and dependencies of a Session.
type Config struct {
	Self          cluster.MemberID
	Incarnation   lease.Incarnation // random, new at each start of the process
	LeaseTTL      api.Micros
	MaxClockDrift float64           // maximum difference between the rates of two clocks, as a fraction
	Clock         func() api.Micros // monotonic
	Leader        *LeaderClient
	// OnChange is called for each resource that the session has acquired, with the epoch of the grant, and for each
	// resource that it has lost or released, with epoch 0. It is called from a goroutine of the session, one call at a
	// time, and may call methods of the session. It may be nil.
	OnChange func(resource cluster.Resource, epoch cluster.Epoch)
}

// Session keeps a member's session open, with the leases that belong to it. All methods may be called concurrently.
type Session struct {
	Counters
	Config

	mu         sync.Mutex
	holder     *lease.Holder
	reconciler *lease.Reconciler
	notified   map[cluster.Resource]cluster.Epoch // resources that OnChange was last told are held, with their epochs
	watchers   map[cluster.ComponentID]*watcher   // by component of the replicated state

	// resourceFreed is set when a raft node reports that a resource became free. All members that wait for the resource
	// get this report at the same time, so the next request for a grant is delayed by a random jitter.
	resourceFreed bool
	notifications []func() // queued calls of OnChange

	acquireWake wakeup.Signal // sent when the acquire loop may have something to propose
	pollWake    wakeup.Signal // sent when the watch loop may have something to poll for
	notifyWake  wakeup.Signal // sent when notifications are queued
	deliverWake wakeup.Signal // sent when a watcher has a pending snapshot

	ended     chan struct{}  // closed by Close
	done      sync.WaitGroup // the goroutines that Close waits for
	deliverMu sync.Mutex     // held while a watcher's callback runs
}

// New returns a Session and starts the goroutines that open it. The caller must call Close.
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
	go s.deliverLoop() // Close waits only for a callback that is running
	return s
}

// Acquire requests the lease on a resource until it is granted, and again whenever the lease is lost, until Release or
// CancelAcquire is called.
func (s *Session) Acquire(resource cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reconciler.Request(resource) {
		s.acquireWake.Send()
		s.pollWake.Send()
	}
}

// CancelAcquire stops requesting a resource that was not granted. A resource that was granted stays held until Release.
// CancelAcquire must be cheap, since each reconciliation of ownership calls it for many ranges.
func (s *Session) CancelAcquire(resource cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reconciler.CancelRequest(resource)
}

// Release gives up a resource: Holds returns false for it at once. The release is proposed to the raft nodes in the
// background.
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

// Holds returns the epoch of the lease that is held on a resource now, by the member's clock, and false if none is
// held.
func (s *Session) Holds(resource cluster.Resource) (cluster.Epoch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Epoch(resource, s.Clock())
}

// DoWhileHeld calls do if the resource is held, and returns whether it was held. do must call stillHeld right before it
// writes the last byte of a request, and must not write that byte if stillHeld returns false. A request that is
// completed after the lease has expired is not rejected by a receiver that doesn't check fencing tokens.
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

// Propose proposes a command as LeaderClient.Propose does, within the time-out for requests that write to the raft log.
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

// Close releases all leases and ends the session in the raft log, so that no other member has to wait until the session
// expires. No callback runs once Close has returned.
func (s *Session) Close() {
	s.mu.Lock()
	if s.isClosed() {
		s.mu.Unlock()
		return
	}
	session := s.holder.EndSession()
	s.active.Store(0) // so that setActive doesn't count the closed session as lost
	s.notifyChanges()
	close(s.ended)
	s.mu.Unlock()
	if session != 0 {
		// If this fails, the session ends when its TTL expires.
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

// sleep waits for a duration and returns true, or returns false as soon as the session is closed.
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
