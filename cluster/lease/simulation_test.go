package lease

import (
	"fmt"
	"math/rand/v2"

	"rowanlink/cluster"
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// simulation runs members and raft nodes that exchange messages. While faulty is set, messages are lost, duplicated
// and late, members pause, restart and change their requests, and the leader changes. A seed determines the whole
// run.
type simulation struct {
	rng           *rand.Rand
	now           api.Micros
	queue         timerqueue.Queue[func()]
	faulty        bool
	mutation      simulationMutation
	entries       [][]byte
	nodes         [3]*simulatedNode
	leader        int
	electionUntil api.Micros // until then nobody leads
	tracker       *ExpiryTracker
	members       []*simulatedMember
	violation     string
}

// simulationMutation selects a step of the protocol that a simulation omits.
type simulationMutation struct{ omitGrants, neverRetry bool }

// simulatedNode is one raft node with its replica of the table.
type simulatedNode struct {
	table        *Table
	applied      int
	stalledUntil api.Micros // until then it applies no entries
}

// simulatedMember is one member. The simulation calls its objects as cluster/member does.
type simulatedMember struct {
	*simulation
	id              cluster.MemberID
	incarnation     Incarnation
	holder          *Holder
	reconciler      *Reconciler
	stoppedUntil    api.Micros
	noNotifications bool // it gets no reports of released leases
	proposalUntil   api.Micros
	pollUntil       api.Micros
	nextNode        int // index of the raft node to poll next
}

const (
	simulationTTL = 3 * api.Second
	tickInterval  = simulationTTL / 40
)

var simulationResources = []cluster.Resource{"conduct", "home/1", "home/2"}

func newSimulation(seed uint64, mutation simulationMutation) *simulation {
	si := &simulation{
		rng:      rand.New(rand.NewPCG(seed, 35)),
		faulty:   true,
		mutation: mutation,
		tracker:  NewExpiryTracker(simulationTTL),
	}
	for i := range si.nodes {
		si.nodes[i] = &simulatedNode{table: NewTable()}
	}
	si.elect()
	for i := range 3 {
		sm := &simulatedMember{
			simulation:      si,
			id:              cluster.MemberID(fmt.Sprint("m", i)),
			noNotifications: mutation.neverRetry && i == 0,
		}
		sm.start(nil)
		si.members = append(si.members, sm)
		si.after(0, sm.tick)
	}
	si.after(0, si.tick)
	return si
}

func (si *simulation) after(wait api.Micros, f func()) { si.queue.Add(int64(si.now+wait), f) }

func (si *simulation) randomDelay(most api.Micros) api.Micros {
	return 1 + api.Micros(si.rng.Int64N(int64(most)))
}

// send delivers a message, possibly late, twice or not at all.
func (si *simulation) send(f func()) {
	wait := si.randomDelay(simulationTTL / 60)
	if si.faulty {
		switch si.rng.IntN(10) {
		case 0, 1:
			return
		case 2:
			wait = si.randomDelay(simulationTTL)
		case 3:
			si.after(si.randomDelay(simulationTTL), f)
		}
	}
	si.after(wait, f)
}

// run advances until a time, and checks at each step that no lease has two holders.
func (si *simulation) run(until api.Micros) {
	for si.violation == "" {
		at, _ := si.queue.Next()
		if api.Micros(at) >= until {
			return
		}
		f, _ := si.queue.PopDue(at)
		si.now = api.Micros(at)
		f()
		for _, resource := range simulationResources {
			if all := si.holders(resource); len(all) > 1 {
				si.violation = fmt.Sprintf("%d us: %s held by %s and %s", si.now, resource, all[0].id, all[1].id)
			}
		}
	}
}

func (si *simulation) holders(resource cluster.Resource) (all []*simulatedMember) {
	for _, sm := range si.members {
		if _, held := sm.holder.Epoch(resource, si.now); held {
			all = append(all, sm)
		}
	}
	return all
}

// apply commits a command at the leader.
func (si *simulation) apply(c cluster.Command) (result Result, err error) {
	si.entries = append(si.entries, c.Body)
	raw, err := si.catchUp(si.leader).Apply(uint64(len(si.entries)), c.Body)
	if si.nodes[si.leader].applied++; err == nil {
		result, err = DecodeResult(raw)
	}
	return result, err
}

// catchUp applies the entries that a raft node can have received, and returns its table.
func (si *simulation) catchUp(k int) *Table {
	node := si.nodes[k]
	most := len(si.entries)
	if k == si.leader {
		most-- // the last one is being applied
		node.stalledUntil = 0
	}
	for ; node.applied < most && node.stalledUntil <= si.now; node.applied++ {
		_, _ = node.table.Apply(uint64(node.applied+1), si.entries[node.applied]) // a rejected entry counts as applied
	}
	return node.table
}

// elect changes the leader. The former leader does not notice for a while.
func (si *simulation) elect() {
	si.nodes[si.leader].stalledUntil = si.now + si.randomDelay(simulationTTL)
	if si.leader = si.rng.IntN(len(si.nodes)); si.faulty {
		si.electionUntil = si.now + si.randomDelay(simulationTTL/2)
	}
	result, _ := si.apply(BeginLeaderEpoch())
	si.tracker.StartLeading(si.now, result.LeaderEpoch, si.nodes[si.leader].table.Sessions())
}

// tick expires sessions and injects faults.
func (si *simulation) tick() {
	si.after(tickInterval, si.tick)
	for _, expired := range si.tracker.TakeExpired(si.now) {
		if _, err := si.apply(ExpireSession(expired)); err == nil {
			si.tracker.Remove(expired.Session)
		}
	}
	if !si.faulty {
		return
	}
	if si.rng.IntN(200) == 0 {
		si.elect()
	}
	for i := range si.nodes {
		if i != si.leader && si.rng.IntN(80) == 0 {
			si.nodes[i].stalledUntil = si.now + si.randomDelay(2*simulationTTL)
		}
	}
	for _, sm := range si.members {
		switch resource := simulationResources[si.rng.IntN(len(simulationResources))]; si.rng.IntN(150) {
		case 0:
			sm.stoppedUntil = si.now + simulationTTL/2 + si.randomDelay(5*simulationTTL/2)
		case 1:
			sm.start(sm.reconciler.Requested())
		case 2, 3, 4, 5, 6:
			sm.reconciler.Request(resource)
		case 7, 8, 9, 10, 11:
			sm.reconciler.Release(resource)
		}
	}
}

// isLeading reports whether a raft node can commit entries.
func (si *simulation) isLeading(k int) bool { return k == si.leader && si.electionUntil <= si.now }

// pickNode returns the raft node that a member believes to be the leader, mostly correctly.
func (si *simulation) pickNode() int {
	if si.faulty && si.rng.IntN(3) == 0 {
		return si.rng.IntN(len(si.nodes))
	}
	return si.leader
}
