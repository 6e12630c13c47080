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
	duplicated
	delayed // it arrives after the next few messages
)

// delayedBy is the number of further messages after which a delayed one arrives.
const delayedBy = 4

// testSystem is a system of two core members and an agent that exchange what their tables broadcast. Each message has a
// number, and faultAt returns its fault.
type testSystem struct {
	now             time.Time
	tables          map[string]*Table
	stored          map[string]map[string]state.Endpoint // newest stored version, by member and endpoint
	message         int
	faultAt         func(message int) fault
	delayedMessages map[int][]func()
}

func newTestSystem(faultAt func(int) fault) *testSystem {
	w := &testSystem{
		now:             epoch,
		tables:          map[string]*Table{},
		stored:          map[string]map[string]state.Endpoint{},
		faultAt:         faultAt,
		delayedMessages: map[int][]func(){},
	}
	for _, name := range []string{"core-1", "core-2", "agent"} {
		w.tables[name] = NewTable(Options{Self: name, HeartbeatInterval: testInterval})
		w.stored[name] = map[string]state.Endpoint{}
	}
	return w
}

// send delivers a message according to its fault, and reports whether it arrived at once.
func (w *testSystem) send(deliver func()) bool {
	w.message++
	number := w.message
	arrived := false
	switch w.faultAt(number) {
	case delivered:
		deliver()
		arrived = true
	case duplicated:
		deliver()
		deliver()
		arrived = true
	case delayed:
		w.delayedMessages[number+delayedBy] = append(w.delayedMessages[number+delayedBy], deliver)
	case lost:
	}
	for _, deliverDelayed := range w.delayedMessages[number] {
		deliverDelayed()
	}
	delete(w.delayedMessages, number)
	return arrived
}

// flush delivers all delayed messages.
func (w *testSystem) flush() {
	for len(w.delayedMessages) > 0 {
		for number, list := range w.delayedMessages {
			delete(w.delayedMessages, number)
			for _, deliverDelayed := range list {
				deliverDelayed()
			}
		}
	}
}

// broadcast stores an endpoint at a member and sends it to its peers. It returns how many have it at once.
func (w *testSystem) broadcast(from string, endpoint state.Endpoint) (copies int) {
	w.put(from, endpoint)
	for _, to := range []string{"core-1", "core-2", "agent"} {
		if to != from && w.send(func() { w.put(to, endpoint) }) {
			copies++
		}
	}
	return copies
}

// put is a member's gossip, which applies only newer versions to the table.
func (w *testSystem) put(member string, endpoint state.Endpoint) {
	stored, known := w.stored[member][endpoint.ID]
	if known && !isNewer(endpoint, stored) {
		return
	}
	w.stored[member][endpoint.ID] = endpoint
	w.tables[member].Merge(w.now, endpoint)
}

// call is a call of an endpoint at a member; it reports whether it was acknowledged. That an endpoint drains or has
// departed must not be acknowledged before another member has stored it.
func (w *testSystem) call(t require.TestingT, member string,
	handle func(*Table) (state.Endpoint, Change)) (acknowledged bool) {
	w.send(func() {
		endpoint, change := handle(w.tables[member])
		acknowledged = true
		defer func() {
			if acknowledged && endpoint.State != state.EndpointAccepting {
				assert.True(t, w.isStoredElsewhere(member, endpoint), "%s acknowledged what no other member has stored", member)
			}
		}()
		if change.Broadcast || endpoint.State != state.EndpointAccepting && !change.Replicated {
			copies := w.broadcast(member, endpoint)
			acknowledged = endpoint.State == state.EndpointAccepting || copies > 0
			if copies > 0 {
				w.tables[member].MarkReplicated(endpoint)
			}
		}
	})
	return acknowledged
}

// isStoredElsewhere reports whether another member knows that the endpoint accepts no more requests.
func (w *testSystem) isStoredElsewhere(member string, endpoint state.Endpoint) bool {
	for other, stored := range w.stored {
		if other != member && stored[endpoint.ID].State >= endpoint.State {
			return true
		}
	}
	return false
}

// repair copies the newest versions that any member has to all, also those that result from sweeps.
func (w *testSystem) repair() {
	for range 3 {
		for name, table := range w.tables {
			for _, endpoint := range table.Sweep(w.now) {
				w.put(name, endpoint)
			}
		}
		for _, from := range w.stored {
			for _, endpoint := range from {
				for to := range w.stored {
					w.put(to, endpoint)
				}
			}
		}
	}
}

// requireAgreement checks that all tables have an endpoint in the same state.
func (w *testSystem) requireAgreement(t require.TestingT, id string) state.Endpoint {
	first, _ := w.tables["core-1"].Get(w.now, id)
	for name, table := range w.tables {
		other, known := table.Get(w.now, id)
		require.True(t, known, name)
		assert.Equal(t, first.State, other.State, name)
		assert.Equal(t, first.Unresponsive, other.Unresponsive, name)
	}
	return first
}

// runLifecycle runs an endpoint from its start to its deregistration. Each call is repeated at the members in turn
// until one acknowledges it.
func (w *testSystem) runLifecycle(t require.TestingT) {
	sequence := uint64(0)
	call := func(draining bool) {
		for attempt := 0; ; attempt++ {
			require.Less(t, attempt, 10)
			sequence++
			heartbeat := Heartbeat{Service: "s", Address: "x:1", Sequence: sequence, Draining: draining}
			member := []string{"core-1", "core-2"}[attempt%2]
			handle := func(table *Table) (state.Endpoint, Change) {
				return table.ReceiveHeartbeat(w.now, "e", heartbeat)
			}
			if w.call(t, member, handle) {
				return
			}
		}
	}
	for range 3 {
		call(false)
		w.now = w.now.Add(testInterval)
	}
	call(true)
	w.repair()
	for name, table := range w.tables {
		endpoint, _ := table.Get(w.now, "e")
		assert.NotEqual(t, state.EndpointAccepting, endpoint.State, "%s after the draining was acknowledged", name)
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

// TestTable_LifecycleWithAFaultAtEachMessage runs a lifecycle once for each message and each fault.
func TestTable_LifecycleWithAFaultAtEachMessage(t *testing.T) {
	faultless := newTestSystem(func(int) fault { return delivered })
	faultless.runLifecycle(t)
	for _, kind := range []fault{lost, duplicated, delayed} {
		for number := 1; number <= faultless.message; number++ {
			t.Run(fmt.Sprintf("fault %d at message %d", kind, number), func(t *testing.T) {
				newTestSystem(func(message int) fault {
					if message == number {
						return kind
					}
					return delivered
				}).runLifecycle(t)
			})
		}
	}
}

// TestTable_AgreesAfterRepair makes endpoints call members at random with many faults. Once the members have exchanged
// their versions, all tables agree, and no deregistered endpoint is back.
func TestTable_AgreesAfterRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyFault := rapid.SampledFrom([]fault{delivered, delivered, lost, duplicated, delayed})
		faults := rapid.SliceOfN(anyFault, 1, 60).Draw(t, "faults")
		w := newTestSystem(func(message int) fault { return faults[message%len(faults)] })
		sequences := map[string]uint64{}
		deregistered, draining := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "interval ms")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"e", "f"}).Draw(t, "endpoint")
			member := rapid.SampledFrom([]string{"core-1", "core-2"}).Draw(t, "member")
			switch rapid.SampledFrom([]string{"heartbeat", "heartbeat", "draining", "deregister", "sweep"}).Draw(t, "action") {
			case "heartbeat":
				w.sendRandomHeartbeat(t, id, member, sequences, draining[id])
			case "draining":
				draining[id] = true // for good
				w.sendRandomHeartbeat(t, id, member, sequences, true)
			case "deregister":
				handle := func(table *Table) (state.Endpoint, Change) { return table.Deregister(w.now, id) }
				deregistered[id] = w.call(t, member, handle) || deregistered[id]
			case "sweep":
				for _, endpoint := range w.tables[member].Sweep(w.now) {
					w.broadcast(member, endpoint)
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
			if deregistered[id] {
				assert.Equal(t, state.EndpointDeparted, agreed.State)
			}
		}
	})
}

func (w *testSystem) sendRandomHeartbeat(t require.TestingT, id, member string, sequences map[string]uint64, draining bool) {
	sequences[id]++
	heartbeat := Heartbeat{Service: "s", Address: id + ":1", Sequence: sequences[id], Draining: draining}
	w.call(t, member, func(table *Table) (state.Endpoint, Change) { return table.ReceiveHeartbeat(w.now, id, heartbeat) })
}
