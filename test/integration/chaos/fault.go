// Package chaos plays seeds against a fleet of real members: faults of a list, drawn, at moments of a list,
// drawn, under a drawn load, and all is judged at the end. What is drawn comes from the seed alone; what
// comes of it also from the machine, so a seed that fails is played again several times.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

// fault is what befalls a fleet; begin returns what ends it. Members that a fault needs are drawn by it.
type fault struct {
	name  string
	start func(w *scenario) (end func())
}

// faults are all there are. A line added here is drawn from then on.
var faults = []fault{
	{"kill", func(w *scenario) func() { m := w.randomMember(); m.Kill(); return m.StartAsync }},
	{"kill the leader", func(w *scenario) func() { m := w.leaderOrRandom(); m.Kill(); return m.StartAsync }},
	{"kill, folder gone", func(w *scenario) func() { m := w.randomMember(); m.Kill(); m.DeleteState(); return m.StartAsync }},
	{"planned restart", func(w *scenario) func() { m := w.randomMember(); m.Terminate(); return m.StartAsync }},
	{"stop", func(w *scenario) func() { m := w.randomMember(); m.Pause(); return m.Resume }},
	{"stop the leader", func(w *scenario) func() { m := w.leaderOrRandom(); m.Pause(); return m.Resume }},
	{"hang up", func(w *scenario) func() { w.randomMember().SendHangup(); return nil }},
	{"folder full", func(w *scenario) func() {
		m := w.randomMember()
		m.LimitFileSize(uint64(m.LargestFile()))
		return func() { m.LimitFileSize(0) }
	}},
	{"a member leaves by the plan", func(w *scenario) func() {
		w.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\nbounds { moves_at_once = %d }\n", w.randomMember().Name, 1+w.IntN(4)))
		return func() { w.ReloadOperatorFiles("") }
	}},
	{"a pin and a leave", func(w *scenario) func() {
		a, b := w.randomPair()
		w.ReloadOperatorFiles(fmt.Sprintf("pin \"first\" {\n  destinations = [%d]\n  to = %q\n}\nleave %q {}\n", w.randomDestination(),
			a.Name, b.Name))
		return func() { w.ReloadOperatorFiles("") }
	}},
	{"cut off", func(w *scenario) func() {
		w.Network.Isolate(harness.Partition, w.randomMember().Name)
		return w.Network.Heal
	}},
	{"leader cut off", func(w *scenario) func() {
		w.Network.Isolate(harness.Partition, w.leaderOrRandom().Name)
		return w.Network.Heal
	}},
	{"keepers' majority gone", func(w *scenario) func() {
		for _, m := range w.RaftNodes()[1:] {
			w.Network.Isolate(harness.Partition, m.Name)
		}
		return w.Network.Heal
	}},
	{"one way", func(w *scenario) func() {
		a, b := w.randomPair()
		w.Network.SetFault(a.Name, b.Name,
			harness.OneWayPartition)
		return w.Network.Heal
	}},
	{"refused", func(w *scenario) func() {
		a, b := w.randomPair()
		w.Network.SetFaultBetween(a.Name, b.Name, harness.Refused)
		return w.Network.Heal
	}},
	{"late", func(w *scenario) func() {
		w.Network.Isolate(harness.Delayed(time.Duration(w.IntN(int(w.leaseTTL)))), w.randomMember().Name)
		return w.Network.Heal
	}},
	{"slow", func(w *scenario) func() {
		w.Network.Isolate(harness.Throttled(200+w.IntN(20000)),
			w.randomMember().Name)
		return w.Network.Heal
	}},
	{"reset half-way", func(w *scenario) func() {
		a, b := w.randomPair()
		w.Network.SetFaultBetween(a.Name, b.Name, harness.ResetAfterBytes(1+w.IntN(4000)))
		return w.Network.Heal
	}},
	{"destination hangs", setBehaviour(platform.Hangs)},
	{"destination refuses", setBehaviour(platform.Refuses)},
	{"destination vanishes", setBehaviour(platform.Unreachable)},
	{"destination's answers are lost", setBehaviour(platform.ResponseLost)},
	{"destination asks to wait", setBehaviour(platform.RateLimited(1200 * time.Millisecond))},
	{"destination is slow", setBehaviour(platform.Slow(700 * time.Millisecond))},
	{"destination fails over", func(w *scenario) func() {
		d := w.Platform.Destination(w.randomDestination())
		w.requireNoError(d.BeginOutage(platform.Unavailable))
		return func() { w.requireNoError(d.EndOutage(100)) }
	}},
	{"endpoint drains", func(w *scenario) func() {
		e := w.Platform.Endpoints(w.randomDestination())[0]
		w.Platform.Drain(e)
		return func() { w.Platform.Relist(e) }
	}},
	{"discovery is silent", func(w *scenario) func() {
		s, err := w.Platform.View(w.randomMember().Name)
		w.requireNoError(err)
		s.MuteDiscovery(true)
		return func() { s.MuteDiscovery(false) }
	}},
}

func setBehaviour(b platform.Behaviour) func(w *scenario) func() {
	return func(w *scenario) func() {
		d := w.Platform.Destination(w.randomDestination())
		w.requireNoError(d.SetBehaviour(b))
		return func() { w.requireNoError(d.SetBehaviour(platform.Delivers)) }
	}
}

// logTriggers are what any member's log may say when a fault begins: each step of a lease, a move and a stream.
// Where it is not said in time, the fault begins all the same.
var logTriggers = []string{"", "", "raft leadership gained", "session held", "session over", "lease granted", "task over",
	"move planned", "move warms", "move passes", "home let go", "home switched", "move cleared",
	"homes given anew",
	"owed handed on", "webhook in doubt", "doubt settled", "stream"}

// randomDuration is how long a fault lasts: half a term to three terms.
func (w *scenario) randomDuration() time.Duration {
	return w.leaseTTL/2 + time.Duration(w.Float64()*2.5*float64(w.leaseTTL))
}

// scenario is a fleet with what was drawn for it.
type scenario struct {
	*harness.Cluster
	*rand.Rand
	leaseTTL       time.Duration
	affected       map[*harness.Member]bool // something befalls it already in this round
	requireNoError func(error)
}

// randomMember is any member that nothing befalls yet, two are any two, leader is the keeper that leads, or any where
// none does now.
func (w *scenario) randomMember() *harness.Member {
	for {
		if m := w.Members[w.IntN(len(w.Members))]; !w.affected[m] {
			w.affected[m] = true
			return m
		}
	}
}

func (w *scenario) randomPair() (a, b *harness.Member) {
	at := w.Perm(len(w.Members))
	return w.Members[at[0]], w.Members[at[1]]
}

func (w *scenario) leaderOrRandom() *harness.Member {
	if m := w.Leader(); m != nil && !w.affected[m] {
		w.affected[m] = true
		return m
	}
	return w.randomMember()
}

func (w *scenario) randomDestination() api.DestinationID {
	return w.destinations()[w.IntN(len(w.destinations()))]
}

func (w *scenario) destinations() []api.DestinationID { return []api.DestinationID{1, 2, 3, 4} }
