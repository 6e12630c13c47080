package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/event"
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

const (
	// pollWait is how long the agent may delay the response to a poll while there are no updates.
	pollWait = 5 * time.Second
	// pollSlack is added to pollWait for the timeout of a whole poll.
	pollSlack = time.Second
	// minPollDelay bounds the rate of polls while updates arrive in quick succession.
	minPollDelay = 20 * time.Millisecond
	// applyTimeShare is the share of the time that the proxy may spend on applying updates. The delay before the next
	// poll follows from it, up to maxPollDelay.
	applyTimeShare = 0.02
	maxPollDelay   = 250 * time.Millisecond
	// The delay after a failed poll starts at minReconnectDelay, because agent and proxy are usually started together.
	// It doubles with each further failure up to maxReconnectDelay, because an agent that is down need not be polled
	// often.
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = 200 * time.Millisecond
	// maxPendingObservations is the largest number of observations that wait to be reported.
	maxPendingObservations = 256
)

// agentPoller polls the agent for the state of the cluster, and reports the proxy's state and observations to it.
type agentPoller struct {
	client           *rpc.Client
	address          string // of the agent
	clientAddress    string // at which this proxy serves clients
	log              *zerolog.Logger
	apply            func(*subscription.Response) (subscription.Cursor, state.MemberState)
	takeObservations func() []state.Observation
	rolloutReports   func() []state.RolloutReport

	incarnation  uint64              // random number that identifies this run of the proxy
	cursor       subscription.Cursor // position up to which updates have been applied
	pending      []state.Observation // observations that have not been reported yet
	disconnected bool                // the last poll failed

	mu        sync.Mutex
	state     state.MemberState
	interrupt context.CancelFunc // cancels the poll in flight; nil: there is none
}

// run polls until the context ends.
func (a *agentPoller) run(ctx context.Context) {
	a.incarnation = rand.Uint64()
	reconnectDelay := minReconnectDelay
	for ctx.Err() == nil {
		response, interrupted, err := a.poll(ctx)
		switch {
		case err == nil:
			a.logConnectionRestored()
			reconnectDelay = minReconnectDelay
			startedAt := time.Now()
			cursor, memberState := a.apply(response)
			a.cursor = cursor
			a.advanceState(memberState)
			ctxsleep.Sleep(ctx, pollDelay(time.Since(startedAt)))
		case interrupted: // poll again at once
		default:
			a.logConnectionLost(ctx, err)
			ctxsleep.Sleep(ctx, reconnectDelay)
			reconnectDelay = min(2*reconnectDelay, maxReconnectDelay)
		}
	}
}

// pollDelay returns the delay before the next poll. It follows from the time that applying the last response took, so
// that applying updates doesn't use up the machine's CPU time while many endpoints change.
func pollDelay(applyTime time.Duration) time.Duration {
	return min(max(minPollDelay, time.Duration(float64(applyTime)/applyTimeShare)), maxPollDelay)
}

// poll polls the agent once. It reports whether interruptPoll has interrupted the poll; the error then is only a
// consequence of that.
func (a *agentPoller) poll(ctx context.Context) (response *subscription.Response, interrupted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout(pollWait))
	defer cancel()
	a.gatherObservations()
	request := subscription.Request{
		Since:          a.cursor,
		WaitMillis:     pollWait.Milliseconds(),
		Incarnation:    a.incarnation,
		State:          a.beginPoll(cancel),
		Observations:   a.pending,
		ClientAddress:  a.clientAddress,
		RolloutReports: a.rolloutReports(),

		SupportsRollouts: true,
	}
	response, err = subscription.WatchMethod.Call(ctx, a.client, a.address, &request)
	interrupted = a.endPoll()
	// After an interrupted poll, the observations count as reported: the agent applies a request before it waits for
	// updates.
	if err == nil || interrupted {
		a.pending = nil
	}
	return response, interrupted, err
}

// gatherObservations adds new observations to the pending ones. If there are more than maxPendingObservations, the
// oldest ones are dropped.
func (a *agentPoller) gatherObservations() {
	a.pending = append(a.pending, a.takeObservations()...)
	if surplus := len(a.pending) - maxPendingObservations; surplus > 0 {
		a.pending = a.pending[surplus:]
	}
}

// reportNow interrupts the poll in flight, so that the next poll reports the observations at once.
func (a *agentPoller) reportNow() { a.interruptPoll() }

// beginPoll records the poll in flight and returns the state to report.
func (a *agentPoller) beginPoll(interrupt context.CancelFunc) state.MemberState {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interrupt = interrupt
	return a.state
}

// endPoll records that no poll is in flight. It reports whether the last one was interrupted.
func (a *agentPoller) endPoll() (interrupted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	interrupted = a.interrupt == nil
	a.interrupt = nil
	return interrupted
}

// advanceState raises the state that is reported to the agent. A lower state than the current one is ignored.
func (a *agentPoller) advanceState(to state.MemberState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = max(a.state, to)
}

// announceLeaving reports at once that this process is shutting down.
func (a *agentPoller) announceLeaving() {
	a.advanceState(state.MemberLeaving)
	a.interruptPoll()
}

// interruptPoll ends the poll in flight, so that a new one follows at once.
func (a *agentPoller) interruptPoll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.interrupt != nil {
		a.interrupt()
		a.interrupt = nil
	}
}

// logConnectionRestored logs a successful poll if the previous poll failed.
func (a *agentPoller) logConnectionRestored() {
	if a.disconnected {
		a.disconnected = false
		event.AgentConnectionRestored.Log(a.log).Send()
	}
}

// logConnectionLost logs a failed poll, unless the previous poll failed too or the process is shutting down.
func (a *agentPoller) logConnectionLost(ctx context.Context, err error) {
	if !a.disconnected && ctx.Err() == nil {
		a.disconnected = true
		event.AgentConnectionLost.Log(a.log).Err(err).Send()
	}
}
