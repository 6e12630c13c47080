package register

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// action is one action of a random history.
type action struct {
	What    string        // one of the kinds that the test lists
	Machine int           // index of the machine, modulo their number
	Other   int           // index of a second machine, or another parameter
	Wait    time.Duration // before the next action
}

// actionKinds are the kinds of actions of TestRandomHistories. A kind is drawn as often as it is listed.
var actionKinds = []string{
	"replace",
	"replace",
	"replace",
	"replace",
	"evacuate",
	"read",
	"race",
	"crash",
	"start",
	"wipe",
	"wipe-in-power-failure",
	"isolate",
	"rejoin",
	"fail-saves",
	"slow-saves",
	"report-down",
	"repair",
	"lossy",
	"clear-faults",
	"add-machine",
	"share-records",
	"move-partition",
	"shut-down",
	"replace-machine",
	"resend",
	"resend",
	"drop-outgoing",
	"drop-incoming",
}

// actionGenerator returns a generator of actions of the given kinds.
func actionGenerator(kinds []string) *rapid.Generator[action] {
	return rapid.Custom(func(t *rapid.T) action {
		return action{
			What:    rapid.SampledFrom(kinds).Draw(t, "what"),
			Machine: rapid.IntRange(0, 6).Draw(t, "machine"),
			Other:   rapid.IntRange(0, 6).Draw(t, "other"),
			Wait:    time.Duration(rapid.SampledFrom([]int{0, 1, 15, 40, 150, 600, 2500}).Draw(t, "wait")) * time.Millisecond,
		}
	})
}

// playActions runs the actions, and returns when all have ended. Each one begins when the Wait of the previous one has
// passed, even if that action hasn't ended.
func (s *simulation) playActions(actions []action) {
	ended := make(chan struct{}, len(actions))
	for _, next := range actions {
		if s.applyEvent(next) {
			ended <- struct{}{}
			time.Sleep(next.Wait)
			continue
		}
		m, other := s.machinesOf(next)
		version := s.newestVersion()
		go func() {
			s.runClientAction(next, m, other, version)
			ended <- struct{}{}
		}()
		time.Sleep(next.Wait)
	}
	for range actions {
		<-ended
	}
}

// machinesOf returns the two machines that an action names.
func (s *simulation) machinesOf(next action) (m, other *machine) {
	all := s.all()
	return all[next.Machine%len(all)], all[next.Other%len(all)]
}

// newestVersion returns the newest committed version, on which callers base their updates.
func (s *simulation) newestVersion() (newest uint64) {
	s.history.mutex.Lock()
	defer s.history.mutex.Unlock()
	for _, version := range s.history.versions {
		newest = max(newest, version)
	}
	return newest
}

// runClientAction runs an action that waits for answers.
func (s *simulation) runClientAction(next action, m, other *machine, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	client := int(s.history.tick())
	switch next.What {
	case "replace":
		_ = s.replace(m, client, version, version+1+uint64(next.Other))
	case "race":
		go func() { _ = s.replace(other, client+1_000_000, version, version+2) }()
		_ = s.replace(m, client, version, version+1)
	case "evacuate":
		if process := m.running(); process != nil {
			_, _ = process.node.Change(ctx, SetEvacuation("y", next.Other%2 == 0))
		}
	case "read":
		_, _ = s.read(m, client)
	case "resend":
		s.resend(m, next.Other, client)
	case "shut-down":
		m.shutDown()
		time.AfterFunc(restartDelay, m.start)
	case "replace-machine":
		s.replaceMachine(m)
	case "repair":
		if process := m.running(); process != nil {
			_ = process.node.RepairVoters(ctx)
		}
	}
}

// applyEvent runs an action that returns at once, and reports whether the action is of that kind.
func (s *simulation) applyEvent(next action) bool {
	m, other := s.machinesOf(next)
	switch next.What {
	case "crash":
		m.crash()
	case "start":
		m.start()
	case "wipe", "wipe-in-power-failure":
		s.failDisks(m, other, next.What == "wipe-in-power-failure")
	case "isolate":
		s.isolate(m, true)
	case "drop-outgoing":
		s.partitionOneWay(m, true)
	case "drop-incoming":
		s.partitionOneWay(m, false)
	case "rejoin":
		s.isolate(m, false)
	case "fail-saves":
		m.setDiskFaults(true, 0)
	case "slow-saves":
		m.setDiskFaults(false, time.Duration(1+next.Other)*300*time.Millisecond)
	case "report-down":
		s.setFalselyDown(m, next.Other%2 == 0)
	case "lossy":
		s.mutex.Lock()
		s.lossy = !s.lossy
		s.mutex.Unlock()
	case "clear-faults":
		s.clearFaults()
		s.startAll()
	case "add-machine":
		if len(s.all()) < 6 {
			s.startNew()
		}
	case "share-records":
		s.shareRecords()
	case "move-partition":
		s.isolate(m, true)
		s.isolate(other, false)
	default:
		return false
	}
	return true
}

// failDisks wipes as many disks as the system has to tolerate, but only if the register is stable. If power is set, all
// other machines lose power at the same time.
func (s *simulation) failDisks(m, other *machine, power bool) {
	if !s.isStable() {
		return
	}
	if power {
		for _, each := range s.all() {
			each.crash()
			time.AfterFunc(restartDelay, each.start)
		}
	}
	wiped := []*machine{m}
	if s.tolerated >= 2 && other != m {
		wiped = append(wiped, other)
	}
	for _, each := range wiped {
		each.crash()
		each.wipe()
		time.AfterFunc(restartDelay, each.start)
	}
}

// runHistory plays actions on machines that are stable at first. After the faults have ended, the register has to
// become stable, and its history has to be linearizable.
func runHistory(t *testing.T, machines int, seed uint64, play func(*simulation)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, machines, seed)
		s.finishesUncommitted = true
		defer s.stopAll()
		s.startAll()
		s.awaitStable(5 * time.Second)
		play(s)
		s.clearFaults()
		s.startAll()
		time.Sleep(longDelay)
		s.awaitStable(10 * time.Second)
		s.checkHistory(t)
		time.Sleep(longDelay)
	})
}

// checkHistories plays generated actions on three and on five machines.
func checkHistories(t *testing.T, kinds []string, play func(*simulation, []action)) {
	for _, machines := range []int{3, 5} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				actions := rapid.SliceOfN(actionGenerator(kinds), 5, 60).Draw(rt, "actions")
				run := func(t *testing.T) {
					runHistory(t, machines, seed, func(s *simulation) { play(s, actions) })
				}
				if !t.Run("history", run) {
					rt.Fatalf("history failed")
				}
			})
		})
	}
}

// TestRandomHistories checks that no acknowledged change is lost, and that the register becomes stable after the
// faults.
func TestRandomHistories(t *testing.T) {
	checkHistories(t, actionKinds, func(s *simulation, actions []action) { s.playActions(actions) })
}
