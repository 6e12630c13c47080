package timeline

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Size is the size of a system with the losses that it must withstand.
type Size struct {
	Cores, Fronts, Zones int
	// CoreLosses is the number of core machines that may be lost at once (withstand.machine_losses).
	CoreLosses int
	// Endpoints is the number of endpoints that may leave.
	Endpoints int
}

// Small is three core machines and three machines with agent and proxy, each in a zone of its own.
var Small = Size{Cores: 3, Fronts: 3, Zones: 3, CoreLosses: 1, Endpoints: 6}

// FiveCores has five core machines, two of which may be lost at once.
var FiveCores = Size{Cores: 5, Fronts: 3, Zones: 3, CoreLosses: 2, Endpoints: 6}

// Bounds of all sizes.
const (
	// CatchUp is how long a core machine counts as lost after it is back (bounds.catch_up_s).
	CatchUp = 4 * time.Second
	// Contact is how long after a fault the machines concerned may be out of touch (bounds.contact_ms).
	Contact = 4 * time.Second
	// MaxAway is the longest time that a process is away.
	MaxAway = 3 * time.Second
	// MaxCut is the longest time that machines are cut off.
	MaxCut = 8 * time.Second
	// MaxEvacuation is the longest evacuation: EVAC binds 5 s after its acknowledgement.
	MaxEvacuation = 9 * time.Second
	// MaxCoreOutage is the longest time that all core processes are away at once.
	MaxCoreOutage = time.Second
	// MaxCoreKills is the largest number of times in a row that all core processes are killed.
	MaxCoreKills = 3
	// CoreKillPause is the time between the start of all core processes and their next kill.
	CoreKillPause = 500 * time.Millisecond
	// MaxAcknowledgement is the time by which an event is acknowledged, as far as the generator goes.
	MaxAcknowledgement = 2 * time.Second
)

// target is what the events of a kind happen to.
type target int

const (
	none target = iota
	core
	agent
	proxy
	front // an agent and a proxy
	zone
	departing // an endpoint
)

// kindLimits are the limits of the events of a kind.
type kindLimits struct {
	target    target
	several   bool          // targets
	longest   time.Duration // until it is undone; zero: it isn't
	loses     bool          // its targets are core machines that count as lost
	coreKills bool          // may follow its acknowledgement
}

var limits = map[Kind]kindLimits{
	KillCore:      {target: core, longest: MaxAway, loses: true},
	LoseCoreDisk:  {target: core, longest: MaxAway, loses: true},
	SuspendCore:   {target: core, longest: MaxAway, loses: true},
	TerminateCore: {target: core, longest: MaxAway, loses: true},

	CutCores: {target: core, several: true, longest: MaxCut, loses: true},

	KillAgent:      {target: agent, longest: MaxAway},
	SuspendAgent:   {target: agent, longest: MaxAway},
	TerminateAgent: {target: agent, longest: MaxAway},

	KillProxy:      {target: proxy, longest: MaxAway},
	SuspendProxy:   {target: proxy, longest: MaxAway},
	TerminateProxy: {target: proxy, longest: MaxAway},

	KillFronts:    {target: front, several: true, longest: MaxAway},
	SuspendFronts: {target: front, several: true, longest: MaxAway},

	Evacuate: {target: zone, longest: MaxEvacuation},

	Reload:              {target: core},
	ChangeConfiguration: {target: none, coreKills: true},
	EndpointCloses:      {target: departing, coreKills: true},
	EndpointSignsOff:    {target: departing, coreKills: true},
}

// count returns the number of targets that a system has.
func (s Size) count(of target) int {
	switch of {
	case core:
		return s.Cores
	case agent, proxy, front:
		return s.Fronts
	case zone:
		return s.Zones
	case departing:
		return s.Endpoints
	default:
		return 0
	}
}

// Errors of events that break a limit.
var (
	ErrUnknownKind = errors.New("unknown kind of event")
	ErrOrder       = errors.New("events aren't in the order of their begin")
	ErrDuration    = errors.New("the event begins before the timeline, or lasts too short or too long")
	ErrTargets     = errors.New("the event names the wrong targets")
	ErrCoreKills   = errors.New("the core processes are killed too often, stay away too long, or this event isn't acknowledged")
	ErrBusy        = errors.New("the process is already away")
	ErrLosses      = errors.New("more core machines are lost at once than the system must withstand")
	ErrDeparted    = errors.New("the endpoint has left before")
	ErrEvacuations = errors.New("two evacuations at once")
)

// EventError is an event that breaks a limit.
type EventError struct {
	Number int // of the event, from 1
	Err    error
}

// Error implements error.
func (e *EventError) Error() string { return fmt.Sprintf("event %d: %v", e.Number, e.Err) }

// Unwrap returns what is wrong, without the place.
func (e *EventError) Unwrap() error { return e.Err }

// Check returns an EventError for the first event that breaks a limit; nil if none does.
func (t Timeline) Check() error {
	for i, event := range t.Events {
		if err := t.Size.checkEvent(event, t.Events[:i]); err != nil {
			return &EventError{Number: i + 1, Err: err}
		}
	}
	return nil
}

// checkEvent checks an event after those that begin before it.
func (s Size) checkEvent(event Event, earlier []Event) error {
	limit, known := limits[event.Kind]
	switch {
	case !known:
		return ErrUnknownKind
	case len(earlier) > 0 && event.At < earlier[len(earlier)-1].At:
		return ErrOrder
	case event.At < 0 || event.For < 0 || event.For > limit.longest || event.For == 0 && limit.longest > 0:
		return ErrDuration
	case !s.hasTargets(event, limit):
		return ErrTargets
	case !hasValidCoreKills(event, limit):
		return ErrCoreKills
	}
	return s.checkAgainst(event, earlier)
}

func (s Size) hasTargets(event Event, limit kindLimits) bool {
	count := s.count(limit.target)
	for i, number := range event.Targets {
		if number < 0 || number >= count || slices.Contains(event.Targets[:i], number) {
			return false
		}
	}
	if limit.several {
		return len(event.Targets) > 0
	}
	return len(event.Targets) == min(count, 1)
}

func hasValidCoreKills(event Event, limit kindLimits) bool {
	if event.CoreKills == 0 {
		return event.CoreOutage == 0
	}
	return limit.coreKills &&
		event.CoreKills > 0 && event.CoreKills <= MaxCoreKills &&
		event.CoreOutage > 0 && event.CoreOutage <= MaxCoreOutage
}

// checkAgainst checks what an event does while earlier ones last.
func (s Size) checkAgainst(event Event, earlier []Event) error {
	lost := map[int]bool{}
	event.addLost(lost)
	for _, before := range earlier {
		switch {
		case sharesProcess(before, event) && event.At <= before.End():
			return ErrBusy
		case limits[event.Kind].target == departing && limits[before.Kind].target == departing &&
			before.Targets[0] == event.Targets[0]:
			return ErrDeparted
		case event.Kind == Evacuate && before.Kind == Evacuate && event.At <= before.End():
			return ErrEvacuations
		case len(lost) > 0 && before.CoreKills > 0 && event.At <= before.End()+before.coreAbsence()+CatchUp:
			return ErrLosses
		case event.CoreKills > 0 && before.CoreKills > 0 && event.At <= before.End()+before.coreAbsence()+CatchUp:
			return ErrLosses
		}
		if limits[before.Kind].loses && event.At <= before.End()+CatchUp {
			if len(lost) > 0 {
				before.addLost(lost)
			}
			if event.CoreKills > 0 && before.Kind == LoseCoreDisk {
				return ErrLosses // with the disks of a majority the others must be enough
			}
		}
	}
	if len(lost) > s.CoreLosses {
		return ErrLosses
	}
	return nil
}

// addLost adds the core machines that an event loses.
func (e Event) addLost(lost map[int]bool) {
	if !limits[e.Kind].loses {
		return
	}
	for _, number := range e.Targets {
		lost[number] = true
	}
}

// sharesProcess reports whether two events end or suspend the same process.
func sharesProcess(a, b Event) bool {
	for _, process := range a.processes() {
		if slices.Contains(b.processes(), process) {
			return true
		}
	}
	return false
}

// process is a process of the system.
type process struct {
	role   target // core, agent or proxy
	number int    // of its machine
}

// processes returns the processes that an event ends or suspends, or that must run when it begins.
func (e Event) processes() (all []process) {
	switch limit := limits[e.Kind]; limit.target {
	case core, agent, proxy:
		for _, number := range e.Targets {
			all = append(all, process{limit.target, number})
		}
	case front:
		for _, number := range e.Targets {
			all = append(all, process{agent, number}, process{proxy, number})
		}
	}
	return all
}
