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
	// coalesceDelay batches changes that arrive close together into one response.
	coalesceDelay = 10 * time.Millisecond
	// maxPollWait bounds a poll, so that the agent checks the proxy's liveness at least that often.
	maxPollWait = 10 * time.Second
)

// subscriptionServer answers the long polls of the proxy (subscription.Watch).
type subscriptionServer struct {
	stateActor *actor.Actor[agentState]
	now        func() time.Time
	// announceProxy announces changes of the proxy's state to other members.
	announceProxy func()
	// forwardObservations takes the proxy's observations of endpoints. It doesn't block.
	forwardObservations func([]state.Observation)
}

// pollResult is the outcome of one reading of the agent's state.
type pollResult struct {
	response  *subscription.Response // nil unless hasUpdate
	changed   <-chan struct{}        // closed at the next change
	hasUpdate bool
}

// watch implements subscription.Watch.
func (s *subscriptionServer) watch(ctx context.Context, request *subscription.Request) (*subscription.Response, error) {
	s.stateActor.Send(func(owned *agentState) {
		owned.proxy.pollOpened(s.now(), request)
		owned.updates.recordApplied(request.Since)
		owned.rollouts.take(request.RolloutReports)
	})
	s.announceProxy()
	s.forwardObservations(request.Observations)
	defer func() {
		broken := ctx.Err() != nil
		s.stateActor.Send(func(owned *agentState) { owned.proxy.pollClosed(s.now(), request.Incarnation, broken) })
	}()
	return s.awaitUpdate(ctx, request)
}

// awaitUpdate waits for an update since the request's cursor, for at most the wait that the request allows.
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

// readUpdate returns the update since the cursor or the channel to wait on; false once the agent has stopped.
func (s *subscriptionServer) readUpdate(since subscription.Cursor) (pollResult, bool) {
	return actor.Call(s.stateActor, func(owned *agentState) pollResult {
		if owned.withholdsUpdates(s.now()) {
			return pollResult{changed: owned.updates.changed}
		}
		response, hasUpdate := owned.updates.updateSince(s.now(), since)
		return pollResult{response: response, changed: owned.updates.changed, hasUpdate: hasUpdate}
	})
}

// timeoutResponse returns the response to a poll whose wait is over.
func (s *subscriptionServer) timeoutResponse(since subscription.Cursor) (*subscription.Response, error) {
	response, ok := actor.Call(s.stateActor, func(owned *agentState) *subscription.Response {
		update, hasUpdate := owned.updates.updateSince(s.now(), since)
		if hasUpdate && !owned.withholdsUpdates(s.now()) {
			return update
		}
		return owned.updates.emptyUpdate(since)
	})
	if !ok {
		return nil, errcode.AgentStopping.With("")
	}
	return response, nil
}
