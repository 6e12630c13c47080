package membership

import (
	"maps"
	"slices"
	"time"

	"rowanlink/serving/state"
)

const (
	// minUnconfirmedPeriod is how long a member must have been unconfirmed before it is marked as down.
	// minReachableUnconfirmedPeriod applies instead if relays have to probe it too (see needsRelays): such a member
	// gets as long to respond as its watcher would wait for a heartbeat.
	minUnconfirmedPeriod          = zoneProbePeriod
	minReachableUnconfirmedPeriod = SuspicionTimeout
	// minFailedProbes is the minimum number of probes without a response before a member is marked as down.
	minFailedProbes = 2
	// relaysPerZone and maxRelays are the maximum numbers of relays per zone and in total that are asked to probe a
	// member.
	relaysPerZone = 2
	maxRelays     = 6
	// firstProbesPerZone is the number of unconfirmed members of a zone that get their first probe at once. It is
	// increased by the number of those that have already failed to respond. The number of probes therefore doubles from
	// round to round while most of the members are dead, and stays small if most are live, since each response also
	// confirms other members.
	firstProbesPerZone = 4
)

// unconfirmedMember is the state of the probes of a live member without sufficient evidence that it is alive.
type unconfirmedMember struct {
	since         time.Time // when it became unconfirmed
	probes        int       // probes begun
	failed        int       // probes without a response
	inFlight      bool      // a probe is under way
	relaysAsked   bool      // other members have been asked to probe it
	pendingRelays int       // the number of those that have not answered yet
}

// Probe is a call to an unconfirmed member. The relays, which are members in several zones, are asked to make the same
// call, like the indirect probes of SWIM, because the local member may have lost only its own path to the member.
type Probe struct {
	Member state.Member
	Relays []state.Member
}

// isUnresponsive reports whether an unconfirmed member has failed to respond to enough probes, and for long enough, to
// be marked as down.
func (t *Table) isUnresponsive(now time.Time, name string) bool {
	probed := t.unconfirmed[name]
	if probed.failed < minFailedProbes {
		return false
	}
	if !t.needsRelays(name) {
		return now.Sub(probed.since) >= minUnconfirmedPeriod
	}
	return probed.relaysAsked && probed.pendingRelays == 0 && now.Sub(probed.since) >= minReachableUnconfirmedPeriod
}

// needsRelays reports whether relays must also probe an unconfirmed member before it is marked as down. That is so if
// it is reachable and therefore may be alive, or if no member of its zone has been in contact since it became
// unconfirmed, so that the local member's path to that zone may be lost.
func (t *Table) needsRelays(name string) bool {
	tracked := t.members[name]
	return tracked.reachable || t.lastContacts[tracked.member.Zone].Before(t.unconfirmed[name].since)
}

// HasUnconfirmed reports whether UnconfirmedToProbe may return probes.
func (t *Table) HasUnconfirmed() bool { return len(t.unconfirmed) > 0 }

// UnconfirmedToProbe returns the probes that are due, in random order. The caller makes the calls and reports their
// results: for the probed member with RecordContact, RecordProbeFailure or, if it makes no call, CancelProbe; and for
// each relay with RecordRelayedProbe.
func (t *Table) UnconfirmedToProbe(now time.Time, shuffle func([]state.Member)) (probes []Probe) {
	members := t.membersToConfirm(shuffle)
	if len(members) == 0 {
		return nil
	}
	contacts := t.recentContacts(now)
	for _, member := range members {
		probed := t.unconfirmed[member.Name]
		probe := Probe{Member: member}
		if probed.failed > 0 && !probed.relaysAsked && t.needsRelays(member.Name) {
			shuffle(contacts)
			relays := firstOfEachZone(contacts, relaysPerZone)
			probe.Relays = relays[:min(len(relays), maxRelays)]
			probed.relaysAsked = true
			probed.pendingRelays = len(probe.Relays)
		}
		probed.probes++
		probed.inFlight = true
		probes = append(probes, probe)
	}
	return probes
}

// membersToConfirm returns the unconfirmed members to be probed now: those that have failed to respond but need further
// probes, and some of each zone for the first time (see firstProbesPerZone).
func (t *Table) membersToConfirm(shuffle func([]state.Member)) (members []state.Member) {
	var first []state.Member
	limits := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(t.unconfirmed)) {
		probed, member := t.unconfirmed[name], t.members[name].member
		if probed.failed > 0 {
			limits[member.Zone]++
		}
		switch {
		case probed.inFlight:
		case probed.probes == 0:
			first = append(first, member)
		case probed.failed < minFailedProbes || t.needsRelays(name) && !probed.relaysAsked:
			members = append(members, member)
		}
	}
	shuffle(first)
	for _, member := range first {
		if firstProbesPerZone+limits[member.Zone] > 0 {
			limits[member.Zone]--
			members = append(members, member)
		}
	}
	return members
}

// recentContacts returns the other live members that have called or responded within contactPeriod and since the last
// failed call to them, sorted by name.
func (t *Table) recentContacts(now time.Time) []state.Member {
	return t.membersWhere(func(tracked *trackedMember) bool {
		isRecent := now.Sub(tracked.lastContact) < contactPeriod && tracked.lastContact.After(tracked.noResponseAt)
		return tracked.isLive() && isRecent && tracked.member.Name != t.self
	})
}

// RecordProbeFailure records that a member didn't respond to a probe that UnconfirmedToProbe returned.
func (t *Table) RecordProbeFailure(now time.Time, name string) {
	t.RecordNoResponse(now, name)
	if probed, ok := t.unconfirmed[name]; ok && probed.inFlight {
		probed.inFlight = false
		probed.failed++
	}
}

// CancelProbe records that the call for a probe that UnconfirmedToProbe returned was not made.
func (t *Table) CancelProbe(name string) {
	if probed, ok := t.unconfirmed[name]; ok && probed.inFlight {
		probed.inFlight = false
		probed.probes--
	}
}

// RecordRelayedProbe records the result of one relay's probe of a member: whether the relay reported that the member
// responded. A relay that doesn't answer counts as one without a response.
func (t *Table) RecordRelayedProbe(now time.Time, name string, responded bool) {
	if tracked, ok := t.members[name]; ok && responded {
		tracked.respondedToRelayAt = now
	}
	if probed, ok := t.unconfirmed[name]; ok && probed.pendingRelays > 0 {
		probed.pendingRelays--
	}
}
