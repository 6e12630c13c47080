package membership

import (
	"maps"
	"slices"
	"time"

	"rowanlink/serving/state"
)

// probeTimeout is how long a probe of one doubtful member waits for an answer.
const probeTimeout = 500 * time.Millisecond

// doubt is what is known of a doubtful member: one that a single watcher of several suspects while the others are down,
// or that the majority of its watchers suspects only if other suspected members have no vote.
type doubt struct {
	since    time.Time
	probedAt time.Time // zero: not yet
}

// updateDoubtful begins a doubt about each member of a set and ends those about others.
func (t *Table) updateDoubtful(now time.Time, suspected map[string]bool) {
	maps.DeleteFunc(t.doubtful, func(name string, _ *doubt) bool { return !suspected[name] })
	for name := range suspected {
		if t.doubtful[name] == nil {
			t.doubtful[name] = &doubt{since: now}
		}
	}
	if len(t.doubtful) > 0 {
		t.needsEvaluation = true // with the next tick
	}
}

// settleDoubts marks the doubtful members as down that were probed without an answer. A member that has called or
// answered recently isn't dead, whoever suspects it, and so keeps its vote about others. The caller of Tick makes the
// probes, see MembersToProbe.
func (t *Table) settleDoubts(now time.Time, suspecting map[string][]string, certain map[string]bool) {
	if len(t.doubtful) == 0 {
		return
	}
	unheard := maps.Clone(suspecting)
	maps.DeleteFunc(unheard, func(name string, _ []string) bool {
		return !certain[name] && now.Sub(t.members[name].lastContact) < RemoteSuspicionTimeout
	})
	for _, name := range slices.Sorted(maps.Keys(t.greatestSuspectedSet(unheard))) {
		if t.doubtful[name] != nil && t.isDoubtSettled(now, name) {
			delete(t.doubtful, name)
			t.markDownFor(now, t.members[name], SuspectedAndSilent)
		}
	}
}

// isDoubtSettled reports whether a doubtful member may be marked as down: it has been probed itself, or no member of
// its zone has responded while a sample of them was probed, which is quicker where a whole region is lost.
func (t *Table) isDoubtSettled(now time.Time, name string) bool {
	doubt := t.doubtful[name]
	if now.Sub(doubt.since) < zoneProbePeriod {
		return false
	}
	probed := !doubt.probedAt.IsZero() && now.Sub(doubt.probedAt) >= probeTimeout
	zoneIsSilent := now.Sub(t.lastContacts[t.members[name].member.Zone]) >= zoneProbePeriod
	return probed || zoneIsSilent
}

// HasMembersToProbe reports whether MembersToProbe may return members.
func (t *Table) HasMembersToProbe() bool { return len(t.suspectZones) > 0 || len(t.doubtful) > 0 }

// MembersToProbe returns the members to be probed now, in a random order: some of the doubtful members of each zone that
// were not probed yet, and of each other suspect zone one member. The caller calls them, reports their answers by
// RecordContact and has them refute the suspicions, see RefutationNotice.
func (t *Table) MembersToProbe(now time.Time, shuffle func([]state.Member)) (members []state.Member) {
	var doubtful []state.Member
	for _, name := range slices.Sorted(maps.Keys(t.doubtful)) {
		if t.doubtful[name].probedAt.IsZero() {
			doubtful = append(doubtful, t.members[name].member)
		}
	}
	shuffle(doubtful)
	members = firstOfEachZone(doubtful, doubtfulProbesPerZone)
	for _, member := range members {
		t.doubtful[member.Name].probedAt = now
	}
	probedZones := map[string]bool{}
	for _, member := range members {
		probedZones[member.Zone] = true
	}
	suspects := slices.DeleteFunc(t.suspectZoneMembers(), func(member state.Member) bool {
		return probedZones[member.Zone]
	})
	shuffle(suspects)
	return append(members, firstOfEachZone(suspects, 1)...)
}

// doubtfulProbesPerZone is the number of doubtful members of one zone that are probed at once.
const doubtfulProbesPerZone = 4

// firstOfEachZone returns the first members of each zone, in their order.
func firstOfEachZone(members []state.Member, limit int) (selected []state.Member) {
	taken := map[string]int{}
	for _, member := range members {
		if taken[member.Zone] < limit {
			taken[member.Zone]++
			selected = append(selected, member)
		}
	}
	return selected
}
