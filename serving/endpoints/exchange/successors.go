package exchange

import (
	"context"
	"time"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/event"
	"rowanlink/serving/state"
)

const (
	// maxSuccessorChecks is the number of concurrent checks of successors.
	maxSuccessorChecks = 8
	// maxWaitingSuccessors bounds the queue of checks. If it is full, a check is dropped, and the process's next heartbeat
	// requests it again.
	maxWaitingSuccessors = 1024
)

// Confirm asks the process at an endpoint's address whether it accepts requests under the endpoint's ID, and returns
// the endpoint with the time that it still warms up.
type Confirm func(ctx context.Context, endpoint state.Endpoint) (state.Endpoint, error)

// CheckSuccessor checks whether a heartbeat comes from a new process under the ID of an earlier one, and registers that
// process if so. It is called if endpoints.Change.CheckSuccessor is set, and doesn't wait for the result.
func (x *Exchange) CheckSuccessor(id string, heartbeat endpoints.Heartbeat) {
	successor := state.Endpoint{ID: id, Service: heartbeat.Service, Address: heartbeat.Address}
	select {
	case x.successors <- successor:
	default:
		x.table.ResolveSuccessor(id, false, 0)
	}
}

// checkSuccessors makes the queued checks, one after the other, until the context ends.
func (x *Exchange) checkSuccessors(ctx context.Context) {
	for {
		select {
		case successor := <-x.successors:
			x.checkSuccessor(ctx, successor)
		case <-ctx.Done():
			return
		}
	}
}

// checkSuccessor asks one process, passes the result to the table, and gossips the endpoint if it was registered.
func (x *Exchange) checkSuccessor(ctx context.Context, successor state.Endpoint) {
	confirmed, err := x.confirm(ctx, successor)
	warmupLeft := time.Duration(confirmed.WarmupLeftMillis) * time.Millisecond
	registered, ok := x.table.ResolveSuccessor(successor.ID, err == nil, warmupLeft)
	if !ok {
		event.SuccessorUnconfirmed.Log(x.log).Str("endpoint", successor.ID).Str("address", successor.Address).Err(err).Send()
		return
	}
	x.Put(registered)
	event.SuccessorRegistered.Log(x.log).Str("endpoint", registered.ID).Str("address", registered.Address).Send()
}
