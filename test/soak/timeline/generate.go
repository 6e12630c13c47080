package timeline

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// episodes is the number of times that events come close together; after each there is calm.
	episodes = 3
	// episodeLength is how long events begin in an episode.
	episodeLength = 5 * time.Second
	// minEvents and maxEvents bound the events of an episode.
	minEvents = 4
	maxEvents = 9
	// startTime is when the first episode begins.
	startTime = 2 * time.Second
	// judgedTime is how long the calm lasts beyond Contact: all machines are in touch then.
	judgedTime = 4 * time.Second
	// maxTries bounds the tries at an event that would break a limit.
	maxTries = 50
	// minAway is the shortest time that a process is away.
	minAway = 20 * time.Millisecond
	// repeatShare is the share of the events that repeat the one before, so that events come in series.
	repeatShare = 0.25
	// cutShare is the share of the episodes in which core machines are cut off for longer than Contact and nothing else
	// happens to the core: the machines that reach its majority are in touch meanwhile.
	cutShare = 0.33
	// minLongCut is the shortest cut of such an episode.
	minLongCut = 6 * time.Second
	// coreKillShare is the share of the acknowledged events that are followed by kills of the core processes.
	coreKillShare = 0.5
)

// kinds lists the kinds that events are chosen from. One that is listed several times is chosen so much more often.
var kinds = []Kind{
	KillCore, LoseCoreDisk, SuspendCore, TerminateCore, CutCores, CutCores,
	KillAgent, SuspendAgent, TerminateAgent,
	KillProxy, SuspendProxy, TerminateProxy,
	KillFronts, SuspendFronts,
	Evacuate, Reload,
	ChangeConfiguration, ChangeConfiguration,
	EndpointCloses, EndpointCloses,
	EndpointSignsOff, EndpointSignsOff, EndpointSignsOff,
}

// kindsBesideCut lists the kinds that are chosen from while core machines are cut off.
var kindsBesideCut = []Kind{
	KillProxy, SuspendAgent, TerminateProxy,
	Evacuate,
	ChangeConfiguration,
	EndpointCloses,
	EndpointSignsOff, EndpointSignsOff,
}

// generator is a timeline that grows by random events.
type generator struct {
	*rand.Rand
	timeline Timeline
}

// Generate returns the timeline of a seed, which breaks no limit.
func Generate(seed uint64, size Size) Timeline {
	g := &generator{Rand: rand.New(rand.NewPCG(seed, 0)), timeline: Timeline{Size: size}}
	begin := startTime
	for range episodes {
		if g.Float64() < cutShare {
			g.generateCut(begin)
		} else {
			g.generateEpisode(begin, kinds, coreKillShare)
		}
		begin = g.calmFrom() + judgedTime
	}
	g.timeline.Length = begin
	return g.timeline
}

// calmFrom returns the time from which all machines are in touch after the events so far.
func (g *generator) calmFrom() (calm time.Duration) {
	for _, event := range g.timeline.Events {
		calm = max(calm, event.End()+event.coreAbsence()+Contact)
	}
	return calm
}

// generateCut adds a long cut and events that leave the rest of the core alone.
func (g *generator) generateCut(begin time.Duration) {
	number := 1 + g.IntN(g.timeline.Size.CoreLosses)
	cut := Event{Kind: CutCores, At: begin, Targets: g.Perm(g.timeline.Size.Cores)[:number]}
	cut.For = minLongCut + g.durationUpTo(MaxCut-minLongCut)
	slices.Sort(cut.Targets)
	g.timeline.Events = append(g.timeline.Events, cut)
	g.generateEpisode(begin, kindsBesideCut, 0)
}

// generateEpisode adds events of some kinds that begin within episodeLength. coreKills is the share of the acknowledged
// ones that are followed by kills of the core processes.
func (g *generator) generateEpisode(begin time.Duration, kinds []Kind, coreKills float64) {
	times := make([]time.Duration, minEvents+g.IntN(maxEvents-minEvents+1))
	for i := range times {
		times[i] = begin + g.durationUpTo(episodeLength)
	}
	slices.Sort(times)
	for _, at := range times {
		g.addEvent(at, kinds, coreKills)
	}
}

// addEvent adds an event that breaks no limit, if one is found.
func (g *generator) addEvent(at time.Duration, kinds []Kind, coreKills float64) {
	for range maxTries {
		event := g.randomEvent(at, kinds, coreKills)
		if g.timeline.Size.checkEvent(event, g.timeline.Events) == nil {
			g.timeline.Events = append(g.timeline.Events, event)
			return
		}
	}
}

func (g *generator) randomEvent(at time.Duration, kinds []Kind, coreKills float64) Event {
	if earlier := g.timeline.Events; len(earlier) > 0 && g.Float64() < repeatShare {
		if repeated := earlier[len(earlier)-1]; slices.Contains(kinds, repeated.Kind) {
			repeated.At = at
			if coreKills == 0 {
				repeated.CoreKills, repeated.CoreOutage = 0, 0
			}
			return repeated
		}
	}
	event := Event{Kind: kinds[g.IntN(len(kinds))], At: at}
	limit := limits[event.Kind]
	event.Targets = g.randomTargets(limit)
	if limit.longest > 0 {
		event.For = minAway + g.durationUpTo(limit.longest-minAway)
	}
	if limit.coreKills && g.Float64() < coreKills {
		event.CoreKills = 1 + g.IntN(MaxCoreKills)
		event.CoreOutage = minAway + g.durationUpTo(MaxCoreOutage-minAway)
	}
	return event
}

func (g *generator) randomTargets(limit kindLimits) []int {
	count := g.timeline.Size.count(limit.target)
	if count == 0 {
		return nil
	}
	number := 1
	if limit.several {
		number += g.IntN(count)
	}
	targets := g.Perm(count)[:number]
	slices.Sort(targets)
	return targets
}

// durationUpTo returns a random duration in whole milliseconds, so that it can be written exactly.
func (g *generator) durationUpTo(limit time.Duration) time.Duration {
	return time.Duration(g.Int64N(limit.Milliseconds())+1) * time.Millisecond
}
