package membership

import (
	"maps"
	"slices"
	"time"

	"rowanlink/serving/state"
)

// probeTimeout is how long a doubtful member has to respond to a probe.
const probeTimeout = 500 * time.Millisecond

// doubtfulMember is the state of a doubtful member: a suspected one that must be probed before it is marked as down. A
// member is doubtful if just one of its watchers suspects it while the others are down, or if there is a majority of
// its watchers against it only as long as other suspected members have no vote.
type doubtfulMember struct {
	since    time.Time // when it became doubtful
	probedAt time.Time // zero: not probed yet
}

// updateDoubtful makes the members of a set the doubtful ones. Those that already were keep their state.
func (t *Table) updateDoubtful(now time.Time, suspected map[string]bool) {
	maps.DeleteFunc(t.doubtful, func(name string, _ *doubtfulMember) bool { return !suspected[name] })
	for name := range suspected {
		if t.doubtful[name] == nil {
			t.doubtful[name] = &doubtfulMember{since: now}
		}
	}
	if len(t.doubtful) > 0 {
		t.needsEvaluation = true // with the next tick
	}
}

// markSilentDoubtfulDown marks the doubtful members as down that were probed without a response. A member that has
// called or responded recently isn't dead, even if others suspect it, and therefore keeps its vote about others; this
// doesn't apply to the members in certain, which are marked as down anyway. The caller of Tick makes the probes, see
// MembersToProbe.
func (t *Table) markSilentDoubtfulDown(now time.Time, suspecting map[string][]string, certain map[string]bool) {
	if len(t.doubtful) == 0 {
		return
	}
	withoutContact := maps.Clone(suspecting)
	maps.DeleteFunc(withoutContact, func(name string, _ []string) bool {
		return !certain[name] && now.Sub(t.members[name].lastContact) < RemoteSuspicionTimeout
	})
	for _, name := range slices.Sorted(maps.Keys(t.largestSuspectedSet(withoutContact))) {
		if t.doubtful[name] != nil && t.isProbedWithoutResponse(now, name) {
			delete(t.doubtful, name)
			t.markDownFor(now, t.members[name], SuspectedAndSilent)
		}
	}
}

// isProbedWithoutResponse reports whether a doubtful member without recent contact may be marked as down: it was probed
// at least probeTimeout ago, or no member of its zone has called or responded for zoneProbePeriod while a sample of
// them was probed. The latter is faster when a whole region is lost. In either case zoneProbePeriod must have passed
// since the member became doubtful.
func (t *Table) isProbedWithoutResponse(now time.Time, name string) bool {
	doubtful := t.doubtful[name]
	if now.Sub(doubtful.since) < zoneProbePeriod {
		return false
	}
	probed := !doubtful.probedAt.IsZero() && now.Sub(doubtful.probedAt) >= probeTimeout
	zoneIsSilent := now.Sub(t.lastContacts[t.members[name].member.Zone]) >= zoneProbePeriod
	return probed || zoneIsSilent
}

// HasMembersToProbe reports whether MembersToProbe may return members.
func (t *Table) HasMembersToProbe() bool { return len(t.suspectZones) > 0 || len(t.doubtful) > 0 }

// MembersToProbe returns the members to be probed now, in random order: up to doubtfulProbesPerZone of each zone's
// doubtful members that were not probed yet, and one member of each other suspect zone. The caller calls them, reports
// each response with RecordContact, and sends each member that responds its RefutationNotice.
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

// doubtfulProbesPerZone is the maximum number of doubtful members of a zone that are probed at once.
const doubtfulProbesPerZone = 4

// firstOfEachZone returns the first members of each zone, at most limit per zone, in their original order.
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
