package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// newStoppingState returns the state of an agent that began to shut down one second after the epoch, while its leaving
// proxy was still running. The grace period is 8 s.
func newStoppingState() *agentState {
	s := &agentState{}
	s.proxy.pollOpened(timeAfter(0), newPollRequest(1, state.MemberReady))
	s.proxy.pollOpened(timeAfter(time.Second), newPollRequest(1, state.MemberLeaving))
	s.proxy.pollClosed(timeAfter(time.Second), 1, true)
	s.beginShutdown(timeAfter(time.Second), 8*time.Second)
	return s
}

func TestAgentState_StopsAfterItsProxy(t *testing.T) {
	s := newStoppingState()
	assert.False(t, s.canStop(timeAfter(2*time.Second)), "the proxy is draining")
	s.proxy.pollClosed(timeAfter(4*time.Second), 1, true)
	assert.True(t, s.canStop(timeAfter(4*time.Second)))
}

// A proxy process that is started during the agent's shutdown must not delay the shutdown.
func TestAgentState_DoesNotWaitForARestartedProxy(t *testing.T) {
	s := newStoppingState()
	s.proxy.pollOpened(timeAfter(4*time.Second), newPollRequest(2, state.MemberStarting))
	assert.True(t, s.canStop(timeAfter(4*time.Second)))
	assert.Equal(t, state.MemberLeaving, s.proxyState(timeAfter(4*time.Second)))
}

func TestAgentState_StopsAtTheShutdownDeadline(t *testing.T) {
	s := newStoppingState()
	assert.False(t, s.canStop(timeAfter(9*time.Second-shutdownReserve-1)))
	assert.True(t, s.canStop(timeAfter(9*time.Second-shutdownReserve)))
}

func TestAgentState_StopsAtOnceWithoutAProxy(t *testing.T) {
	s := &agentState{}
	s.beginShutdown(timeAfter(0), 8*time.Second)
	assert.True(t, s.canStop(timeAfter(0)))
}
