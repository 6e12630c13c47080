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

// testSystem simulates two core members and an agent that send each other their tables' broadcasts. Messages are
// numbered from 1, and faultAt returns the fault of each.
type testSystem struct {
	now             time.Time
	tables          map[string]*Table
	stored          map[string]map[string]state.Endpoint // newest stored version, by member and endpoint
	message         int
	faultAt         func(message int) fault
	delayedMessages map[int][]func()
}

func newTestSystem(faultAt func(int) fault) *testSystem {
	s := &testSystem{
		now:             epoch,
		tables:          map[string]*Table{},
		stored:          map[string]map[string]state.Endpoint{},
		faultAt:         faultAt,
		delayedMessages: map[int][]func(){},
	}
	for _, name := range []string{"core-1", "core-2", "agent"} {
		s.tables[name] = NewTable(Options{Self: name, HeartbeatInterval: testInterval})
		s.stored[name] = map[string]state.Endpoint{}
	}
	return s
}

// send delivers a message according to its fault, and reports whether it arrived at once.
func (s *testSystem) send(deliver func()) bool {
	s.message++
	number := s.message
	arrived := false
	switch s.faultAt(number) {
	case delivered:
		deliver()
		arrived = true
	case duplicated:
		deliver()
		deliver()
		arrived = true
	case delayed:
		s.delayedMessages[number+delayedBy] = append(s.delayedMessages[number+delayedBy], deliver)
	case lost:
	}
	for _, deliverDelayed := range s.delayedMessages[number] {
		deliverDelayed()
	}
	delete(s.delayedMessages, number)
	return arrived
}

// flush delivers all delayed messages.
func (s *testSystem) flush() {
	for len(s.delayedMessages) > 0 {
		for number, list := range s.delayedMessages {
			delete(s.delayedMessages, number)
			for _, deliverDelayed := range list {
				deliverDelayed()
			}
		}
	}
}

// broadcast stores an endpoint at a member and sends it to the others. It returns to how many of them it was delivered
// without delay.
func (s *testSystem) broadcast(from string, endpoint state.Endpoint) (copies int) {
	s.put(from, endpoint)
	for _, to := range []string{"core-1", "core-2", "agent"} {
		if to != from && s.send(func() { s.put(to, endpoint) }) {
			copies++
		}
	}
	return copies
}

// put passes an endpoint to a member's gossip, which stores only newer versions and merges them into the table.
func (s *testSystem) put(member string, endpoint state.Endpoint) {
	stored, known := s.stored[member][endpoint.ID]
	if known && !isNewer(endpoint, stored) {
		return
	}
	s.stored[member][endpoint.ID] = endpoint
	s.tables[member].Merge(s.now, endpoint)
}

// call simulates a call by an endpoint to a member, which handle processes, and reports whether the member acknowledged
// it. It checks that a member doesn't acknowledge the states draining and departed before another member has stored
// them.
func (s *testSystem) call(t require.TestingT, member string,
	handle func(*Table) (state.Endpoint, Change)) (acknowledged bool) {
	s.send(func() {
		endpoint, change := handle(s.tables[member])
		acknowledged = true
		defer func() {
			if acknowledged && endpoint.State != state.EndpointAccepting {
				assert.True(t, s.isStoredElsewhere(member, endpoint), "%s acknowledged what no other member has stored", member)
			}
		}()
		if change.Broadcast || endpoint.State != state.EndpointAccepting && !change.Replicated {
			copies := s.broadcast(member, endpoint)
			acknowledged = endpoint.State == state.EndpointAccepting || copies > 0
			if copies > 0 {
				s.tables[member].MarkReplicated(endpoint)
			}
		}
	})
	return acknowledged
}

// isStoredElsewhere reports whether another member has stored this state of the endpoint or a later one.
func (s *testSystem) isStoredElsewhere(member string, endpoint state.Endpoint) bool {
	for other, stored := range s.stored {
		if other != member && stored[endpoint.ID].State >= endpoint.State {
			return true
		}
	}
	return false
}

// repair sweeps all tables and copies the stored versions of each member to all members, until all have the newest
// ones.
func (s *testSystem) repair() {
	for range 3 {
		for name, table := range s.tables {
			for _, endpoint := range table.Sweep(s.now) {
				s.put(name, endpoint)
			}
		}
		for _, from := range s.stored {
			for _, endpoint := range from {
				for to := range s.stored {
					s.put(to, endpoint)
				}
			}
		}
	}
}

// requireAgreement checks that all tables have an endpoint in the same state, and returns that state.
func (s *testSystem) requireAgreement(t require.TestingT, id string) state.Endpoint {
	first, _ := s.tables["core-1"].Get(s.now, id)
	for name, table := range s.tables {
		other, known := table.Get(s.now, id)
		require.True(t, known, name)
		assert.Equal(t, first.State, other.State, name)
		assert.Equal(t, first.Unresponsive, other.Unresponsive, name)
	}
	return first
}

// runLifecycle simulates an endpoint from its registration to its deregistration. It repeats each call at the core
// members in turn until one acknowledges it. It checks that no table has the endpoint as accepting after it is
// acknowledged to be draining, and that all tables have it as departed in the end.
func (s *testSystem) runLifecycle(t require.TestingT) {
	sequence := uint64(0)
	call := func(draining bool) {
		for attempt := 0; ; attempt++ {
			require.Less(t, attempt, 10)
			sequence++
			heartbeat := Heartbeat{Service: "s", Address: "x:1", Sequence: sequence, Draining: draining}
			member := []string{"core-1", "core-2"}[attempt%2]
			handle := func(table *Table) (state.Endpoint, Change) {
				return table.ReceiveHeartbeat(s.now, "e", heartbeat)
			}
			if s.call(t, member, handle) {
				return
			}
		}
	}
	for range 3 {
		call(false)
		s.now = s.now.Add(testInterval)
	}
	call(true)
	s.repair()
	for name, table := range s.tables {
		endpoint, _ := table.Get(s.now, "e")
		assert.NotEqual(t, state.EndpointAccepting, endpoint.State, "%s after the draining was acknowledged", name)
	}
	s.now = s.now.Add(testInterval)
	for attempt := 0; ; attempt++ {
		require.Less(t, attempt, 10)
		member := []string{"core-2", "core-1"}[attempt%2]
		if s.call(t, member, func(table *Table) (state.Endpoint, Change) { return table.Deregister(s.now, "e") }) {
			break
		}
	}
	s.flush()
	s.repair()
	assert.Equal(t, state.EndpointDeparted, s.requireAgreement(t, "e").State)
}

// TestTable_LifecycleWithAFaultAtEachMessage runs a lifecycle once for each message and each kind of fault, with only
// that fault.
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

// TestTable_AgreesAfterRepair lets two endpoints make random calls with many faults. It checks that, once the members
// have exchanged their versions, all tables agree and no deregistered endpoint has come back.
func TestTable_AgreesAfterRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyFault := rapid.SampledFrom([]fault{delivered, delivered, lost, duplicated, delayed})
		faults := rapid.SliceOfN(anyFault, 1, 60).Draw(t, "faults")
		s := newTestSystem(func(message int) fault { return faults[message%len(faults)] })
		sequences := map[string]uint64{}
		deregistered, draining := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "interval ms")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"e", "f"}).Draw(t, "endpoint")
			member := rapid.SampledFrom([]string{"core-1", "core-2"}).Draw(t, "member")
			switch rapid.SampledFrom([]string{"heartbeat", "heartbeat", "draining", "deregister", "sweep"}).Draw(t, "action") {
			case "heartbeat":
				s.sendRandomHeartbeat(t, id, member, sequences, draining[id])
			case "draining":
				draining[id] = true // a draining endpoint never accepts requests again
				s.sendRandomHeartbeat(t, id, member, sequences, true)
			case "deregister":
				handle := func(table *Table) (state.Endpoint, Change) { return table.Deregister(s.now, id) }
				deregistered[id] = s.call(t, member, handle) || deregistered[id]
			case "sweep":
				for _, endpoint := range s.tables[member].Sweep(s.now) {
					s.broadcast(member, endpoint)
				}
			}
		}
		s.flush()
		s.repair()
		for _, id := range []string{"e", "f"} {
			if _, known := s.tables["agent"].Get(s.now, id); !known {
				continue
			}
			agreed := s.requireAgreement(t, id)
			if deregistered[id] {
				assert.Equal(t, state.EndpointDeparted, agreed.State)
			}
		}
	})
}

func (s *testSystem) sendRandomHeartbeat(t require.TestingT, id, member string, sequences map[string]uint64, draining bool) {
	sequences[id]++
	heartbeat := Heartbeat{Service: "s", Address: id + ":1", Sequence: sequences[id], Draining: draining}
	s.call(t, member, func(table *Table) (state.Endpoint, Change) { return table.ReceiveHeartbeat(s.now, id, heartbeat) })
}
