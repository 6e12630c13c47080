package register

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// action is one thing that happens in a random history.
type action struct {
	What    string
	Machine int
	Other   int
	Wait    time.Duration
}

var kindsOfActions = []string{"replace", "replace", "replace", "replace", "evacuate", "read", "race", "crash", "start",
	"wipe", "blight", "cut", "mend", "refuse", "slow", "mistake", "repair", "lossy", "heal", "add", "share", "move",
	"leave", "retire", "resend", "resend", "mute", "deafen"}

var drawAction = rapid.Custom(func(t *rapid.T) action {
	return action{
		What:    rapid.SampledFrom(kindsOfActions).Draw(t, "what"),
		Machine: rapid.IntRange(0, 6).Draw(t, "machine"),
		Other:   rapid.IntRange(0, 6).Draw(t, "other"),
		Wait:    time.Duration(rapid.SampledFrom([]int{0, 1, 15, 40, 150, 600, 2500}).Draw(t, "wait")) * time.Millisecond,
	}
})

// play runs the actions; each begins after the wait of the one before, whether that has ended or not.
func (s *simulation) play(actions []action) {
	ended := make(chan struct{}, len(actions))
	for _, next := range actions {
		if s.happen(next) {
			ended <- struct{}{}
			time.Sleep(next.Wait)
			continue
		}
		m, other := s.pair(next)
		version := s.newestVersion()
		go func() {
			s.call(next, m, other, version)
			ended <- struct{}{}
		}()
		time.Sleep(next.Wait)
	}
	for range actions {
		<-ended
	}
}

// pair returns the two machines that an action is about.
func (s *simulation) pair(next action) (m, other *machine) {
	all := s.all()
	return all[next.Machine%len(all)], all[next.Other%len(all)]
}

// newestVersion is the version that callers build on.
func (s *simulation) newestVersion() (newest uint64) {
	s.history.mutex.Lock()
	defer s.history.mutex.Unlock()
	for _, version := range s.history.versions {
		newest = max(newest, version)
	}
	return newest
}

// call does the actions that wait for answers.
func (s *simulation) call(next action, m, other *machine, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
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
	case "leave":
		m.leave()
		time.AfterFunc(returnTime, m.start)
	case "retire":
		s.retire(m)
	case "repair":
		if process := m.running(); process != nil {
			_ = process.node.RepairVoters(ctx)
		}
	}
}

// happen does the actions that take no time and tells whether the action was one of them.
func (s *simulation) happen(next action) bool {
	m, other := s.pair(next)
	switch next.What {
	case "crash":
		m.crash()
	case "start":
		m.start()
	case "wipe", "blight":
		s.loseDisks(m, other, next.What == "blight")
	case "cut":
		s.isolate(m, true)
	case "mute":
		s.cutOneWay(m, true)
	case "deafen":
		s.cutOneWay(m, false)
	case "mend":
		s.isolate(m, false)
	case "refuse":
		m.trouble(true, 0)
	case "slow":
		m.trouble(false, time.Duration(1+next.Other)*300*time.Millisecond)
	case "mistake":
		s.mistake(m, next.Other%2 == 0)
	case "lossy":
		s.mutex.Lock()
		s.lossy = !s.lossy
		s.mutex.Unlock()
	case "heal":
		s.heal()
		s.startAll()
	case "add":
		if len(s.all()) < 6 {
			added := s.addNext()
			added.started = true
			added.start()
		}
	case "share":
		s.shareRecords()
	case "move":
		s.isolate(m, true)
		s.isolate(other, false)
	default:
		return false
	}
	return true
}

// loseDisks loses as many disks as the system has to withstand, if all is well before; the other machines lose power
// at the same time or not.
func (s *simulation) loseDisks(m, other *machine, power bool) {
	if !s.settled() {
		return
	}
	if power {
		for _, each := range s.all() {
			each.crash()
			time.AfterFunc(returnTime, each.start)
		}
	}
	losers := []*machine{m}
	if s.losses >= 2 && other != m {
		losers = append(losers, other)
	}
	for _, loser := range losers {
		loser.crash()
		loser.wipe()
		time.AfterFunc(returnTime, loser.start)
	}
}

func runHistory(t *testing.T, machines int, seed uint64, actions []action) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, machines, seed)
		s.finishing = true
		defer s.stopAll()
		s.startAll()
		s.awaitSettled(5 * time.Second)
		s.play(actions)
		s.heal()
		s.startAll()
		time.Sleep(lateDelay)
		s.awaitSettled(10 * time.Second)
		s.judge(t)
		time.Sleep(lateDelay)
	})
}

// Whatever happens, nothing acknowledged is lost, and the replicas settle once the troubles are over.
func TestRandomHistories(t *testing.T) {
	for _, machines := range []int{3, 5} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				actions := rapid.SliceOfN(drawAction, 5, 60).Draw(rt, "actions")
				if !t.Run("history", func(t *testing.T) { runHistory(t, machines, seed, actions) }) {
					rt.Fatalf("history failed")
				}
			})
		})
	}
}
