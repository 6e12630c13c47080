package agent

import (
	"time"

	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

const (
	// firstRecordTimeout is how long after the agent's start updates are withheld from the proxy while there is no record.
	firstRecordTimeout = time.Second
	// confirmationTimeout is how long after the agent's start updates are withheld while no majority of the voters has
	// confirmed that its record is the newest: the member that transferred the record may be partitioned from the voters.
	// If no majority answers within this time, the agent publishes the record that it has.
	confirmationTimeout = 3 * time.Second
	// shutdownReserve is the time that the agent needs to leave the membership after it has waited for its proxy. It is part
	// of the grace period, at whose end the process gets SIGKILL.
	shutdownReserve = 300 * time.Millisecond
)

// agentState is the state that the agent's actor owns: the data published to the proxy, the proxy's liveness and its
// reports on roll-outs.
type agentState struct {
	publisher          *publisher
	proxy              proxyMonitor
	rollouts           rolloutRelay
	started            time.Time
	shutdownDeadline   time.Time // zero: the agent isn't shutting down
	awaitedIncarnation uint64    // of the proxy process whose exit the shutdown waits for
	withheld           bool      // updates were withheld at the last tick
	confirmed          bool      // a majority of the voters has answered with minRevision
	minRevision        uint64    // the newest revision known to that majority
}

// confirmRevision sets the newest revision known to a majority of the voters, which was queried after the agent's start.
func (s *agentState) confirmRevision(revision uint64) {
	s.confirmed = true
	s.minRevision = revision
	s.publisher.wakePolls()
}

// withholdsUpdates reports whether the agent must not send updates to the proxy yet: it has just started, and has either no
// record or one that may be outdated.
func (s *agentState) withholdsUpdates(now time.Time) bool {
	age := now.Sub(s.started)
	if s.publisher.record == nil {
		return age < firstRecordTimeout
	}
	current := s.confirmed && s.publisher.revision() >= s.minRevision
	return !current && age < confirmationTimeout
}

// tick updates the state that depends on the time, and wakes the waiting polls once updates are no longer withheld.
func (s *agentState) tick(now time.Time, proxies subscription.ProxyCounts, synced bool) {
	s.publisher.setProxies(proxies)
	s.publisher.sweepEndpoints(now)
	if synced {
		s.publisher.setSynced()
	}
	withheld := s.withholdsUpdates(now)
	if s.withheld && !withheld {
		s.publisher.wakePolls()
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

// beginShutdown starts the agent's shutdown and sets its deadline, which is shutdownReserve before the end of the grace
// period.
func (s *agentState) beginShutdown(now time.Time, grace time.Duration) {
	s.shutdownDeadline = now.Add(grace - shutdownReserve)
	s.awaitedIncarnation = s.proxy.incarnation
}

// canStop reports whether an agent that is shutting down may stop: its proxy has exited or the deadline has passed. A
// proxy process that was started during the shutdown isn't waited for: the next agent process serves and announces it.
func (s *agentState) canStop(now time.Time) bool {
	if s.shutdownDeadline.IsZero() {
		return false
	}
	replaced := s.proxy.incarnation != s.awaitedIncarnation
	return replaced || !s.proxy.isAlive(now) || !now.Before(s.shutdownDeadline)
}
