package agent

import (
	"time"

	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// pollTimeout is how long a proxy may have no open poll before the agent regards it as terminated. Between two polls a
// running proxy needs a few milliseconds.
const pollTimeout = 1500 * time.Millisecond

// proxyMonitor derives the state of the proxy from its polls. The zero value has seen no proxy.
type proxyMonitor struct {
	incarnation   uint64 // of the process that polled last
	openPolls     int    // polls of that process that wait at the agent
	lastPoll      time.Time
	reportedState state.MemberState // by the proxy itself
	clientAddress string            // address where the proxy takes clients' requests, host:port
	disconnected  bool              // the proxy reported that it leaves, and its last poll broke off
	// supportsRollouts is what the newest poll said.
	supportsRollouts bool
}

// pollOpened notes the start of a poll.
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

// pollClosed notes the end of a poll; broken: the proxy closed the connection before the response. Polls of earlier
// incarnations are ignored.
func (m *proxyMonitor) pollClosed(now time.Time, incarnation uint64, broken bool) {
	if incarnation != m.incarnation || m.openPolls == 0 {
		return
	}
	m.openPolls--
	m.lastPoll = now
	m.disconnected = broken && m.openPolls == 0 && m.reportedState == state.MemberLeaving
}

// isAlive reports whether the proxy runs, judged by its polls.
func (m *proxyMonitor) isAlive(now time.Time) bool {
	if m.lastPoll.IsZero() {
		return false
	}
	if m.openPolls > 0 {
		return true
	}
	return !m.disconnected && now.Sub(m.lastPoll) < pollTimeout
}

// state returns the state to announce to other members.
func (m *proxyMonitor) state(now time.Time) state.MemberState {
	if !m.isAlive(now) {
		return state.MemberStarting
	}
	return m.reportedState
}
