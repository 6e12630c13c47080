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
	// pollSlack is how much longer a poll may take altogether.
	pollSlack = time.Second
	// minPollDelay bounds the rate of polls while updates arrive in quick succession.
	minPollDelay = 20 * time.Millisecond
	// applyTimeShare is the share of the time that applying updates may take; maxPollDelay bounds the delay that
	// follows from it.
	maxPollDelay   = 250 * time.Millisecond
	applyTimeShare = 0.02
	// The delay after a failed poll starts at minReconnectDelay and doubles with each further failure: agent and proxy
	// are usually started together, and an agent that isn't there need not be polled often.
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = 200 * time.Millisecond
	// maxPendingObservations bounds the observations that wait to be reported.
	maxPendingObservations = 256
)

// agentPoller polls the agent for the state of the cluster, and reports the proxy's state and observations to it.
type agentPoller struct {
	client           *rpc.Client
	address          string
	clientAddress    string
	log              *zerolog.Logger
	apply            func(*subscription.Response) (subscription.Cursor, state.MemberState)
	takeObservations func() []state.Observation
	rolloutReports   func() []state.RolloutReport

	incarnation  uint64
	cursor       subscription.Cursor
	pending      []state.Observation // not yet reported
	disconnected bool

	mu        sync.Mutex
	state     state.MemberState
	interrupt context.CancelFunc // cancels the poll in flight; nil: there is none
}

// run polls until the context ends.
func (a *agentPoller) run(ctx context.Context) {
	a.incarnation = rand.Uint64()
	reconnect := minReconnectDelay
	for ctx.Err() == nil {
		response, interrupted, err := a.poll(ctx)
		switch {
		case err == nil:
			a.logRegained()
			reconnect = minReconnectDelay
			startedAt := time.Now()
			cursor, memberState := a.apply(response)
			a.cursor = cursor
			a.advanceState(memberState)
			ctxsleep.Sleep(ctx, pollDelay(time.Since(startedAt)))
		case interrupted: // poll again at once
		default:
			a.logLost(ctx, err)
			ctxsleep.Sleep(ctx, reconnect)
			reconnect = min(2*reconnect, maxReconnectDelay)
		}
	}
}

// pollDelay returns the delay before the next poll, by the time that applying the last response took: the cost of
// many endpoints that change must not grow to all of the machine's capacity.
func pollDelay(applyTime time.Duration) time.Duration {
	return min(max(minPollDelay, time.Duration(float64(applyTime)/applyTimeShare)), maxPollDelay)
}

// poll polls the agent once.
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
	if err == nil || interrupted { // the agent applies a request before it waits for updates
		a.pending = nil
	}
	return response, interrupted, err
}

// gatherObservations adds new observations to the pending ones. If there are too many, the oldest are dropped.
func (a *agentPoller) gatherObservations() {
	a.pending = append(a.pending, a.takeObservations()...)
	if surplus := len(a.pending) - maxPendingObservations; surplus > 0 {
		a.pending = a.pending[surplus:]
	}
}

// reportNow has the pending observations reported at once.
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

// advanceState advances the state that is reported to the agent. It never decreases.
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

// logRegained logs that the agent responds again.
func (a *agentPoller) logRegained() {
	if a.disconnected {
		a.disconnected = false
		event.AgentConnectionRestored.Log(a.log).Send()
	}
}

// logLost logs the first failed poll in a row.
func (a *agentPoller) logLost(ctx context.Context, err error) {
	if !a.disconnected && ctx.Err() == nil {
		a.disconnected = true
		event.AgentConnectionLost.Log(a.log).Err(err).Send()
	}
}
