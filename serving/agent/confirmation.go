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

// confirmRecord queries the voters for the newest revision after the agent's start. Until a majority has answered, the
// agent's record may be an outdated one that came from a member partitioned from the voters, and isn't sent to the proxy.
// confirmRecord returns when a majority has answered or confirmationTimeout is over.
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

// voters returns the replicas of the register that the current record lists, none if there is no record yet; false once
// the agent has stopped.
func (a *agent) voters() (state.ReplicaSet, bool) {
	return actor.Call(a.stateActor, func(s *agentState) state.ReplicaSet {
		if s.publisher.record == nil {
			return state.ReplicaSet{}
		}
		return s.publisher.record.Voters
	})
}
