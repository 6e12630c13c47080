package register

import (
	"testing"
	"time"
)

// overlappingActionKinds are the kinds of actions of histories in which losses exceed what the settings tolerate: any
// number of machines is down or partitioned while disks are lost, but no more disks are lost than tolerated until the
// register is stable again.
var overlappingActionKinds = []string{
	"replace",
	"replace",
	"replace",
	"evacuate",
	"read",
	"read",
	"resend",
	"crash",
	"crash",
	"start",
	"start",
	"lose-disk",
	"lose-disk",
	"power-failure",
	"split",
	"join",
	"slow-saves",
	"clear-faults",
	"drop-outgoing",
	"drop-incoming",
}

// overlappingRun is a simulation that counts the disks that were lost since the register was last stable.
type overlappingRun struct {
	*simulation
	lostDisks int
}

// play runs the actions. Each one begins when the Wait of the previous one has passed, even if that action hasn't
// ended.
func (r *overlappingRun) play(actions []action) {
	ended := make(chan struct{}, len(actions))
	for _, next := range actions {
		if r.isStable() {
			r.lostDisks = 0
		}
		if r.applyLoss(next) || r.applyEvent(next) {
			ended <- struct{}{}
		} else {
			m, other := r.machinesOf(next)
			version := r.newestVersion()
			go func() {
				r.runClientAction(next, m, other, version)
				ended <- struct{}{}
			}()
		}
		time.Sleep(next.Wait)
	}
	for range actions {
		<-ended
	}
}

// applyLoss runs the actions that TestRandomHistories doesn't have, and reports whether the action is one of them.
func (r *overlappingRun) applyLoss(next action) bool {
	m, _ := r.machinesOf(next)
	switch next.What {
	case "lose-disk":
		if r.lostDisks < r.tolerated {
			r.lostDisks++
			m.crash()
			m.wipe()
			time.AfterFunc(restartDelay, m.start)
		}
	case "power-failure":
		for _, each := range r.all() {
			each.crash()
			time.AfterFunc(restartDelay, each.start)
		}
	case "split":
		r.split(next.Other)
	case "join":
		r.clearFaults()
	default:
		return false
	}
	return true
}

// split partitions the machines into two groups: the bit of side at a machine's index chooses its group.
func (r *overlappingRun) split(side int) {
	all := r.all()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i, from := range all {
		for j, to := range all {
			inSameGroup := (side>>i)&1 == (side>>j)&1
			r.partitioned[[2]string{from.address, to.address}] = !inSameGroup
		}
	}
}

// TestRandomHistories_OverlappingLosses checks that nothing acknowledged is lost, that no read returns an older state,
// and that the register becomes stable once all machines are back. Meanwhile the register may be unavailable.
func TestRandomHistories_OverlappingLosses(t *testing.T) {
	checkHistories(t, overlappingActionKinds, func(s *simulation, actions []action) {
		(&overlappingRun{simulation: s}).play(actions)
	})
}
