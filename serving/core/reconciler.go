package core

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/event"
	"rowanlink/serving/member"
	"rowanlink/serving/register"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

const (
	// repairRole is the singleton role of the process that repairs the set of voters.
	repairRole = "repair-replicas"
	// reconcileInterval is the time between two iterations of the reconciler.
	reconcileInterval = 500 * time.Millisecond
	// repairTimeout bounds one change of the voters.
	repairTimeout = 2 * time.Second
)

// reconciler is the control loop of the register: it repairs the set of voters while this process has the singleton
// role for that, and finishes changes that other proposers have left unfinished.
type reconciler struct {
	members    *member.Service
	node       *register.Node
	log        *zerolog.Logger
	recovery   recoverySchedule
	quorumLost bool // as of the last iteration
}

// run reconciles until the context ends.
func (r *reconciler) run(ctx context.Context) {
	ctxsleep.Repeat(ctx, reconcileInterval, func() {
		r.logQuorum()
		r.finishUncommitted(ctx)
		r.repairVoters(ctx)
	})
}

// finishUncommitted finishes a change whose proposer has stopped: the local replica has accepted its proposal, and
// nobody has published the outcome. A read of the register decides which record is committed, and the register's
// callback publishes it. After a failed read, a later iteration tries again.
func (r *reconciler) finishUncommitted(ctx context.Context) {
	revision, uncommitted := r.node.UncommittedRevision()
	if !r.recovery.isDue(time.Now(), revision, uncommitted) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	record, err := r.node.Read(ctx)
	event.ChangeRecovered.Log(r.log).
		Uint64("accepted", revision).
		Uint64("committed", record.Revision).
		Err(err).
		Send()
}

// logQuorum logs when there is no longer a majority of live voters, and when there is one again.
func (r *reconciler) logQuorum() {
	down := r.node.QuorumLoss()
	quorumLost := down != nil
	if r.quorumLost == quorumLost {
		return
	}
	r.quorumLost = quorumLost
	kind := event.MajorityRestored
	if quorumLost {
		kind = event.MajorityLost
	}
	kind.Log(r.log).Strs("absent", down).Send()
}

// repairVoters makes the next change of the set of voters that is needed, if this process has the singleton role for
// it.
func (r *reconciler) repairVoters(ctx context.Context) {
	if !r.members.AcquireRole(repairRole, singleton.Scope{Role: state.RoleCore}).Local {
		return
	}
	repairContext, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	if err := r.node.RepairVoters(repairContext); err != nil && ctx.Err() == nil {
		event.RepairFailed.Log(r.log).Err(err).Send()
	}
}
