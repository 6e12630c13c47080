package membership

import (
	"slices"
	"time"

	"rowanlink/serving/state"
)

// zoneProbePeriod is how long a zone is probed without a response before it counts as unreachable, and how long contact
// with a zone counts as recent.
const zoneProbePeriod = 900 * time.Millisecond

// evaluateZones marks the suspected members of zones that are no longer reachable from the local zone as down.
//
// The majority rule of evaluateSuspicions isn't sufficient in a partitioned zone. Members in the other zones have
// watchers whose suspicions don't arrive in the local zone but which still count as voters, and some members have only
// such watchers. Therefore evaluateZones looks for a set of other zones from which no member outside the set receives
// anything.
//
// A zone of that set is at first only suspect: perhaps just its few members that are watched from outside have died.
// Its members are probed for zoneProbePeriod, see MembersToProbe, and any response clears the zone. A member that
// nobody suspects may be alive and have lost its watchers; it is left to evaluateConfirmations.
func (t *Table) evaluateZones(now time.Time) {
	unreachable := t.unreachableZones(now)
	probed := true
	for zone := range unreachable {
		if _, suspect := t.suspectZones[zone]; !suspect {
			t.suspectZones[zone] = now
		}
		probed = probed && now.Sub(t.suspectZones[zone]) >= zoneProbePeriod
	}
	for zone := range t.suspectZones {
		if !unreachable[zone] {
			delete(t.suspectZones, zone)
		}
	}
	if !probed {
		t.needsEvaluation = true // with the next tick
		return
	}
	suspecting := t.suspectingWatchers()
	for _, member := range slices.Clone(t.LiveMembers()) {
		if unreachable[member.Zone] && len(suspecting[member.Name]) > 0 {
			t.markDownFor(now, t.members[member.Name], ZoneUnreachable)
		}
	}
	clear(t.suspectZones)
}

// unreachableZones returns the largest set of zones without recent contact from which no member outside the set
// receives anything. Two conditions show that. Each member of the set that has live watchers outside is suspected by
// the majority of these watchers. And for each zone in the set, every zone outside has a watcher that suspects a member
// of it: a zone outside without such a watcher might still receive heartbeats that the others don't. See
// isZoneUnreachable.
func (t *Table) unreachableZones(now time.Time) map[string]bool {
	if len(t.suspicions) == 0 {
		return nil
	}
	suspecting := t.suspectingWatchers()
	unreachable := t.otherZones()
	for zone := range unreachable {
		if now.Sub(t.lastContacts[zone]) < zoneProbePeriod {
			delete(unreachable, zone)
		}
	}
	for {
		var reachable []string
		for zone := range unreachable {
			if !t.isZoneUnreachable(zone, unreachable, suspecting) {
				reachable = append(reachable, zone)
			}
		}
		if len(reachable) == 0 {
			return unreachable
		}
		for _, zone := range reachable {
			delete(unreachable, zone)
		}
	}
}

// suspectZoneMembers returns the live members of suspect zones.
func (t *Table) suspectZoneMembers() (members []state.Member) {
	if len(t.suspectZones) == 0 {
		return nil
	}
	for _, member := range t.LiveMembers() {
		if _, suspect := t.suspectZones[member.Zone]; suspect {
			members = append(members, member)
		}
	}
	return members
}

// RecordContact records that a member has called or has responded to a call. Like a heartbeat, this restarts the
// suspicion timeout.
func (t *Table) RecordContact(now time.Time, name string) {
	if tracked, ok := t.members[name]; ok {
		tracked.lastContact = now
		delete(t.unconfirmed, name)
		if watched := t.watched[name]; watched != nil {
			watched.restartTimeout(now)
		}
		t.lastContacts[tracked.member.Zone] = now
	}
}

// otherZones returns the zones with live members, except the local zone.
func (t *Table) otherZones() map[string]bool {
	zones := map[string]bool{}
	for _, member := range t.LiveMembers() {
		zones[member.Zone] = true
	}
	delete(zones, t.Self().Zone)
	return zones
}

// isZoneUnreachable reports whether nothing from a zone is received outside the given unreachable zones: each member of
// the zone that has live watchers outside is suspected by the majority of them, and each zone outside has a member that
// suspects a member of this zone that it watches.
func (t *Table) isZoneUnreachable(zone string, unreachable map[string]bool, suspecting map[string][]string) bool {
	suspectingZones := map[string]bool{} // zones outside that contain a watcher suspecting a member of this zone
	for _, member := range t.LiveMembers() {
		if member.Zone != zone {
			continue
		}
		votes, voters := 0, 0
		for _, link := range t.watchersOf(member.Name) {
			watcher := link.watcher
			if !watcher.isLive() || unreachable[watcher.member.Zone] {
				continue
			}
			voters++
			if slices.Contains(suspecting[member.Name], watcher.member.Name) {
				votes++
				suspectingZones[watcher.member.Zone] = true
			}
		}
		if voters > 0 && 2*votes <= voters {
			return false
		}
	}
	for _, member := range t.LiveMembers() {
		if !unreachable[member.Zone] && !suspectingZones[member.Zone] {
			return false
		}
	}
	return true
}
