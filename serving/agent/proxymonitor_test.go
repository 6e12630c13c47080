package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// timeAfter returns the time that is elapsed after the epoch, at which the tests start.
func timeAfter(elapsed time.Duration) time.Time { return epoch.Add(elapsed) }

var epoch = time.Unix(1_000_000, 0)

func newPollRequest(incarnation uint64, reported state.MemberState) *subscription.Request {
	return &subscription.Request{Incarnation: incarnation, State: reported, ClientAddress: "10.0.0.1:80"}
}

func TestProxyMonitor_ReportsTheProxysStateWhileItPolls(t *testing.T) {
	var p proxyMonitor
	assert.Equal(t, state.MemberStarting, p.state(timeAfter(0)), "no proxy yet")
	p.pollOpened(timeAfter(0), newPollRequest(1, state.MemberReady))
	assert.Equal(t, state.MemberReady, p.state(timeAfter(time.Hour)), "a poll is open")
	p.pollClosed(timeAfter(time.Hour), 1, false)
	assert.Equal(t, state.MemberReady, p.state(timeAfter(time.Hour+pollTimeout-1)), "between two polls")
	assert.Equal(t, state.MemberStarting, p.state(timeAfter(time.Hour+pollTimeout)), "gone")
	p.pollOpened(timeAfter(2*time.Hour), newPollRequest(1, state.MemberLeaving))
	assert.Equal(t, state.MemberLeaving, p.state(timeAfter(2*time.Hour)))
}

func TestProxyMonitor_IgnoresPollsOfAnEarlierIncarnation(t *testing.T) {
	var p proxyMonitor
	p.pollOpened(timeAfter(0), newPollRequest(1, state.MemberReady)) // not closed when the next process polls
	p.pollOpened(timeAfter(time.Second), newPollRequest(2, state.MemberStarting))
	assert.Equal(t, state.MemberStarting, p.state(timeAfter(time.Second)))
	p.pollClosed(timeAfter(2*time.Second), 1, false)
	assert.True(t, p.isAlive(timeAfter(time.Minute)), "the poll of the second process is open")
	p.pollClosed(timeAfter(time.Minute), 2, false)
	p.pollClosed(timeAfter(time.Minute), 2, false) // there is no open poll left: ignored
	assert.False(t, p.isAlive(timeAfter(time.Minute+pollTimeout)))
}

func TestProxyMonitor_KeepsTheClientAddressIfAPollHasNone(t *testing.T) {
	var p proxyMonitor
	p.pollOpened(timeAfter(0), newPollRequest(1, state.MemberReady))
	p.pollOpened(timeAfter(0), &subscription.Request{Incarnation: 1})
	assert.Equal(t, "10.0.0.1:80", p.clientAddress)
}

func TestProxyMonitor_LeavingProxyTerminatesOnceItDisconnects(t *testing.T) {
	var p proxyMonitor
	p.pollOpened(timeAfter(0), newPollRequest(1, state.MemberReady))
	p.pollClosed(timeAfter(time.Second), 1, true) // cancelled by the proxy, which polls again at once to report that it leaves
	assert.True(t, p.isAlive(timeAfter(time.Second)))
	p.pollOpened(timeAfter(time.Second), newPollRequest(1, state.MemberLeaving))
	p.pollClosed(timeAfter(2*time.Second), 1, false)
	assert.True(t, p.isAlive(timeAfter(2*time.Second)), "the last poll got a response: the next one will follow")
	p.pollOpened(timeAfter(2*time.Second), newPollRequest(1, state.MemberLeaving))
	p.pollClosed(timeAfter(3*time.Second), 1, true)
	assert.False(t, p.isAlive(timeAfter(3*time.Second)))
	p.pollOpened(timeAfter(4*time.Second), newPollRequest(2, state.MemberStarting))
	assert.True(t, p.isAlive(timeAfter(4*time.Second)))
}
