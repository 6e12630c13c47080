package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// at is a time of the steady clock, so long after the test's beginning.
func at(span time.Duration) time.Time { return epoch.Add(span) }

var epoch = time.Unix(1_000_000, 0)

func poll(incarnation uint64, told state.MemberState) *subscription.Request {
	return &subscription.Request{Incarnation: incarnation, State: told, Front: "10.0.0.1:80"}
}

func TestProxyIsWhatItSaysWhileItPolls(t *testing.T) {
	var p presence
	assert.Equal(t, state.MemberStarting, p.state(at(0)), "no proxy yet")
	p.pollOpened(at(0), poll(1, state.MemberReady))
	assert.Equal(t, state.MemberReady, p.state(at(time.Hour)), "a poll is open")
	p.pollClosed(at(time.Hour), 1, false)
	assert.Equal(t, state.MemberReady, p.state(at(time.Hour+silenceLimit-1)), "between two polls")
	assert.Equal(t, state.MemberStarting, p.state(at(time.Hour+silenceLimit)), "gone")
	p.pollOpened(at(2*time.Hour), poll(1, state.MemberLeaving))
	assert.Equal(t, state.MemberLeaving, p.state(at(2*time.Hour)))
}

func TestPollsOfAnEarlierProxyDoNotCount(t *testing.T) {
	var p presence
	p.pollOpened(at(0), poll(1, state.MemberReady)) // never closed by the time the next process polls
	p.pollOpened(at(time.Second), poll(2, state.MemberStarting))
	assert.Equal(t, state.MemberStarting, p.state(at(time.Second)))
	p.pollClosed(at(2*time.Second), 1, false)
	assert.True(t, p.alive(at(time.Minute)), "the poll of the second process is open")
	p.pollClosed(at(time.Minute), 2, false)
	p.pollClosed(at(time.Minute), 2, false) // once too often: changes nothing
	assert.False(t, p.alive(at(time.Minute+silenceLimit)))
}

func TestFrontStaysWhereAPollLacksIt(t *testing.T) {
	var p presence
	p.pollOpened(at(0), poll(1, state.MemberReady))
	p.pollOpened(at(0), &subscription.Request{Incarnation: 1})
	assert.Equal(t, "10.0.0.1:80", p.front)
}

func TestLeavingProxyIsGoneOnceItsPollBreaksOff(t *testing.T) {
	var p presence
	p.pollOpened(at(0), poll(1, state.MemberReady))
	p.pollClosed(at(time.Second), 1, true) // to tell at once that it leaves
	assert.True(t, p.alive(at(time.Second)))
	p.pollOpened(at(time.Second), poll(1, state.MemberLeaving))
	p.pollClosed(at(2*time.Second), 1, false)
	assert.True(t, p.alive(at(2*time.Second)), "answered: the next poll comes")
	p.pollOpened(at(2*time.Second), poll(1, state.MemberLeaving))
	p.pollClosed(at(3*time.Second), 1, true)
	assert.False(t, p.alive(at(3*time.Second)))
	p.pollOpened(at(4*time.Second), poll(2, state.MemberStarting))
	assert.True(t, p.alive(at(4*time.Second)))
}
