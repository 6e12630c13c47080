package agent

import (
	"context"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/actor"
	"rowanlink/serving/event"
	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// confirmationRetryInterval is the time between two attempts to confirm the record.
const confirmationRetryInterval = 100 * time.Millisecond

// confirmRecord queries the voters, once after the start, for the newest revision, so that the proxy doesn't receive an
// older record from a member that is partitioned from them. It returns when a majority has answered or updates aren't
// withheld any more.
func (a *agent) confirmRecord(ctx context.Context, query register.QueryFunc) {
	ctx, cancel := context.WithDeadline(ctx, a.started.Add(confirmationTimeout))
	defer cancel()
	for ; ctx.Err() == nil; ctxsleep.Sleep(ctx, confirmationRetryInterval) {
		voters, ok := a.voters()
		if !ok || len(voters.Replicas) == 0 {
			continue
		}
		revision, confirmed := register.MajorityRevision(ctx, query, voters)
		if confirmed {
			a.stateActor.Send(func(s *agentState) { s.confirmRevision(revision) })
			return
		}
	}
	event.RecordUnconfirmed.Log(a.log).Send()
}

// voters returns the replicas of the register that the current record names; false once the agent has stopped.
func (a *agent) voters() (state.ReplicaSet, bool) {
	return actor.Call(a.stateActor, func(s *agentState) state.ReplicaSet {
		if s.updates.record == nil {
			return state.ReplicaSet{}
		}
		return s.updates.record.Voters
	})
}
