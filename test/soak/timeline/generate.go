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
		g.generateEpisode(begin)
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

// generateEpisode adds events that begin within episodeLength.
func (g *generator) generateEpisode(begin time.Duration) {
	times := make([]time.Duration, minEvents+g.IntN(maxEvents-minEvents+1))
	for i := range times {
		times[i] = begin + g.durationUpTo(episodeLength)
	}
	slices.Sort(times)
	for _, at := range times {
		g.addEvent(at)
	}
}

// addEvent adds an event that breaks no limit, if one is found.
func (g *generator) addEvent(at time.Duration) {
	for range maxTries {
		event := g.randomEvent(at)
		if g.timeline.Size.checkEvent(event, g.timeline.Events) == nil {
			g.timeline.Events = append(g.timeline.Events, event)
			return
		}
	}
}

func (g *generator) randomEvent(at time.Duration) Event {
	if earlier := g.timeline.Events; len(earlier) > 0 && g.Float64() < repeatShare {
		repeated := earlier[len(earlier)-1]
		repeated.At = at
		return repeated
	}
	event := Event{Kind: kinds[g.IntN(len(kinds))], At: at}
	limit := limits[event.Kind]
	event.Targets = g.randomTargets(limit)
	if limit.longest > 0 {
		event.For = minAway + g.durationUpTo(limit.longest-minAway)
	}
	if limit.coreKills && g.Float64() < coreKillShare {
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
