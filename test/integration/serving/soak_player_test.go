package serving

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/endpoint"
	"rowanlink/test/soak/timeline"
)

// maxAcknowledged bounds the acknowledgements that wait for the player.
const maxAcknowledged = 100

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

	evacuations []soakEvacuation
}

// soakDeparture is an endpoint that has left. It serves on until the end of the run.
type soakDeparture struct {
	endpoint     *endpoint.Endpoint
	acknowledged time.Time
}

// soakEvacuation is an evacuation from its acknowledgement to the call that ended it; end is zero before that.
type soakEvacuation struct {
	zone       string
	begin, end time.Time
}

// newSoakPlayer starts a system of the timeline's size, with the endpoints that will leave. The programs are those of a
// folder, built by buildPartitionable.
func newSoakPlayer(t *testing.T, generated timeline.Timeline, programs string) *soakPlayer {
	t.Helper()
	p := &soakPlayer{
		cluster: startClusterOf(t, clusterOptions{
			programs:          func(string, int) string { return programs },
			heartbeatInterval: chaosHeartbeatInterval,
			coreCount:         generated.Size.Cores,
			coreLosses:        generated.Size.CoreLosses,
		}),
		timeline:      generated,
		touch:         newTouchRecord(),
		acknowledged:  make(chan acknowledgement, maxAcknowledged),
		operatorCalls: make(chan func(), maxAcknowledged),
		newestRoute:   kindStock.name,
	}
	for i := range generated.Size.Endpoints {
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
		if n := p.cores[event.Targets[0]]; n.handlesSignals() {
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

// receive handles the result of a call.
func (p *soakPlayer) receive(result acknowledgement) {
	require.NoError(p.t, result.err, "%s", result.event)
	if result.event.CoreKills > 0 {
		p.killCoresInARow(result.event.CoreKills, result.event.CoreOutage)
	}
	result.apply(result.at)
	p.t.Logf("%s: acknowledged: %s", result.at.Format("05.000"), result.event)
}
