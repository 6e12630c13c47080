package serving

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/serving/operator/client"
	"rowanlink/test/fake/endpoint"
	"rowanlink/test/integration/subprocess"
	"rowanlink/test/soak/timeline"
)

const (
	// exitPollInterval is the time between two checks whether a process that shuts down has ended.
	exitPollInterval = 50 * time.Millisecond
	// maxAcknowledged bounds the acknowledgements that wait for the player.
	maxAcknowledged = 100
)

// action is something that the player does at a time.
type action struct {
	at time.Time
	do func()
}

// acknowledgement is the result of a call of the operator or of an endpoint.
type acknowledgement struct {
	event timeline.Event
	at    time.Time
	err   error
	// apply records what was acknowledged; it runs in the player's goroutine.
	apply func(at time.Time)
}

// soakPlayer plays a timeline. Processes are only touched by the goroutine of the test; the calls of operators and
// endpoints run beside it and send their results to it.
type soakPlayer struct {
	*cluster
	timeline timeline.Timeline
	started  time.Time
	touch    *touchRecord

	actions      []action // by time
	acknowledged chan acknowledgement
	awaited      int // acknowledgements that are still to come

	operatorCalls chan func() // one at a time, in their order
	sentVersion   uint64      // of the newest configuration that was sent, by operatorCalls
	newestRoute   string      // of the newest acknowledged configuration

	cuts       [][]*node            // core machines that are cut off from all others, by event
	leaving    []*endpoint.Endpoint // by the index of the timeline
	departures []soakDeparture
	versions   []acknowledgedVersion
}

// soakDeparture is an endpoint that has left. It serves on until the end of the run.
type soakDeparture struct {
	endpoint     *endpoint.Endpoint
	acknowledged time.Time
}

// newSoakPlayer starts a system of the timeline's size, with the endpoints that will leave. The programs are those of a
// folder, built by buildPartitionable.
func newSoakPlayer(t *testing.T, drawn timeline.Timeline, programs string) *soakPlayer {
	t.Helper()
	p := &soakPlayer{
		cluster: startClusterOf(t, clusterOptions{
			programs:          func(string, int) string { return programs },
			heartbeatInterval: chaosHeartbeatInterval,
			coreCount:         drawn.Size.Cores,
			coreLosses:        drawn.Size.CoreLosses,
		}),
		timeline:      drawn,
		touch:         newTouchRecord(),
		acknowledged:  make(chan acknowledgement, maxAcknowledged),
		operatorCalls: make(chan func(), maxAcknowledged),
		newestRoute:   kindStock.name,
	}
	for i := range drawn.Size.Endpoints {
		leaving := p.startEndpoint(stockOptions(), firstChaosNumber+i, locations[i%len(locations)])
		t.Cleanup(leaving.Close)
		p.leaving = append(p.leaving, leaving)
	}
	p.awaitMembers()
	p.sentVersion = p.version
	go func() {
		for call := range p.operatorCalls {
			call()
		}
	}()
	t.Cleanup(func() { close(p.operatorCalls) })
	return p
}

// play does all that the timeline says, and returns when it is over and all calls have their results.
func (p *soakPlayer) play() {
	p.started = time.Now()
	for _, event := range p.timeline.Events {
		p.schedule(p.started.Add(event.At), func() { p.begin(event) })
	}
	timeout := time.After(p.timeline.Length + waitTimeout)
	for len(p.actions) > 0 || p.awaited > 0 {
		var due <-chan time.Time
		if len(p.actions) > 0 {
			due = time.After(time.Until(p.actions[0].at))
		}
		select {
		case <-due:
			next := p.actions[0]
			p.actions = p.actions[1:]
			next.do()
		case received := <-p.acknowledged:
			p.awaited--
			p.receive(received)
		case <-timeout:
			require.FailNow(p.t, "calls without a result", "%d", p.awaited)
		}
	}
}

// awaitCalm waits until all machines have been in touch for a while.
func (p *soakPlayer) awaitCalm() {
	time.Sleep(time.Until(p.touch.calmFrom().Add(observedTime)))
	time.Sleep(time.Until(p.started.Add(p.timeline.Length)))
}

// schedule adds an action.
func (p *soakPlayer) schedule(at time.Time, do func()) {
	position, _ := slices.BinarySearchFunc(p.actions, at, func(a action, at time.Time) int {
		return cmp.Or(a.at.Compare(at), -1) // after those of the same time
	})
	p.actions = slices.Insert(p.actions, position, action{at: at, do: do})
}

// begin begins an event.
func (p *soakPlayer) begin(event timeline.Event) {
	p.t.Logf("%s: %s", time.Now().Format("05.000"), event)
	switch event.Kind {
	case timeline.KillCore, timeline.KillAgent, timeline.KillProxy, timeline.KillFronts:
		p.killUntil(event, false)
	case timeline.LoseCoreDisk:
		p.killUntil(event, true)
	case timeline.SuspendCore, timeline.SuspendAgent, timeline.SuspendProxy, timeline.SuspendFronts:
		p.suspendUntil(event)
	case timeline.TerminateCore, timeline.TerminateAgent, timeline.TerminateProxy:
		p.terminateUntil(event)
	case timeline.CutCores:
		p.cutUntil(event)
	case timeline.Reload:
		if n := p.cores[event.Targets[0]]; n.process.IsRunning() {
			n.reload()
		}
	case timeline.ChangeConfiguration:
		p.changeConfiguration(event)
	case timeline.Evacuate:
		p.evacuateUntil(event)
	case timeline.EndpointCloses, timeline.EndpointSignsOff:
		p.departEndpoint(event)
	default:
		require.Fail(p.t, "unknown event", "%s", event)
	}
}

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

// receive handles the result of a call.
func (p *soakPlayer) receive(result acknowledgement) {
	require.NoError(p.t, result.err, "%s", result.event)
	if result.event.CoreKills > 0 {
		p.killCoresInARow(result.event.CoreKills, result.event.CoreOutage)
	}
	result.apply(result.at)
	p.t.Logf("%s: acknowledged: %s", result.at.Format("05.000"), result.event)
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

// callOperator queues a call of the operator.
func (p *soakPlayer) callOperator(event timeline.Event, call func(context.Context, *client.Client) error, apply func(time.Time)) {
	p.awaited++
	p.operatorCalls <- func() {
		operator, ctx, cancel := p.operator()
		defer cancel()
		err := call(ctx, operator)
		p.acknowledged <- acknowledgement{event: event, at: time.Now(), err: err, apply: apply}
	}
}

// changeConfiguration replaces the configuration by one with another route.
func (p *soakPlayer) changeConfiguration(event timeline.Event) {
	base := p.sentVersion
	p.sentVersion++
	version, name := p.sentVersion, fmt.Sprint("more", p.sentVersion)
	p.callOperator(event, func(ctx context.Context, operator *client.Client) error {
		return operator.ReplaceConfiguration(ctx, base, configurationWith(version, name))
	}, func(at time.Time) {
		p.version, p.newestRoute = version, name
		p.versions = append(p.versions, acknowledgedVersion{at: at, version: version})
	})
}

// evacuateUntil evacuates a zone until the end of the event.
func (p *soakPlayer) evacuateUntil(event timeline.Event) {
	zone := locations[event.Targets[0]].zone
	nothing := func(time.Time) {}
	p.callOperator(event, func(ctx context.Context, operator *client.Client) error { return operator.Evacuate(ctx, zone) }, nothing)
	p.schedule(time.Now().Add(event.For), func() {
		p.callOperator(event, func(ctx context.Context, operator *client.Client) error {
			return operator.EndEvacuation(ctx, zone)
		}, nothing)
	})
}

// departEndpoint has an endpoint leave. It repeats its call until it is acknowledged.
func (p *soakPlayer) departEndpoint(event timeline.Event) {
	leaving := p.leaving[event.Targets[0]]
	leave := (*endpoint.Endpoint).Deregister
	if event.Kind == timeline.EndpointCloses {
		leave = drainSilently
	}
	p.awaited++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		err := leave(leaving, ctx)
		for err != nil && ctx.Err() == nil {
			err = leave(leaving, ctx)
		}
		p.acknowledged <- acknowledgement{event: event, at: time.Now(), err: err, apply: func(at time.Time) {
			p.departures = append(p.departures, soakDeparture{endpoint: leaving, acknowledged: at})
		}}
	}()
}
