// Package timeline generates timelines of faults and planned work for a soak of the serving system. A timeline is a pure
// function of a seed and the size of the system: a list of events that overlap and come in series, within what the system
// must withstand. It can be written to a file, read back and played again. Package test/integration/serving plays them.
package timeline

import "time"

// Kind is what an event does.
type Kind string

// The kinds of events. All but the last four are undone at the end of the event: what was ended is started again, what was
// suspended goes on.
const (
	KillCore      Kind = "kill-core"
	LoseCoreDisk  Kind = "lose-core-disk" // a core process is killed and starts again with an empty disk
	SuspendCore   Kind = "suspend-core"
	TerminateCore Kind = "terminate-core"

	// CutCores cuts core machines off from all other machines of the system, in both directions. Operators and endpoints
	// reach them.
	CutCores Kind = "cut-cores"

	KillAgent      Kind = "kill-agent"
	SuspendAgent   Kind = "suspend-agent"
	TerminateAgent Kind = "terminate-agent"

	KillProxy      Kind = "kill-proxy"
	SuspendProxy   Kind = "suspend-proxy"
	TerminateProxy Kind = "terminate-proxy"

	KillFronts    Kind = "kill-fronts"    // agents and proxies of several machines are killed together
	SuspendFronts Kind = "suspend-fronts" // the same, suspended

	Evacuate Kind = "evacuate" // of a zone, until the end of the event

	Reload              Kind = "reload" // of the settings of a core process
	ChangeConfiguration Kind = "change-configuration"
	EndpointCloses      Kind = "endpoint-closes"    // it reports that it is closing, and serves on
	EndpointSignsOff    Kind = "endpoint-signs-off" // without having reported that it is closing, and serves on
)

// Event is something that happens to the system.
type Event struct {
	Kind Kind
	At   time.Duration // from the start of the timeline
	For  time.Duration // until it is undone; zero for the kinds that aren't
	// Targets are what it happens to, by index: core machines, machines with agent and proxy, the zone, or the endpoint that
	// leaves.
	Targets []int
	// CoreKills is how many times in a row all core processes are killed as soon as the event is acknowledged.
	CoreKills int
	// CoreOutage is how long the core processes stay ended each time.
	CoreOutage time.Duration
}

// End returns when the event is undone.
func (e Event) End() time.Duration { return e.At + e.For }

// Timeline is a list of events, by their begin.
type Timeline struct {
	Size   Size
	Events []Event
	// Length is when the last calm time ends.
	Length time.Duration
}

// Overlaps returns how many pairs of events of two kinds overlap in time, by the two kinds in the order of their names.
// What is undone counts until its end, all else while a core process may be away because of it.
func (t Timeline) Overlaps() map[[2]Kind]int {
	pairs := map[[2]Kind]int{}
	for i, a := range t.Events {
		for _, b := range t.Events[i+1:] {
			if b.At <= a.End()+a.coreAbsence() {
				pairs[[2]Kind{min(a.Kind, b.Kind), max(a.Kind, b.Kind)}]++
			}
		}
	}
	return pairs
}

// coreAbsence returns how long the core processes may be away after the acknowledgement of an event.
func (e Event) coreAbsence() time.Duration {
	if e.CoreKills == 0 {
		return 0
	}
	return MaxAcknowledgement + time.Duration(e.CoreKills)*(e.CoreOutage+CoreKillPause)
}
