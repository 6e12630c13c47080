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

// simulation is a number of machines with nodes, in one synctest bubble. Messages take time and can be lost, doubled
// and late; machines crash, lose disks and are cut off.
type simulation struct {
	t        *testing.T
	machines []*machine
	history  *history
	faults   *faults
	losses   int // of machines, that are to be borne at once
	// finishing has each process finish changes that others have left half-way, as a core's keeper does.
	finishing bool

	mutex   sync.Mutex
	numbers int // of machines that there have been
	random  *rand.Rand
	cut     map[[2]string]bool
	// mistaken addresses are taken for down though they run.
	mistaken map[string]bool
	lossy    bool // one message in ten is lost, late or doubled
}

const simulatedPort = 7660

func newSimulation(t *testing.T, machines int, seed uint64) *simulation {
	s := &simulation{t: t, history: newHistory(), faults: &faults{}, random: rand.New(rand.NewPCG(seed, 1)),
		cut: map[[2]string]bool{}, mistaken: map[string]bool{}, losses: (machines - 1) / 2}
	for number := range machines {
		s.add(number)
	}
	return s
}

// add adds a machine that has never run.
func (s *simulation) add(number int) *machine {
	m := &machine{simulation: s, address: fmt.Sprintf("10.0.0.%d:%d", number+1, simulatedPort),
		zone: fmt.Sprintf("zone-%d", number)}
	m.disk = &disk{machine: m}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines = append(s.machines, m)
	s.numbers = max(s.numbers, number+1)
	return m
}

// addNext adds a machine at an address that no other has had.
func (s *simulation) addNext() *machine {
	s.mutex.Lock()
	number := s.numbers
	s.mutex.Unlock()
	return s.add(number)
}

// all returns the machines at this moment.
func (s *simulation) all() []*machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.machines)
}

// drop takes a machine out that is lost for good.
func (s *simulation) drop(m *machine) {
	m.mutex.Lock()
	m.lost = true
	m.mutex.Unlock()
	m.crash()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines = slices.DeleteFunc(slices.Clone(s.machines), func(each *machine) bool { return each == m })
}

// mistake sets whether a machine that runs is taken for down.
func (s *simulation) mistake(m *machine, mistaken bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mistaken[m.address] = mistaken
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

// listed are the machines that run, as the members know them.
func (s *simulation) listed() (all []Peer) {
	for _, m := range s.all() {
		if m.running() != nil {
			all = append(all, Peer{Address: m.address, Zone: m.zone})
		}
	}
	return all
}

// wantedVoters is how many voters there have to be: as many as are wanted, or the largest odd number of machines.
func (s *simulation) wantedVoters() int {
	machines := len(s.all())
	if machines%2 == 0 {
		machines--
	}
	return min(machines, max(minVoters, 2*s.losses+1))
}

// IsDown makes the simulation the nodes' failure detector: it knows which processes run, except for falsely reported ones.
func (s *simulation) IsDown(address string) bool {
	s.mutex.Lock()
	mistaken := s.mistaken[address]
	s.mutex.Unlock()
	if mistaken {
		return true
	}
	for _, m := range s.all() {
		if m.address == address {
			return m.running() == nil
		}
	}
	return true
}

// IsExpired implements FailureDetector: no address is ever forgotten.
func (s *simulation) IsExpired(string) bool { return false }

func (s *simulation) isolate(m *machine, cut bool) {
	machines := s.all()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, other := range machines {
		s.cut[[2]string{m.address, other.address}] = cut
		s.cut[[2]string{other.address, m.address}] = cut
	}
	s.cut[[2]string{m.address, m.address}] = false
}

// cutOneWay cuts the way from a machine to all others, or the one to it.
func (s *simulation) cutOneWay(m *machine, mute bool) {
	machines := s.all()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, other := range machines {
		way := [2]string{other.address, m.address}
		if mute {
			way = [2]string{m.address, other.address}
		}
		s.cut[way] = other != m
	}
}

func (s *simulation) separated(from, to string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cut[[2]string{from, to}]
}

// between draws a duration.
func (s *simulation) between(least, most time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// settled tells whether every machine runs a voter or a learner that has caught up, whether all know the same voters,
// and whether those run, are as many as wanted and each at a machine of its own.
func (s *simulation) settled() bool {
	var epoch uint64
	voters := map[string]bool{}
	for number, m := range s.all() {
		process := m.running()
		if process == nil {
			return false
		}
		set := process.node.Voters()
		if len(set.Replicas) != s.wantedVoters() || number > 0 && set.Epoch != epoch {
			return false
		}
		epoch = set.Epoch
		if process.node.IsVoter() {
			voters[m.address] = true
		} else if _, ready := process.node.caughtUpLearner(); !ready {
			return false
		}
	}
	return len(voters) == s.wantedVoters()
}

// awaitSettled waits in simulated time.
func (s *simulation) awaitSettled(within time.Duration) {
	s.t.Helper()
	for begun := time.Now(); !s.settled(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > within {
			s.shareRecords()
		}
		if time.Since(begun) > within+time.Second {
			require.Fail(s.t, "replicas have not settled", s.describe())
		}
	}
}

// shareRecords does what the spread of records does between processes.
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
