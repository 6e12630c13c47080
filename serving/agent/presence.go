package agent

import (
	"time"

	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// silenceLimit is how long a proxy may go without a poll before the agent takes it for gone. Between two polls a
// proxy that runs needs a few milliseconds.
const silenceLimit = 1500 * time.Millisecond

// presence derives the state of the proxy from its polls. The zero value knows no proxy.
type presence struct {
	incarnation uint64 // of the process that polled last
	open        int    // polls of that process that are waiting at the agent
	lastPoll    time.Time
	told        state.MemberState // what the proxy said of itself
	front       string            // where it takes clients' requests
	ended       bool              // it said that it leaves, and its last poll broke off
}

// pollOpened notes the begin of a poll.
func (p *presence) pollOpened(now time.Time, request *subscription.Request) {
	if request.Incarnation != p.incarnation {
		p.incarnation = request.Incarnation
		p.open = 0
	}
	p.open++
	p.lastPoll = now
	p.told = request.State
	p.ended = false
	if request.Front != "" {
		p.front = request.Front
	}
}

// pollClosed notes the end of a poll. Broken: the proxy has closed the connection before an answer. Polls of a process
// before the current one don't count.
func (p *presence) pollClosed(now time.Time, incarnation uint64, broken bool) {
	if incarnation != p.incarnation || p.open == 0 {
		return
	}
	p.open--
	p.lastPoll = now
	p.ended = broken && p.open == 0 && p.told == state.MemberLeaving
}

// alive tells whether the proxy runs, as far as its polls show.
func (p *presence) alive(now time.Time) bool {
	if p.lastPoll.IsZero() {
		return false
	}
	return p.open > 0 || !p.ended && now.Sub(p.lastPoll) < silenceLimit
}

// state is what the agent says of the proxy to other members.
func (p *presence) state(now time.Time) state.MemberState {
	if !p.alive(now) {
		return state.MemberStarting
	}
	return p.told
}
