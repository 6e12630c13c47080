package register

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
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

var overlappingActionGenerator = rapid.Custom(func(t *rapid.T) action {
	return action{
		What:    rapid.SampledFrom(overlappingActionKinds).Draw(t, "what"),
		Machine: rapid.IntRange(0, 6).Draw(t, "machine"),
		Other:   rapid.IntRange(0, 6).Draw(t, "other"),
		Wait:    time.Duration(rapid.SampledFrom([]int{0, 1, 15, 40, 150, 600, 2500}).Draw(t, "wait")) * time.Millisecond,
	}
})

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
	run := func(t *testing.T, machines int, seed uint64, actions []action) {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, machines, seed)
			s.finishesUncommitted = true
			defer s.stopAll()
			s.startAll()
			s.awaitStable(5 * time.Second)
			(&overlappingRun{simulation: s}).play(actions)
			s.clearFaults()
			s.startAll()
			time.Sleep(longDelay)
			s.awaitStable(10 * time.Second)
			s.checkHistory(t)
			time.Sleep(longDelay)
		})
	}
	for _, machines := range []int{3, 5} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				actions := rapid.SliceOfN(overlappingActionGenerator, 5, 60).Draw(rt, "actions")
				if !t.Run("history", func(t *testing.T) { run(t, machines, seed, actions) }) {
					rt.Fatalf("history failed")
				}
			})
		})
	}
}
