package core

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/event"
	"rowanlink/serving/member"
	"rowanlink/serving/register"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

const (
	// repairDuty is the duty of keeping the replica set fit.
	repairDuty = "repair-replicas"
	// keepInterval is the time between two looks at the replica set and at what this replica has accepted.
	keepInterval = 500 * time.Millisecond
	// repairTimeout bounds one repair.
	repairTimeout = 2 * time.Second
)

// keeper repairs the replica set while it holds that duty, and finishes changes that others have left half-way.
type keeper struct {
	mesh     *member.Service
	node     *register.Node
	log      *zerolog.Logger
	finisher finisher
	lost     bool // most voters were absent at the last look
}

// run looks after the register until the context ends.
func (k *keeper) run(ctx context.Context) {
	ticks := time.NewTicker(keepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			k.reportMajority()
			k.finish(ctx)
			k.repair(ctx)
		}
	}
}

// finish finds out whether what this replica has accepted is in force, where nobody has told. Committed records are
// told to the other members by the register's own callback.
func (k *keeper) finish(ctx context.Context) {
	revision, unfinished := k.node.UncommittedRevision()
	if !k.finisher.look(time.Now(), revision, unfinished) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, finishBound)
	defer cancel()
	record, err := k.node.Read(bounded) // tried again if it fails
	event.ChangeRecovered.Log(k.log).Uint64("accepted", revision).Uint64("in_force", record.Revision).Err(err).Send()
}

// reportMajority logs when too few voters are left, and when enough are back.
func (k *keeper) reportMajority() {
	absent := k.node.QuorumLoss()
	if k.lost == (absent != nil) {
		return
	}
	k.lost = absent != nil
	kind := event.MajorityRestored
	if k.lost {
		kind = event.MajorityLost
	}
	kind.Log(k.log).Strs("absent", absent).Send()
}

func (k *keeper) repair(ctx context.Context) {
	if !k.mesh.AcquireRole(repairDuty, singleton.Scope{Role: state.RoleCore}).Local {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	if err := k.node.RepairVoters(bounded); err != nil && ctx.Err() == nil {
		event.RepairFailed.Log(k.log).Err(err).Send()
	}
}

// coreMachines are the members that may hold replicas.
func coreMachines(members []state.Member) (machines []register.Peer) {
	for _, member := range members {
		if member.Role == state.RoleCore {
			machines = append(machines, register.Peer{Address: member.Address, Zone: member.Zone})
		}
	}
	return machines
}
