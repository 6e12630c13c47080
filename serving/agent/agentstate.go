package agent

import (
	"time"

	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

const (
	// firstRecordTimeout is how long a starting agent withholds updates while it has no record.
	firstRecordTimeout = time.Second
	// confirmationTimeout is how long a starting agent withholds updates while a majority of the voters hasn't
	// confirmed that its record is the newest. The member that transferred the record may be partitioned from the
	// voters. Without a majority the agent serves the record that it has once this time is over.
	confirmationTimeout = 3 * time.Second
	// shutdownReserve is the part of the grace period before SIGKILL that the agent reserves for its own shutdown.
	shutdownReserve = 300 * time.Millisecond
)

// agentState is the agent's state, owned by one goroutine: what it publishes to its proxy, and the proxy's liveness.
type agentState struct {
	updates            *publisher
	proxy              proxyMonitor
	rollouts           rolloutRelay
	started            time.Time
	shutdownDeadline   time.Time // zero: the agent isn't shutting down
	awaitedIncarnation uint64    // of the proxy for whose exit a shutdown waits
	withheld           bool      // updates were withheld at the last tick
	confirmed          bool      // a majority of the voters has answered with minRevision
	minRevision        uint64    // the newest revision known to that majority
}

// confirmRevision notes the newest revision that a majority of the voters has answered with since the agent's start.
func (s *agentState) confirmRevision(revision uint64) {
	s.confirmed = true
	s.minRevision = revision
	s.updates.notifySubscriber()
}

// withholdsUpdates reports whether the agent has started so recently that an update would be nearly empty or might
// carry an outdated record.
func (s *agentState) withholdsUpdates(now time.Time) bool {
	age := now.Sub(s.started)
	if s.updates.record == nil {
		return age < firstRecordTimeout
	}
	current := s.confirmed && s.updates.revision() >= s.minRevision
	return !current && age < confirmationTimeout
}

// tick applies what depends on time: it updates the proxy counts and wakes polls that had been withheld.
func (s *agentState) tick(now time.Time, proxies subscription.ProxyCounts, synced bool) {
	s.updates.setProxies(proxies)
	s.updates.sweepEndpoints(now)
	if synced {
		s.updates.setSynced()
	}
	withheld := s.withholdsUpdates(now)
	if s.withheld && !withheld {
		s.updates.notifySubscriber()
	}
	s.withheld = withheld
}

// proxyState returns the state to announce to other members.
func (s *agentState) proxyState(now time.Time) state.MemberState {
	if !s.shutdownDeadline.IsZero() {
		return state.MemberLeaving
	}
	return s.proxy.state(now)
}

// beginShutdown starts the agent's shutdown, which ends within the grace period.
func (s *agentState) beginShutdown(now time.Time, grace time.Duration) {
	s.shutdownDeadline = now.Add(grace - shutdownReserve)
	s.awaitedIncarnation = s.proxy.incarnation
}

// canStop reports whether an agent that shuts down may stop: its proxy has exited or the deadline has passed. It
// doesn't wait for a proxy that was started meanwhile: that one is served by the next agent process, and this one
// sends no announcement.
func (s *agentState) canStop(now time.Time) bool {
	if s.shutdownDeadline.IsZero() {
		return false
	}
	replaced := s.proxy.incarnation != s.awaitedIncarnation
	return replaced || !s.proxy.isAlive(now) || !now.Before(s.shutdownDeadline)
}
