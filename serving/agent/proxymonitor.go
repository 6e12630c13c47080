package agent

import (
	"time"

	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// pollTimeout is how long a proxy may have no open poll before the agent regards it as terminated. A running proxy starts
// its next poll within a few milliseconds after a response.
const pollTimeout = 1500 * time.Millisecond

// proxyMonitor derives the state of the proxy from its polls. The zero value has seen no proxy.
type proxyMonitor struct {
	incarnation   uint64 // of the process that polled last
	openPolls     int    // polls of that process that the agent hasn't responded to
	lastPoll      time.Time
	reportedState state.MemberState // as reported by the proxy itself
	clientAddress string            // address where the proxy accepts clients' requests, host:port
	disconnected  bool              // the proxy reported that it leaves, and then aborted its last poll
	// supportsRollouts means that the proxy carries out roll-outs, according to its newest poll.
	supportsRollouts bool
}

// pollOpened records the start of a poll. A new incarnation replaces the proxy process that polled before.
func (m *proxyMonitor) pollOpened(now time.Time, request *subscription.Request) {
	if request.Incarnation != m.incarnation {
		m.incarnation = request.Incarnation
		m.openPolls = 0
	}
	m.openPolls++
	m.lastPoll = now
	m.reportedState = request.State
	m.supportsRollouts = request.SupportsRollouts
	m.disconnected = false
	if request.ClientAddress != "" {
		m.clientAddress = request.ClientAddress
	}
}

// pollClosed records the end of a poll. It was aborted if the proxy closed the connection before the response. Polls of
// earlier incarnations are ignored.
func (m *proxyMonitor) pollClosed(now time.Time, incarnation uint64, aborted bool) {
	if incarnation != m.incarnation || m.openPolls == 0 {
		return
	}
	m.openPolls--
	m.lastPoll = now
	m.disconnected = aborted && m.openPolls == 0 && m.reportedState == state.MemberLeaving
}

// isAlive reports whether the proxy is running, as inferred from its polls.
func (m *proxyMonitor) isAlive(now time.Time) bool {
	if m.lastPoll.IsZero() {
		return false
	}
	if m.openPolls > 0 {
		return true
	}
	return !m.disconnected && now.Sub(m.lastPoll) < pollTimeout
}

// state returns the state to announce to other members: the one that the proxy reported, or MemberStarting if no proxy is
// running.
func (m *proxyMonitor) state(now time.Time) state.MemberState {
	if !m.isAlive(now) {
		return state.MemberStarting
	}
	return m.reportedState
}
