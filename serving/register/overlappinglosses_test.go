package register

import (
	"testing"
	"time"
)

// overlappingActionKinds has the kinds of actions of histories in which losses overlap beyond what the settings state:
// any number of machines is down or partitioned while disks are lost, but no more disks than tolerated before the
// register was stable again.
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

// overlappingRun counts the disks that were lost since the register was last stable.
type overlappingRun struct {
	*simulation
	lostDisks int
}

// play runs the actions. Each begins after the wait of the one before, even if that hasn't ended.
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

// split cuts the machines into two halves of any composition.
func (r *overlappingRun) split(side int) {
	all := r.all()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i, from := range all {
		for j, to := range all {
			inOneHalf := (side>>i)&1 == (side>>j)&1
			r.partitioned[[2]string{from.address, to.address}] = !inOneHalf
		}
	}
}

// TestRandomHistories_OverlappingLosses checks that nothing acknowledged is lost or read in an older state, and that the
// register becomes stable once all machines are back. Service may rest meanwhile.
func TestRandomHistories_OverlappingLosses(t *testing.T) {
	checkHistories(t, overlappingActionKinds, func(s *simulation, actions []action) {
		(&overlappingRun{simulation: s}).play(actions)
	})
}
