package placement

import (
	"slices"
	"time"

	"rowanlink/serving/state"
)

// callLoad is the load of an endpoint according to this proxy's own calls and the endpoint's last load report.
type callLoad struct {
	calls             []*call             // this proxy's calls in flight, the oldest first
	reservedTokens    int                 // KV cache that this proxy's calls in flight may fill
	awaitingFirstByte []*call             // this proxy's calls without a first byte, the oldest first
	prefillBacklog    [priorityLevels]int // uncached prompt tokens of awaitingFirstByte, by priority

	loadReport        state.Load
	loadReportedAt    time.Time
	tokensSinceReport int // uncached prompt tokens of the calls sent since the report and still without a first byte
}

// startCall accounts for a call that is sent.
func (e *endpoint) startCall(c *call) {
	e.inFlight++
	e.calls = append(e.calls, c)
	e.reservedTokens += c.reservedTokens
	e.prefillBacklog[c.priority] += c.uncachedTokens
	e.tokensSinceReport += c.uncachedTokens
	e.awaitingFirstByte = append(e.awaitingFirstByte, c)
}

// leaveQueue accounts for the end of a call's prefill.
func (e *endpoint) leaveQueue(c *call) {
	index := slices.Index(e.awaitingFirstByte, c)
	if index < 0 {
		return
	}
	e.awaitingFirstByte = slices.Delete(e.awaitingFirstByte, index, index+1)
	e.prefillBacklog[c.priority] -= c.uncachedTokens
	if !c.sentAt.Before(e.loadReportedAt) {
		e.tokensSinceReport -= c.uncachedTokens
	}
}

// endCall accounts for the end of a call.
func (e *endpoint) endCall(c *call) {
	e.leaveQueue(c)
	e.inFlight--
	if index := slices.Index(e.calls, c); index >= 0 {
		e.calls = slices.Delete(e.calls, index, index+1)
	}
	e.reservedTokens -= c.reservedTokens
}

// backlogBefore returns the number of prompt tokens of this proxy's calls that the endpoint prefills before a new
// request of the priority.
func (e *endpoint) backlogBefore(priority int) (tokens int) {
	for _, backlog := range e.prefillBacklog[:priority+1] {
		tokens += backlog
	}
	return tokens
}
