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

// confirmPause is the time between two tries to find out whether the record that was handed over is the newest.
const confirmPause = 100 * time.Millisecond

// confirm asks the voters, once after the start, which revision is the newest, so that the proxy isn't told an older one
// by a member that is cut off from them. It ends when a majority has answered or answers aren't held back any more.
func (a *agent) confirm(ctx context.Context, ask register.Asker) {
	ctx, cancel := context.WithDeadline(ctx, a.started.Add(confirmWait))
	defer cancel()
	for ; ctx.Err() == nil; ctxsleep.Sleep(ctx, confirmPause) {
		voters, known := actor.Ask(a.board, func(b *board) state.ReplicaSet {
			if b.news.record == nil {
				return state.ReplicaSet{}
			}
			return b.news.record.Replicas
		})
		if !known || len(voters.Replicas) == 0 {
			continue
		}
		if least, told := register.MajorityRevision(ctx, ask, voters); told {
			a.board.Tell(func(b *board) { b.confirm(least) })
			return
		}
	}
	event.RecordUnconfirmed.Log(a.log).Send()
}
