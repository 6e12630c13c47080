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

// simulation plays nodes on a simulated network. Time is a number; whatever the seed draws comes again.
type simulation struct {
	t      reporter
	now    time.Time
	random *rand.Rand
	queue  eventQueue
	order  uint64
	nodes  []*simNode
	log    zerolog.Logger

	// blocked tells whether nothing gets from one node to another.
	blocked func(from, to *simNode) bool
	lost    float64 // share of the ways that are lost
	// callNumber counts the ways of calls. loseNumber, when not zero, is the one that is lost.
	callNumber, loseNumber int
	countBytes             bool
	bytes, remoteBytes     int
	calls                  int
}

// simNode is one machine of the simulation.
type simNode struct {
	node        *node
	member      state.Member
	running     bool
	powered     bool // without power nothing answers; else calls to a process that does not run fail at once
	frozenUntil time.Time
	life        int
	newest      uint64 // revision of the record seen in this life
}

type simEvent struct {
	at    time.Time
	order uint64
	run   func()
}

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

// place is where a simulated machine stands.
type place struct{ zone, region string }

// threeZones has two zones in one region and one in another.
var threeZones = []place{{"a", "west"}, {"b", "west"}, {"c", "east"}}

// newSimulation makes machines that don't run yet, dealt out to the places in turn. The first three are seeds.
func newSimulation(t reporter, seed uint64, count int, places []place) *simulation {
	s := &simulation{
		t:       t,
		now:     time.Unix(1_000_000, 0),
		random:  rand.New(rand.NewPCG(seed, 1)),
		log:     zerolog.Nop(),
		blocked: func(_, _ *simNode) bool { return false },
	}
	for i := range count {
		at := places[i%len(places)]
		role := state.RoleAgent
		if i < 3 {
			role = state.RoleCore
		}
		name := fmt.Sprintf("n%03d", i)
		s.nodes = append(s.nodes, &simNode{powered: true, member: state.Member{Name: name, Role: role,
			Zone: at.zone, Region: at.region, Address: name + ":1", State: state.MemberReady}})
	}
	return s
}

// at plans something.
func (s *simulation) at(moment time.Time, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: moment, order: s.order, run: run})
}

// run plays for a while.
func (s *simulation) run(span time.Duration) {
	end := s.now.Add(span)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// runUntil plays until a condition holds and returns how long that took. It looks every 10 ms.
func (s *simulation) runUntil(limit time.Duration, what string, condition func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !condition() {
		require.Less(s.t, s.now.Sub(start), limit, what)
		s.run(10 * time.Millisecond)
	}
	return s.now.Sub(start)
}

// start starts a process under an incarnation that the clock of the machine gives.
func (s *simulation) start(n *simNode) { s.startAs(n, uint64(s.now.UnixNano())) }

func (s *simulation) startAs(n *simNode, incarnation uint64) {
	n.life++
	n.running, n.powered, n.frozenUntil, n.newest = true, true, time.Time{}, 0
	self := n.member
	self.Incarnation = incarnation
	var seeds []string
	for _, seed := range s.nodes[:min(3, len(s.nodes))] {
		seeds = append(seeds, seed.member.Address)
	}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	n.node = newNode(s.now, nodeOptions{self: self, seeds: seeds, random: random, log: &s.log})
	n.node.engine.Subscribe(gossip.TableRecord, func(entry gossip.Entry) {
		require.Greater(s.t, entry.Version.Major, n.newest, "the record went back")
		n.newest = entry.Version.Major
	})
	s.loop(n, n.life)
}

// startAll starts all machines within 0.3 s.
func (s *simulation) startAll() {
	for _, n := range s.nodes {
		s.at(s.now.Add(time.Duration(s.random.IntN(300))*time.Millisecond), func() { s.start(n) })
	}
	s.run(300 * time.Millisecond)
}

func (s *simulation) kill(n *simNode) { n.running = false; n.life++ }

func (s *simulation) powerOff(n *simNode) { s.kill(n); n.powered = false }

// freeze has a machine stand still; an earlier standstill that lasts longer goes on.
func (s *simulation) freeze(n *simNode, span time.Duration) {
	if until := s.now.Add(span); until.After(n.frozenUntil) {
		n.frozenUntil = until
	}
}

// whenAwake runs something on a machine as soon as it isn't frozen, if it still lives the same life.
func (s *simulation) whenAwake(n *simNode, life int, run func()) {
	if n.life != life {
		return
	}
	if s.now.Before(n.frozenUntil) {
		s.at(n.frozenUntil.Add(time.Millisecond), func() { s.whenAwake(n, life, run) })
		return
	}
	run()
}

// loop is a process's timer loop. Commands from elsewhere may make something due earlier, which it sees in time
// because the simulation looks every 10 ms.
func (s *simulation) loop(n *simNode, life int) {
	s.whenAwake(n, life, func() {
		todo := n.node.tick(s.now)
		n.node.wakeAt = todo.next
		s.perform(n, life, todo)
		s.poll(n, life)
	})
}

func (s *simulation) poll(n *simNode, life int) {
	next := s.now.Add(10 * time.Millisecond)
	s.at(next, func() {
		if n.life != life {
			return
		}
		if n.node.nextTick().After(s.now) && n.node.wakeAt.After(s.now) {
			s.poll(n, life)
			return
		}
		s.loop(n, life)
	})
}

// put has a node take in a record.
func (s *simulation) put(n *simNode, revision uint64, size int) {
	n.node.putLocal(s.now, gossip.Entry{Table: gossip.TableRecord, Key: gossip.RecordKey,
		Version: gossip.NewVersion(revision, 0), Value: make([]byte, size)})
}

// running returns the machines whose processes run.
func (s *simulation) runningNodes() (running []*simNode) {
	for _, n := range s.nodes {
		if n.running {
			running = append(running, n)
		}
	}
	return running
}

// allKnow tells whether every running node has the record's revision.
func (s *simulation) allKnow(revision uint64) func() bool {
	return func() bool {
		for _, n := range s.runningNodes() {
			if n.newest != revision {
				return false
			}
		}
		return true
	}
}

// settled tells whether every running node takes exactly the running ones for live.
func (s *simulation) settled() bool {
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

// sees tells whether a node takes another for live.
func sees(n, other *simNode) bool {
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

// started makes a simulation in which all know each other.
func started(t reporter, seed uint64, count int, places []place) *simulation {
	s := newSimulation(t, seed, count, places)
	s.startAll()
	s.runUntil(5*time.Second, "the members meet", s.settled)
	s.run(3 * membership.SuspicionTimeout)
	return s
}
