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

// machine is one simulated machine, with a disk and, while it runs, a process.
type machine struct {
	simulation *simulation
	address    string
	zone       string
	disk       *simulatedDisk

	mutex         sync.Mutex
	process       *processRun // nil while it doesn't run
	startedBefore bool        // the next start isn't the first one
	removed       bool        // it never starts again
}

// processRun is one run of a machine's process, from its start to its crash or shutdown.
type processRun struct {
	machine *machine
	node    *Node
	server  Server
	stop    context.CancelFunc
}

// settings returns the settings of the machine's next start.
func (m *machine) settings() *settings.Process {
	process := &settings.Process{
		IP:        m.address[:len(m.address)-len(":7660")],
		FirstPort: simulatedPort,
		FirstRun:  !m.startedBefore,
	}
	process.FaultTolerance.MachineLosses = m.simulation.tolerated
	for number := range 3 {
		process.Seeds = append(process.Seeds, fmt.Sprintf("10.0.0.%d:8146", number+1))
	}
	return process
}

// start starts the process unless it runs already.
func (m *machine) start() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process != nil || m.removed {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	log := zerolog.Nop()
	run := &processRun{machine: m, stop: stop}
	lastNotified := uint64(0)
	options := NodeOptions{
		Settings: m.settings(),
		Storage:  &simulatedDisk{run: run, machine: m},
		Log:      &log,
		Peers:    m.simulation.runningPeers,
		Committed: func(record state.Record) {
			m.simulation.history.recordCommitted(record, &lastNotified)
		},
	}
	run.node, run.server = newNode(ctx, options, &simulatedTransport{simulation: m.simulation, from: run})
	run.node.SetFailureDetector(m.simulation)
	m.process = run
	m.startedBefore = true
	run.node.start()
	go run.runRepairs(ctx)
}

// repairInterval is the time between two calls of RepairVoters.
const repairInterval = 500 * time.Millisecond

// finishUncommitted reads if this process has accepted a proposal that it doesn't know to be committed.
func (p *processRun) finishUncommitted(ctx context.Context) {
	if _, uncommitted := p.node.UncommittedRevision(); !uncommitted || !p.machine.simulation.finishesUncommitted {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, _ = p.node.Read(bounded)
}

// runRepairs periodically completes uncommitted changes, and repairs the voters if this is the first of the running
// machines.
func (p *processRun) runRepairs(ctx context.Context) {
	for ctx.Err() == nil {
		ctxsleep.Sleep(ctx, repairInterval)
		p.finishUncommitted(ctx)
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

// shutDown transfers the vote and ends the process. It reports whether the machine certainly has no vote.
func (m *machine) shutDown() bool {
	process := m.running()
	if process == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	transferred := process.node.TransferVote(ctx)
	if process.isRunning() {
		m.crash()
	}
	return transferred
}

// replaceMachine adds a machine and shuts down another one. That one is removed if its vote was transferred, else
// started again.
func (s *simulation) replaceMachine(m *machine) {
	if len(s.all()) < minVoters || m.running() == nil {
		return
	}
	s.startNew()
	time.Sleep(time.Second)
	if m.shutDown() {
		s.removeMachine(m)
		return
	}
	m.start()
}

// crashAndRestart ends the process and starts it again after a delay.
func (m *machine) crashAndRestart(after time.Duration) {
	m.crash()
	time.AfterFunc(after, m.start)
}

// wipe loses the machine's disk; the process must not run.
func (m *machine) wipe() {
	m.disk.mutex.Lock()
	defer m.disk.mutex.Unlock()
	m.disk.saved = AcceptorState{}
	m.disk.found = false
}

func (m *machine) running() *processRun {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.process
}

// isRunning reports whether this is the machine's present run.
func (p *processRun) isRunning() bool { return p.machine.running() == p }
