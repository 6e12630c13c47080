package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/state"
)

// reporter is the part of a test that a simulation needs.
type reporter interface {
	require.TestingT
	Helper()
}

// simulation runs nodes on a simulated network with a simulated clock. It is deterministic for a given seed.
type simulation struct {
	t      reporter
	now    time.Time
	random *rand.Rand
	queue  eventQueue
	order  uint64 // of the event that was scheduled last
	nodes  []*simNode
	log    zerolog.Logger

	// blocked reports whether all messages from one node to another are lost.
	blocked  func(from, to *simNode) bool
	lossRate float64 // probability of a message to be lost
	// jitter bounds the random delay of a message in addition to delayBetween. It lets messages overtake each other.
	jitter time.Duration
	// messageNumber is the number of requests and responses so far. The message with the number lostMessage is lost; zero:
	// none.
	messageNumber int
	lostMessage   int
	countBytes    bool
	bytes         int
	remoteBytes   int // the part of bytes that was sent between regions
	calls         int
}

// simNode is one machine of the simulation.
type simNode struct {
	node           *node
	member         state.Member
	running        bool
	powered        bool // calls to a machine without power time out; to one with power, but no running process, they fail at once
	frozenUntil    time.Time
	incarnations   int    // increases at each start and each end of the process
	newestRevision uint64 // of the record in this incarnation
}

// simEvent is a scheduled event.
type simEvent struct {
	at    time.Time
	order uint64 // decides between events of the same time
	run   func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = simEvent{}
	*q = (*q)[:last]
	return popped
}

// location is the location of a simulated machine.
type location struct{ zone, region string }

// threeZones has two zones in one region and one in another.
var threeZones = []location{{"a", "west"}, {"b", "west"}, {"c", "east"}}

// newSimulation returns a simulation of machines whose processes haven't been started yet, spread round-robin over the
// locations. The first three are the core members and the seeds.
func newSimulation(t reporter, seed uint64, count int, locations []location) *simulation {
	s := &simulation{
		t:       t,
		now:     time.Unix(1_000_000, 0),
		random:  rand.New(rand.NewPCG(seed, 1)),
		log:     zerolog.Nop(),
		blocked: func(_, _ *simNode) bool { return false },
	}
	for i := range count {
		assigned := locations[i%len(locations)]
		role := state.RoleAgent
		if i < 3 {
			role = state.RoleCore
		}
		name := fmt.Sprintf("n%03d", i)
		s.nodes = append(s.nodes, &simNode{
			powered: true,
			member: state.Member{
				Name:    name,
				Role:    role,
				Zone:    assigned.zone,
				Region:  assigned.region,
				Address: name + ":1",
				State:   state.MemberReady,
			},
		})
	}
	return s
}

// schedule adds an event that runs at the given time.
func (s *simulation) schedule(moment time.Time, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: moment, order: s.order, run: run})
}

// run advances the simulation by a span of time.
func (s *simulation) run(span time.Duration) {
	end := s.now.Add(span)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// runUntil advances the simulation until a condition holds, which it checks every 10 ms, and returns how long that took. It
// fails with the description, what, if that takes longer than the limit.
func (s *simulation) runUntil(limit time.Duration, what string, condition func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !condition() {
		require.Less(s.t, s.now.Sub(start), limit, what)
		s.run(10 * time.Millisecond)
	}
	return s.now.Sub(start)
}

// start starts a machine's process, whose incarnation is the simulated time.
func (s *simulation) start(n *simNode) { s.startAs(n, uint64(s.now.UnixNano())) }

// startAs starts a machine's process with the given incarnation. The process fails the test if a record is delivered to it
// whose revision isn't higher than the previous one.
func (s *simulation) startAs(n *simNode, incarnation uint64) {
	n.incarnations++
	n.running = true
	n.powered = true
	n.frozenUntil = time.Time{}
	n.newestRevision = 0
	self := n.member
	self.Incarnation = incarnation
	var seeds []string
	for _, seed := range s.nodes[:min(3, len(s.nodes))] {
		seeds = append(seeds, seed.member.Address)
	}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	n.node = newNode(s.now, nodeOptions{self: self, seeds: seeds, random: random, log: &s.log})
	n.node.engine.Subscribe(gossip.TableRecord, func(entry gossip.Entry) {
		require.Greater(s.t, entry.Version.Major, n.newestRevision, "the record's revision decreased")
		n.newestRevision = entry.Version.Major
	})
	s.loop(n, n.incarnations)
}

// startAll starts the processes of all machines at random times within 0.3 s.
func (s *simulation) startAll() {
	for _, n := range s.nodes {
		s.schedule(s.now.Add(time.Duration(s.random.IntN(300))*time.Millisecond), func() { s.start(n) })
	}
	s.run(300 * time.Millisecond)
}

// kill ends a machine's process. The machine stays powered.
func (s *simulation) kill(n *simNode) {
	n.running = false
	n.incarnations++
}

// powerOff ends a machine's process by cutting the machine's power.
func (s *simulation) powerOff(n *simNode) {
	s.kill(n)
	n.powered = false
}

// freeze suspends a machine for a span of time, unless it is suspended for longer already.
func (s *simulation) freeze(n *simNode, span time.Duration) {
	if until := s.now.Add(span); until.After(n.frozenUntil) {
		n.frozenUntil = until
	}
}

// whenNotFrozen runs an event of a process as soon as its machine isn't frozen, unless the process has ended by then.
func (s *simulation) whenNotFrozen(n *simNode, incarnation int, run func()) {
	if n.incarnations != incarnation {
		return
	}
	if s.now.Before(n.frozenUntil) {
		s.schedule(n.frozenUntil.Add(time.Millisecond), func() { s.whenNotFrozen(n, incarnation, run) })
		return
	}
	run()
}

// loop runs one pass of a process's timer loop, and then schedules the next by poll.
func (s *simulation) loop(n *simNode, incarnation int) {
	s.whenNotFrozen(n, incarnation, func() {
		calls := n.node.tick(s.now)
		n.node.wakeAt = calls.next
		s.startCalls(n, calls)
		s.poll(n, incarnation)
	})
}

// poll schedules a check, in 10 ms, whether the process's next tick is due. It checks that often because a message may make
// an action due earlier than the last tick returned.
func (s *simulation) poll(n *simNode, incarnation int) {
	next := s.now.Add(10 * time.Millisecond)
	s.schedule(next, func() {
		if n.incarnations != incarnation {
			return
		}
		if n.node.nextTick().After(s.now) && n.node.wakeAt.After(s.now) {
			s.poll(n, incarnation)
			return
		}
		s.loop(n, incarnation)
	})
}

// putRecord puts a record of a size in bytes into a node, which gossips it.
func (s *simulation) putRecord(n *simNode, revision uint64, size int) {
	n.node.putLocal(s.now, gossip.Entry{Table: gossip.TableRecord, Key: gossip.RecordKey,
		Version: gossip.NewVersion(revision, 0), Value: make([]byte, size)})
}

// runningNodes returns the machines whose processes run.
func (s *simulation) runningNodes() (running []*simNode) {
	for _, n := range s.nodes {
		if n.running {
			running = append(running, n)
		}
	}
	return running
}

// hasRevisionEverywhere returns a condition that holds when every running node has the record's revision.
func (s *simulation) hasRevisionEverywhere(revision uint64) func() bool {
	return func() bool {
		for _, n := range s.runningNodes() {
			if n.newestRevision != revision {
				return false
			}
		}
		return true
	}
}

// hasConverged reports whether every running node sees exactly the running ones as live.
func (s *simulation) hasConverged() bool {
	running := s.runningNodes()
	for _, n := range running {
		live := n.node.members.LiveMembers()
		if len(live) != len(running) {
			return false
		}
		for i, member := range live {
			if member.Name != running[i].member.Name {
				return false
			}
		}
	}
	return true
}

// isSeenLive reports whether a node sees another one as live.
func isSeenLive(n, other *simNode) bool {
	return slices.ContainsFunc(n.node.members.LiveMembers(), func(member state.Member) bool {
		return member.Name == other.member.Name
	})
}

// inZone returns the machines of a zone.
func (s *simulation) inZone(zone string) (nodes []*simNode) {
	for _, n := range s.nodes {
		if n.member.Zone == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// newConvergedSimulation returns a simulation in which all members know each other.
func newConvergedSimulation(t reporter, seed uint64, count int, locations []location) *simulation {
	s := newSimulation(t, seed, count, locations)
	s.startAll()
	s.runUntil(5*time.Second, "the members join", s.hasConverged)
	s.run(3 * membership.SuspicionTimeout)
	return s
}
