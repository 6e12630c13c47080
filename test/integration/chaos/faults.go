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
	begin func(w *world) (end func())
}

// faults are all there are. A line added here is drawn from then on.
var faults = []fault{
	{"kill", func(w *world) func() { m := w.one(); m.Kill(); return m.Launch }},
	{"kill the leader", func(w *world) func() { m := w.leader(); m.Kill(); return m.Launch }},
	{"kill, folder gone", func(w *world) func() { m := w.one(); m.Kill(); m.Wipe(); return m.Launch }},
	{"planned restart", func(w *world) func() { m := w.one(); m.End(); return m.Launch }},
	{"stop", func(w *world) func() { m := w.one(); m.Stop(); return m.Continue }},
	{"stop the leader", func(w *world) func() { m := w.leader(); m.Stop(); return m.Continue }},
	{"hang up", func(w *world) func() { w.one().HangUp(); return nil }},
	{"folder full", func(w *world) func() {
		m := w.one()
		m.LimitFiles(uint64(m.Largest()))
		return func() { m.LimitFiles(0) }
	}},
	{"a member leaves by the plan", func(w *world) func() {
		w.Reload(fmt.Sprintf("leave %q {}\nbounds { moves_at_once = %d }\n", w.one().Name, 1+w.IntN(4)))
		return func() { w.Reload("") }
	}},
	{"a pin and a leave", func(w *world) func() {
		a, b := w.two()
		w.Reload(fmt.Sprintf("pin \"first\" {\n  destinations = [%d]\n  to = %q\n}\nleave %q {}\n", w.dest(),
			a.Name, b.Name))
		return func() { w.Reload("") }
	}},
	{"cut off", func(w *world) func() { w.Net.Apart(harness.Cut, w.one().Name); return w.Net.Heal }},
	{"leader cut off", func(w *world) func() { w.Net.Apart(harness.Cut, w.leader().Name); return w.Net.Heal }},
	{"keepers' majority gone", func(w *world) func() {
		for _, m := range w.Keepers()[1:] {
			w.Net.Apart(harness.Cut, m.Name)
		}
		return w.Net.Heal
	}},
	{"one way", func(w *world) func() {
		a, b := w.two()
		w.Net.Set(a.Name, b.Name,
			harness.OneWay)
		return w.Net.Heal
	}},
	{"refused", func(w *world) func() {
		a, b := w.two()
		w.Net.Between(a.Name, b.Name, harness.Refuse)
		return w.Net.Heal
	}},
	{"late", func(w *world) func() {
		w.Net.Apart(harness.Late(time.Duration(w.IntN(int(w.term)))), w.one().Name)
		return w.Net.Heal
	}},
	{"slow", func(w *world) func() {
		w.Net.Apart(harness.Slow(200+w.IntN(20000)),
			w.one().Name)
		return w.Net.Heal
	}},
	{"reset half-way", func(w *world) func() {
		a, b := w.two()
		w.Net.Between(a.Name, b.Name, harness.HalfWay(1+w.IntN(4000)))
		return w.Net.Heal
	}},
	{"destination hangs", behave(platform.Hangs)},
	{"destination refuses", behave(platform.Refuses)},
	{"destination vanishes", behave(platform.Vanishes)},
	{"destination's answers are lost", behave(platform.AnswerLost)},
	{"destination asks to wait", behave(platform.Full(1200 * time.Millisecond))},
	{"destination is slow", behave(platform.Slow(700 * time.Millisecond))},
	{"destination fails over", func(w *world) func() {
		d := w.Platform.Destination(w.dest())
		w.check(d.Fail(platform.Shut))
		return func() { w.check(d.Return(100)) }
	}},
	{"endpoint drains", func(w *world) func() {
		e := w.Platform.Endpoints(w.dest())[0]
		w.Platform.Drain(e)
		return func() { w.Platform.Relist(e) }
	}},
	{"discovery is silent", func(w *world) func() {
		s, err := w.Platform.Seat(w.one().Name)
		w.check(err)
		s.Mute(true)
		return func() { s.Mute(false) }
	}},
}

func behave(b platform.Behaviour) func(w *world) func() {
	return func(w *world) func() {
		d := w.Platform.Destination(w.dest())
		w.check(d.Set(b))
		return func() { w.check(d.Set(platform.Delivers)) }
	}
}

// moments are what any member's log may say when a fault begins: each step of a lease, a move and a stream.
// Where it is not said in time, the fault begins all the same.
var moments = []string{"", "", "raft leadership gained", "session held", "session over", "lease granted", "task over",
	"move planned", "move warms", "move passes", "home let go", "home switched", "move cleared",
	"homes given anew",
	"owed handed on", "webhook in doubt", "doubt settled", "stream"}

// span is how long a fault lasts: half a term to three terms.
func (w *world) span() time.Duration {
	return w.term/2 + time.Duration(w.Float64()*2.5*float64(w.term))
}

// world is a fleet with what was drawn for it.
type world struct {
	*harness.Fleet
	*rand.Rand
	term  time.Duration
	busy  map[*harness.Member]bool // something befalls it already in this round
	check func(error)
}

// one is any member that nothing befalls yet, two are any two, leader is the keeper that leads, or any where
// none does now.
func (w *world) one() *harness.Member {
	for {
		if m := w.Members[w.IntN(len(w.Members))]; !w.busy[m] {
			w.busy[m] = true
			return m
		}
	}
}

func (w *world) two() (a, b *harness.Member) {
	at := w.Perm(len(w.Members))
	return w.Members[at[0]], w.Members[at[1]]
}

func (w *world) leader() *harness.Member {
	if m := w.LeaderNow(); m != nil && !w.busy[m] {
		w.busy[m] = true
		return m
	}
	return w.one()
}

func (w *world) dest() api.DestinationID { return w.dests()[w.IntN(len(w.dests()))] }

func (w *world) dests() []api.DestinationID { return []api.DestinationID{1, 2, 3, 4} }
