package membership

import (
	"maps"
	"slices"
	"time"

	"rowanlink/serving/state"
)

const (
	// minUnconfirmedPeriod is how long a member must have been unconfirmed before it is marked as down. A reachable one
	// has as long to respond as a watcher would give it.
	minUnconfirmedPeriod          = zoneProbePeriod
	minReachableUnconfirmedPeriod = SuspicionTimeout
	// minFailedProbes is the number of probes without a response that it takes.
	minFailedProbes = 2
	// relaysPerZone and maxRelays are the numbers of members that are asked to probe a member too.
	relaysPerZone = 2
	maxRelays     = 6
	// firstProbesPerZone is the number of unconfirmed members of a zone that are probed at once, beside as many again
	// as have failed to respond. So it doubles while most of them are dead, and is enough where most are live, since
	// each response confirms further members.
	firstProbesPerZone = 4
)

// unconfirmedMember is the state of the probes of a live member without evidence of its life.
type unconfirmedMember struct {
	since    time.Time
	probes   int // that were begun
	failed   int // without a response
	inFlight bool
	relayed  bool // other members have been asked to probe it
	relays   int  // of these, those that haven't answered yet
}

// Probe is a call to an unconfirmed member. The relays, members in several zones, are asked to make the same call: the
// local member may have lost just its own path to the member, as with the indirect probes of SWIM.
type Probe struct {
	Member state.Member
	Relays []state.Member
}

// isUnresponsive reports whether an unconfirmed member has responded to none of the probes that it takes.
func (t *Table) isUnresponsive(now time.Time, name string) bool {
	probed := t.unconfirmed[name]
	if probed.failed < minFailedProbes {
		return false
	}
	if !t.needsRelays(name) {
		return now.Sub(probed.since) >= minUnconfirmedPeriod
	}
	return probed.relayed && probed.relays == 0 && now.Sub(probed.since) >= minReachableUnconfirmedPeriod
}

// needsRelays reports whether other members have to probe an unconfirmed member too before it is marked as down: it may
// be alive, or nobody in its zone has been in contact since, so that the path there may be lost.
func (t *Table) needsRelays(name string) bool {
	tracked := t.members[name]
	return tracked.reachable || t.lastContacts[tracked.member.Zone].Before(t.unconfirmed[name].since)
}

// HasUnconfirmed reports whether UnconfirmedToProbe may return probes.
func (t *Table) HasUnconfirmed() bool { return len(t.unconfirmed) > 0 }

// UnconfirmedToProbe returns the probes that are due, in a random order. The caller makes the calls. It reports for the
// member RecordContact, RecordProbeFailure or, where it makes no call, CancelProbe; and for each relay RecordRelayedProbe.
func (t *Table) UnconfirmedToProbe(now time.Time, shuffle func([]state.Member)) (probes []Probe) {
	members := t.membersToConfirm(shuffle)
	if len(members) == 0 {
		return nil
	}
	contacts := t.recentContacts(now)
	for _, member := range members {
		probed := t.unconfirmed[member.Name]
		probe := Probe{Member: member}
		if probed.failed > 0 && !probed.relayed && t.needsRelays(member.Name) {
			shuffle(contacts)
			relays := firstOfEachZone(contacts, relaysPerZone)
			probe.Relays = relays[:min(len(relays), maxRelays)]
			probed.relayed = true
			probed.relays = len(probe.Relays)
		}
		probed.probes++
		probed.inFlight = true
		probes = append(probes, probe)
	}
	return probes
}

// membersToConfirm returns the unconfirmed members to be probed now: those that have failed to respond once, and some of
// each zone for the first time.
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
		case probed.failed < minFailedProbes || t.needsRelays(name) && !probed.relayed:
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

// recentContacts returns the other members that have called or responded lately, by name.
func (t *Table) recentContacts(now time.Time) []state.Member {
	return t.membersWhere(func(tracked *trackedMember) bool {
		isRecent := now.Sub(tracked.lastContact) < contactPeriod && tracked.lastContact.After(tracked.noResponseAt)
		return tracked.isLive() && isRecent && tracked.member.Name != t.self
	})
}

// RecordProbeFailure records that a member didn't respond to a probe of UnconfirmedToProbe.
func (t *Table) RecordProbeFailure(now time.Time, name string) {
	t.RecordNoResponse(now, name)
	if probed, ok := t.unconfirmed[name]; ok && probed.inFlight {
		probed.inFlight = false
		probed.failed++
	}
}

// CancelProbe records that a member was not called for a probe of UnconfirmedToProbe.
func (t *Table) CancelProbe(name string) {
	if probed, ok := t.unconfirmed[name]; ok && probed.inFlight {
		probed.inFlight = false
		probed.probes--
	}
}

// RecordRelayedProbe records the answer of a relay of a probe, or that it gave none.
func (t *Table) RecordRelayedProbe(now time.Time, name string, responded bool) {
	if tracked, ok := t.members[name]; ok && responded {
		tracked.probedByOther = now
	}
	if probed, ok := t.unconfirmed[name]; ok && probed.relays > 0 {
		probed.relays--
	}
}
