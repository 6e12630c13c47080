package endpoints

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/state"
)

// fault is what happens to one message.
type fault int

const (
	delivered fault = iota
	lost
	doubled
	late // it comes after the next few messages
)

// lateBy is after how many further messages a late one comes.
const lateBy = 4

// world is two core members and an agent that pass on to each other what their tables tell. Each message has a
// number; faultAt says what befalls it.
type world struct {
	now     time.Time
	tables  map[string]*Table
	spread  map[string]map[string]state.Endpoint // newest told, by member and endpoint
	message int
	faultAt func(message int) fault
	delayed map[int][]func()
}

func newWorld(faultAt func(int) fault) *world {
	w := &world{now: epoch, tables: map[string]*Table{}, spread: map[string]map[string]state.Endpoint{},
		faultAt: faultAt, delayed: map[int][]func(){}}
	for _, name := range []string{"core-1", "core-2", "agent"} {
		w.tables[name] = NewTable(Options{Self: name, HeartbeatInterval: testInterval})
		w.spread[name] = map[string]state.Endpoint{}
	}
	return w
}

// send delivers a message unless a fault befalls it, and tells whether it came at once.
func (w *world) send(deliver func()) bool {
	w.message++
	number := w.message
	came := false
	switch w.faultAt(number) {
	case delivered:
		deliver()
		came = true
	case doubled:
		deliver()
		deliver()
		came = true
	case late:
		w.delayed[number+lateBy] = append(w.delayed[number+lateBy], deliver)
	case lost:
	}
	for _, waiting := range w.delayed[number] {
		waiting()
	}
	delete(w.delayed, number)
	return came
}

// flush delivers all that is still under way.
func (w *world) flush() {
	for len(w.delayed) > 0 {
		for number, list := range w.delayed {
			delete(w.delayed, number)
			for _, waiting := range list {
				waiting()
			}
		}
	}
}

// tell puts an endpoint into a member's spread and sends it to the others. It returns how many have it at once.
func (w *world) tell(from string, endpoint state.Endpoint) (copies int) {
	w.put(from, endpoint)
	for _, to := range []string{"core-1", "core-2", "agent"} {
		if to != from && w.send(func() { w.put(to, endpoint) }) {
			copies++
		}
	}
	return copies
}

// put is a member's spread taking an entry in: only newer ones reach the table.
func (w *world) put(member string, endpoint state.Endpoint) {
	held, known := w.spread[member][endpoint.ID]
	if known && !isNewer(endpoint, held) {
		return
	}
	w.spread[member][endpoint.ID] = endpoint
	w.tables[member].Merge(w.now, endpoint)
}

// call is a call of an endpoint at a member; it tells whether it was acknowledged. The end of an endpoint must not be
// before another member holds it.
func (w *world) call(t require.TestingT, member string, handle func(*Table) (state.Endpoint, Change)) (acknowledged bool) {
	w.send(func() {
		endpoint, change := handle(w.tables[member])
		acknowledged = true
		defer func() {
			if acknowledged && endpoint.State != state.EndpointAccepting {
				assert.True(t, w.heldElsewhere(member, endpoint), "%s acknowledged alone", member)
			}
		}()
		if change.Broadcast || endpoint.State != state.EndpointAccepting && !change.Replicated {
			copies := w.tell(member, endpoint)
			acknowledged = endpoint.State == state.EndpointAccepting || copies > 0
			if copies > 0 {
				w.tables[member].MarkReplicated(endpoint)
			}
		}
	})
	return acknowledged
}

// heldElsewhere tells whether another member knows that the endpoint takes no more requests.
func (w *world) heldElsewhere(member string, endpoint state.Endpoint) bool {
	for other, held := range w.spread {
		if other != member && held[endpoint.ID].State >= endpoint.State {
			return true
		}
	}
	return false
}

// repair lets all members hold the newest of what any holds, with the sweeps that may bring newer still.
func (w *world) repair() {
	for range 3 {
		for name, table := range w.tables {
			for _, endpoint := range table.Sweep(w.now) {
				w.put(name, endpoint)
			}
		}
		for _, from := range w.spread {
			for _, endpoint := range from {
				for to := range w.spread {
					w.put(to, endpoint)
				}
			}
		}
	}
}

// requireAgreement wants all tables to mean the same.
func (w *world) requireAgreement(t require.TestingT, id string) state.Endpoint {
	first, _ := w.tables["core-1"].Get(w.now, id)
	for name, table := range w.tables {
		other, known := table.Get(w.now, id)
		require.True(t, known, name)
		assert.Equal(t, first.State, other.State, name)
		assert.Equal(t, first.Unresponsive, other.Unresponsive, name)
	}
	return first
}

// life plays an endpoint from its start to its sign-off, which it tries at the members in turn until one
// acknowledges.
func (w *world) life(t require.TestingT) {
	sequence := uint64(0)
	try := func(closing bool) {
		for attempt := 0; ; attempt++ {
			require.Less(t, attempt, 10)
			sequence++
			beat := Heartbeat{Service: "s", Address: "x:1", Sequence: sequence, Closing: closing}
			member := []string{"core-1", "core-2"}[attempt%2]
			if w.call(t, member, func(table *Table) (state.Endpoint, Change) { return table.ReceiveHeartbeat(w.now, "e", beat) }) {
				return
			}
		}
	}
	for range 3 {
		try(false)
		w.now = w.now.Add(testInterval)
	}
	try(true)
	w.repair()
	for name, table := range w.tables {
		endpoint, _ := table.Get(w.now, "e")
		assert.NotEqual(t, state.EndpointAccepting, endpoint.State, "%s after the closing was acknowledged", name)
	}
	w.now = w.now.Add(testInterval)
	for attempt := 0; ; attempt++ {
		require.Less(t, attempt, 10)
		member := []string{"core-2", "core-1"}[attempt%2]
		if w.call(t, member, func(table *Table) (state.Endpoint, Change) { return table.Deregister(w.now, "e") }) {
			break
		}
	}
	w.flush()
	w.repair()
	assert.Equal(t, state.EndpointDeparted, w.requireAgreement(t, "e").State)
}

// TestLifeWithAFaultAtEachMessage plays a life once for each message and each fault that may befall it.
func TestLifeWithAFaultAtEachMessage(t *testing.T) {
	calm := newWorld(func(int) fault { return delivered })
	calm.life(t)
	for _, kind := range []fault{lost, doubled, late} {
		for number := 1; number <= calm.message; number++ {
			t.Run(fmt.Sprintf("fault %d at message %d", kind, number), func(t *testing.T) {
				newWorld(func(message int) fault {
					if message == number {
						return kind
					}
					return delivered
				}).life(t)
			})
		}
	}
}

// TestTablesAgreeAfterRepair lets endpoints call members at random with many faults. Once what is held is exchanged,
// all tables mean the same, and nothing that has signed off is back.
func TestTablesAgreeAfterRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{delivered, delivered, lost, doubled, late}), 1, 60).Draw(t, "faults")
		w := newWorld(func(message int) fault { return faults[message%len(faults)] })
		sequences := map[string]uint64{}
		signedOff, closing := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"e", "f"}).Draw(t, "endpoint")
			member := rapid.SampledFrom([]string{"core-1", "core-2"}).Draw(t, "member")
			switch rapid.SampledFrom([]string{"beat", "beat", "closing", "sign-off", "sweep"}).Draw(t, "what") {
			case "beat":
				w.randomBeat(t, id, member, sequences, closing[id])
			case "closing":
				closing[id] = true // for good
				w.randomBeat(t, id, member, sequences, true)
			case "sign-off":
				handle := func(table *Table) (state.Endpoint, Change) { return table.Deregister(w.now, id) }
				signedOff[id] = w.call(t, member, handle) || signedOff[id]
			case "sweep":
				for _, endpoint := range w.tables[member].Sweep(w.now) {
					w.tell(member, endpoint)
				}
			}
		}
		w.flush()
		w.repair()
		for _, id := range []string{"e", "f"} {
			if _, known := w.tables["agent"].Get(w.now, id); !known {
				continue
			}
			agreed := w.requireAgreement(t, id)
			if signedOff[id] {
				assert.Equal(t, state.EndpointDeparted, agreed.State)
			}
		}
	})
}

func (w *world) randomBeat(t require.TestingT, id, member string, sequences map[string]uint64, closing bool) {
	sequences[id]++
	beat := Heartbeat{Service: "s", Address: id + ":1", Sequence: sequences[id], Closing: closing}
	w.call(t, member, func(table *Table) (state.Endpoint, Change) { return table.ReceiveHeartbeat(w.now, id, beat) })
}
