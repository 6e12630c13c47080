package serving

import (
	"slices"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/integration/subprocess"
	"rowanlink/test/soak/timeline"
)

// exitPollInterval is the time between two checks whether a process that shuts down has ended.
const exitPollInterval = 50 * time.Millisecond

// targetsOf returns the processes that an event ends or suspends.
func (p *soakPlayer) targetsOf(event timeline.Event) (targets []*node) {
	for _, number := range event.Targets {
		switch event.Kind {
		case timeline.KillAgent, timeline.SuspendAgent, timeline.TerminateAgent:
			targets = append(targets, p.agents[number])
		case timeline.KillProxy, timeline.SuspendProxy, timeline.TerminateProxy:
			targets = append(targets, p.proxies[number])
		case timeline.KillFronts, timeline.SuspendFronts:
			targets = append(targets, p.agents[number], p.proxies[number])
		default:
			targets = append(targets, p.cores[number])
		}
	}
	return targets
}

// recordFault records that a process is away.
func (p *soakPlayer) recordFault(n *node, begin, end time.Time) {
	if n.program == programCore {
		p.touch.addCore(begin, end)
		return
	}
	for number := range p.proxies {
		if p.proxies[number] == n || p.agents[number] == n {
			p.touch.addFront(number, begin, end)
		}
	}
}

// killAll kills those of some processes that run, all at the same moment.
func (p *soakPlayer) killAll(targets []*node) (killed []*node) {
	for _, n := range targets {
		if !n.process.IsRunning() {
			continue
		}
		killed = append(killed, n)
		n.log.Annotate("kill")
		signal := func() { _ = n.process.Signal(syscall.SIGKILL) } // fails if it has just ended
		if n.program == programProxy {
			p.ledger.killProxy(n.address(portClients), signal)
		} else {
			signal()
		}
	}
	for _, n := range killed {
		require.True(p.t, n.process.AwaitExit(exitTimeout), "%s can't be killed", n.name)
	}
	return killed
}

// startAll starts those of some processes that don't run.
func (p *soakPlayer) startAll(targets []*node) {
	for _, n := range targets {
		if !n.process.IsRunning() {
			n.start()
		}
	}
}

// killUntil kills processes, and starts them again at the end of the event.
func (p *soakPlayer) killUntil(event timeline.Event, wiped bool) {
	begun := time.Now()
	targets := p.targetsOf(event)
	p.killAll(targets)
	if wiped {
		targets[0].wipe()
	}
	p.schedule(begun.Add(event.For), func() {
		p.startAll(targets)
		for _, n := range targets {
			p.recordFault(n, begun, time.Now())
		}
	})
}

// suspendUntil suspends processes until the end of the event.
func (p *soakPlayer) suspendUntil(event timeline.Event) {
	begun := time.Now()
	targets := p.targetsOf(event)
	suspended := map[*node]*subprocess.Process{}
	for _, n := range targets {
		if n.process.IsRunning() {
			n.log.Annotate("stop")
			suspended[n] = n.process
			_ = n.process.Signal(syscall.SIGSTOP) // fails if it has just ended
		}
	}
	p.schedule(begun.Add(event.For), func() {
		for _, n := range targets {
			if process := suspended[n]; process != nil {
				_ = process.Signal(syscall.SIGCONT) // fails if it was killed meanwhile
			}
			p.recordFault(n, begun, time.Now())
		}
	})
}

// cutUntil cuts core machines off from all others until the end of the event.
func (p *soakPlayer) cutUntil(event timeline.Event) {
	group := p.targetsOf(event)
	p.cuts = append(p.cuts, group)
	p.applyCuts()
	p.schedule(time.Now().Add(event.For), func() {
		p.cuts = slices.DeleteFunc(p.cuts, func(other []*node) bool { return &other[0] == &group[0] })
		p.applyCuts()
	})
}

// applyCuts sets which machines each process reaches. The core may be unstable from now on, for contactTime.
func (p *soakPlayer) applyCuts() {
	members := append(slices.Clone(p.cores), p.agents...)
	for _, n := range members {
		var unreachable []*node
		for _, other := range members {
			if p.isCut(n, other) {
				unreachable = append(unreachable, other)
			}
		}
		n.setUnreachable(unreachable...)
	}
	p.touch.addCore(time.Now(), time.Now())
}

// isCut reports whether a cut lies between two machines.
func (p *soakPlayer) isCut(a, b *node) bool {
	return slices.ContainsFunc(p.cuts, func(group []*node) bool { return slices.Contains(group, a) != slices.Contains(group, b) })
}

// terminateUntil shuts a process down, and starts it again at the end of the event or, if that is later, once it has
// ended.
func (p *soakPlayer) terminateUntil(event timeline.Event) {
	begun := time.Now()
	n := p.targetsOf(event)[0]
	ending := n.process
	if ending.IsRunning() {
		n.log.Annotate("terminate")
		_ = ending.Signal(syscall.SIGTERM) // fails if it has just ended
	}
	var restart func()
	restart = func() {
		if n.process == ending && ending.IsRunning() {
			require.Less(p.t, time.Since(begun), exitTimeout, "%s on %s doesn't end", n.program, n.name)
			p.schedule(time.Now().Add(exitPollInterval), restart)
			return
		}
		p.startAll([]*node{n})
		p.recordFault(n, begun, time.Now())
	}
	p.schedule(begun.Add(event.For), restart)
}

// killCoresInARow kills all core processes that run, and starts them again after an outage, some times.
func (p *soakPlayer) killCoresInARow(times int, outage time.Duration) {
	begun := time.Now()
	killed := p.killAll(p.cores)
	p.schedule(begun.Add(outage), func() {
		p.startAll(killed)
		for _, n := range killed {
			p.recordFault(n, begun, time.Now())
		}
		if times > 1 {
			p.schedule(time.Now().Add(timeline.CoreKillPause), func() { p.killCoresInARow(times-1, outage) })
		}
	})
}
