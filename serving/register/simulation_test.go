package register

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// simulation is a set of machines with nodes in one synctest bubble. Messages take time and can be lost, duplicated and
// delayed; machines crash, lose their disks and are partitioned.
type simulation struct {
	t         *testing.T
	machines  []*machine
	history   *history
	faults    *faultInjector
	tolerated int // concurrent losses of machines, as in the settings
	// finishesUncommitted makes each process complete the changes that others have left unfinished, as the core service
	// does.
	finishesUncommitted bool

	mutex       sync.Mutex
	nextNumber  int // of the next machine
	random      *rand.Rand
	partitioned map[[2]string]bool // by sender and receiver
	// falselyDown are the addresses that the failure detector wrongly reports down.
	falselyDown map[string]bool
	lossy       bool // one message in ten is lost, delayed or duplicated
}

const simulatedPort = 7660

func newSimulation(t *testing.T, machines int, seed uint64) *simulation {
	s := &simulation{
		t:           t,
		history:     newHistory(),
		faults:      &faultInjector{},
		random:      rand.New(rand.NewPCG(seed, 1)),
		partitioned: map[[2]string]bool{},
		falselyDown: map[string]bool{},
		tolerated:   (machines - 1) / 2,
	}
	for number := range machines {
		s.add(number)
	}
	return s
}

// add adds a machine that has never run. Its number determines its address.
func (s *simulation) add(number int) *machine {
	m := &machine{
		simulation: s,
		address:    fmt.Sprintf("10.0.0.%d:%d", number+1, simulatedPort),
		zone:       fmt.Sprintf("zone-%d", number),
	}
	m.disk = &simulatedDisk{machine: m}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines = append(s.machines, m)
	s.nextNumber = max(s.nextNumber, number+1)
	return m
}

// addNext adds a machine at an address that no other has had.
func (s *simulation) addNext() *machine {
	s.mutex.Lock()
	number := s.nextNumber
	s.mutex.Unlock()
	return s.add(number)
}

// startNew adds a machine at an address that no other has had, and starts it as one that joins a running system.
func (s *simulation) startNew() *machine {
	m := s.addNext()
	m.startedBefore = true
	m.start()
	return m
}

// all returns the machines at this moment.
func (s *simulation) all() []*machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.machines)
}

// removeMachine removes a machine that is lost for good.
func (s *simulation) removeMachine(m *machine) {
	m.mutex.Lock()
	m.removed = true
	m.mutex.Unlock()
	m.crash()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines = slices.DeleteFunc(slices.Clone(s.machines), func(each *machine) bool { return each == m })
}

// setFalselyDown sets whether a running machine is reported down.
func (s *simulation) setFalselyDown(m *machine, down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.falselyDown[m.address] = down
}

func (s *simulation) startAll() {
	for _, m := range s.all() {
		m.start()
	}
}

func (s *simulation) stopAll() {
	for _, m := range s.all() {
		m.crash()
	}
}

// runningPeers returns the machines that run, as the membership knows them.
func (s *simulation) runningPeers() (all []Peer) {
	for _, m := range s.all() {
		if m.running() != nil {
			all = append(all, Peer{Address: m.address, Zone: m.zone})
		}
	}
	return all
}

// expectedVoters returns the number of voters of a stable register: the desired number, or the largest odd number of
// machines if that is lower.
func (s *simulation) expectedVoters() int {
	machines := len(s.all())
	if machines%2 == 0 {
		machines--
	}
	return min(machines, max(minVoters, 2*s.tolerated+1))
}

// IsDown implements FailureDetector for the nodes: it reports the addresses without a running process, and those in
// falselyDown.
func (s *simulation) IsDown(address string) bool {
	s.mutex.Lock()
	falselyDown := s.falselyDown[address]
	s.mutex.Unlock()
	if falselyDown {
		return true
	}
	for _, m := range s.all() {
		if m.address == address {
			return m.running() == nil
		}
	}
	return true
}

// IsExpired implements FailureDetector: no address ever expires.
func (s *simulation) IsExpired(string) bool { return false }

// isolate drops the messages between a machine and all others, or stops dropping them.
func (s *simulation) isolate(m *machine, isolated bool) {
	machines := s.all()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, other := range machines {
		s.partitioned[[2]string{m.address, other.address}] = isolated
		s.partitioned[[2]string{other.address, m.address}] = isolated
	}
	s.partitioned[[2]string{m.address, m.address}] = false
}

// partitionOneWay drops the messages from a machine to all others, or those to it.
func (s *simulation) partitionOneWay(m *machine, outgoing bool) {
	machines := s.all()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, other := range machines {
		link := [2]string{other.address, m.address}
		if outgoing {
			link = [2]string{m.address, other.address}
		}
		s.partitioned[link] = other != m
	}
}

func (s *simulation) isPartitioned(from, to string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partitioned[[2]string{from, to}]
}

// randomDuration returns a random duration from shortest up to longest.
func (s *simulation) randomDuration(shortest, longest time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)))
}

// isStable reports whether each machine runs a voter or a learner that has caught up, all know the same voters, and
// there are as many voters as expected, each on a machine of its own.
func (s *simulation) isStable() bool {
	var epoch uint64
	voters := map[string]bool{}
	for number, m := range s.all() {
		process := m.running()
		if process == nil {
			return false
		}
		set := process.node.Voters()
		if len(set.Replicas) != s.expectedVoters() || number > 0 && set.Epoch != epoch {
			return false
		}
		epoch = set.Epoch
		if process.node.IsVoter() {
			voters[m.address] = true
		} else if _, ready := process.node.caughtUpLearner(); !ready {
			return false
		}
	}
	return len(voters) == s.expectedVoters()
}

// awaitStable waits in simulated time until the register is stable. After the deadline it shares the newest record as
// gossip would, and fails the test if the register isn't stable one second later.
func (s *simulation) awaitStable(within time.Duration) {
	s.t.Helper()
	for begun := time.Now(); !s.isStable(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > within {
			s.shareRecords()
		}
		if time.Since(begun) > within+time.Second {
			require.Fail(s.t, "the register did not become stable", s.describe())
		}
	}
}

// shareRecords publishes the newest record to all processes, as gossip does.
func (s *simulation) shareRecords() {
	var newest state.Record
	for _, m := range s.all() {
		if process := m.running(); process != nil {
			if record, ok := process.node.Latest(); ok && record.Revision > newest.Revision {
				newest = record
			}
		}
	}
	for _, m := range s.all() {
		if process := m.running(); process != nil && newest.Revision > 0 {
			process.node.Learn(newest)
		}
	}
}

func (s *simulation) describe() (all []string) {
	for _, m := range s.all() {
		line := m.address + " down"
		if process := m.running(); process != nil {
			own, _ := process.node.acceptor.State()
			line = fmt.Sprintf("%s is %s, knows %v", m.address, own.ReplicaID, process.node.Voters())
		}
		all = append(all, line)
	}
	return all
}
