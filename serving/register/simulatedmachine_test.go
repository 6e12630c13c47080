package register

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// machine is one simulated machine: its disk, and its process while that runs.
type machine struct {
	simulation *simulation
	address    string
	zone       string
	disk       *disk

	mutex   sync.Mutex
	process *process // nil while it doesn't run
	started bool     // it has run before
	lost    bool     // for good
}

// process is one life of a machine's process.
type process struct {
	machine *machine
	node    *Node
	server  Server
	stop    context.CancelFunc
}

// settings are those of the machine's next start.
func (m *machine) settings() *settings.Process {
	process := &settings.Process{IP: m.address[:len(m.address)-len(":7660")], FirstPort: simulatedPort, FirstRun: !m.started}
	process.FaultTolerance.MachineLosses = m.simulation.losses
	for number := range 3 {
		process.Seeds = append(process.Seeds, fmt.Sprintf("10.0.0.%d:8146", number+1))
	}
	return process
}

// start begins a life of the process unless one runs.
func (m *machine) start() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process != nil || m.lost {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	log := zerolog.Nop()
	life := &process{machine: m, stop: stop}
	told := uint64(0)
	options := NodeOptions{Settings: m.settings(), Storage: &disk{life: life, machine: m}, Log: &log,
		Peers: m.simulation.listed,
		Committed: func(record state.Record) {
			m.simulation.history.committed(record, &told)
		}}
	life.node, life.server = newNode(ctx, options, &wire{simulation: m.simulation, from: life})
	life.node.SetFailureDetector(m.simulation)
	m.process, m.started = life, true
	life.node.start()
	go life.keep(ctx)
}

// keepInterval is the time between two repairs by the holder of that duty.
const keepInterval = 500 * time.Millisecond

// finish reads where this process has accepted a change of which it doesn't know the end.
func (p *process) finish(ctx context.Context) {
	if _, unfinished := p.node.UncommittedRevision(); !unfinished || !p.machine.simulation.finishing {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, _ = p.node.Read(bounded)
}

// keep does the duty of the holder, which is the first machine that runs.
func (p *process) keep(ctx context.Context) {
	for ctx.Err() == nil {
		ctxsleep.Sleep(ctx, keepInterval)
		p.finish(ctx)
		all := p.machine.simulation.all()
		first := slices.IndexFunc(all, func(m *machine) bool { return m.running() != nil })
		if first >= 0 && all[first] == p.machine {
			bounded, cancel := context.WithTimeout(ctx, 2*time.Second)
			_ = p.node.RepairVoters(bounded)
			cancel()
		}
	}
}

// crash ends the process; the disk stays as it is.
func (m *machine) crash() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process != nil {
		m.process.stop()
		m.process = nil
	}
}

// leave ends the process by plan: it hands its vote over. It tells whether the machine has none any more.
func (m *machine) leave() bool {
	process := m.running()
	if process == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	left := process.node.TransferVote(ctx)
	if process.runs() {
		m.crash()
	}
	return left
}

// retire adds a successor and ends a machine by plan, for good if its vote was handed over.
func (s *simulation) retire(m *machine) {
	if len(s.all()) < minVoters || m.running() == nil {
		return
	}
	successor := s.addNext()
	successor.started = true
	successor.start()
	time.Sleep(time.Second)
	if m.leave() {
		s.drop(m)
		return
	}
	m.start()
}

// crashAndReturn ends the process and starts it again after a while.
func (m *machine) crashAndReturn(after time.Duration) {
	m.crash()
	time.AfterFunc(after, m.start)
}

// wipe loses the machine's disk; the process must not run.
func (m *machine) wipe() {
	m.disk.mutex.Lock()
	defer m.disk.mutex.Unlock()
	m.disk.saved, m.disk.found = AcceptorState{}, false
}

func (m *machine) running() *process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.process
}

// runs tells whether this life is the machine's present one.
func (p *process) runs() bool { return p.machine.running() == p }
