package agent

import (
	"context"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/actor"
	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

const (
	// coalesceDelay is how long a poll waits after the first change for further ones, to send them in one response.
	coalesceDelay = 10 * time.Millisecond
	// maxPollWait bounds the duration of a poll. An open poll counts as a sign of life, so a running proxy must start a new
	// one at least this often.
	maxPollWait = 10 * time.Second
)

// subscriptionServer answers the long polls of the proxy (subscription.WatchMethod).
type subscriptionServer struct {
	stateActor *actor.Actor[agentState]
	now        func() time.Time
	// announceProxy announces changes of the proxy's state to other members.
	announceProxy func()
	// forwardObservations forwards the proxy's observations of endpoints to core members. It doesn't block.
	forwardObservations func([]state.Observation)
}

// pollResult is what one read of the agent's state returns for a poll.
type pollResult struct {
	response  *subscription.Response // nil unless hasUpdate is set
	changed   <-chan struct{}        // closed at the next change
	hasUpdate bool
}

// watch implements subscription.WatchMethod.
func (s *subscriptionServer) watch(ctx context.Context, request *subscription.Request) (*subscription.Response, error) {
	s.stateActor.Send(func(owned *agentState) {
		owned.proxy.pollOpened(s.now(), request)
		owned.publisher.recordApplied(request.Since)
		owned.rollouts.storeReports(request.RolloutReports)
	})
	s.announceProxy()
	s.forwardObservations(request.Observations)
	defer func() {
		aborted := ctx.Err() != nil
		s.stateActor.Send(func(owned *agentState) { owned.proxy.pollClosed(s.now(), request.Incarnation, aborted) })
	}()
	return s.awaitUpdate(ctx, request)
}

// awaitUpdate waits for an update since the request's cursor, at most for the request's WaitMillis and maxPollWait.
func (s *subscriptionServer) awaitUpdate(ctx context.Context, request *subscription.Request) (
	*subscription.Response, error) {
	wait := min(time.Duration(request.WaitMillis)*time.Millisecond, maxPollWait)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		result, ok := s.readUpdate(request.Since)
		switch {
		case !ok:
			return nil, errcode.AgentStopping.With("")
		case result.hasUpdate:
			return result.response, nil
		}
		select {
		case <-result.changed:
			ctxsleep.Sleep(ctx, coalesceDelay)
		case <-timeout.C:
			return s.timeoutResponse(request.Since)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// readUpdate returns the update since the cursor or, if there is none, the channel that is closed at the next change; false
// once the agent has stopped.
func (s *subscriptionServer) readUpdate(since subscription.Cursor) (pollResult, bool) {
	return actor.Call(s.stateActor, func(owned *agentState) pollResult {
		if owned.withholdsUpdates(s.now()) {
			return pollResult{changed: owned.publisher.changed}
		}
		response, hasUpdate := owned.publisher.updateSince(s.now(), since)
		return pollResult{response: response, changed: owned.publisher.changed, hasUpdate: hasUpdate}
	})
}

// timeoutResponse returns the response to a poll whose wait is over: an empty one if there is no update, or none may be
// sent yet.
func (s *subscriptionServer) timeoutResponse(since subscription.Cursor) (*subscription.Response, error) {
	response, ok := actor.Call(s.stateActor, func(owned *agentState) *subscription.Response {
		update, hasUpdate := owned.publisher.updateSince(s.now(), since)
		if hasUpdate && !owned.withholdsUpdates(s.now()) {
			return update
		}
		return owned.publisher.emptyUpdate(since)
	})
	if !ok {
		return nil, errcode.AgentStopping.With("")
	}
	return response, nil
}
