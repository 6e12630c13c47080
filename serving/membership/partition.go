package membership

import (
	"slices"
	"time"

	"rowanlink/serving/state"
)

// zoneProbePeriod is how long a zone is probed before it counts as unreachable.
const zoneProbePeriod = 900 * time.Millisecond

// evaluateZones marks all suspected members of zones as down that the local zone can't reach any more. In a partitioned zone,
// members elsewhere have watchers whose suspicions don't arrive there, and which count as voters all the same; some
// members are watched by such watchers alone. So evaluateZones looks for a set of other zones from which no member
// outside the set receives anything. The few members of a zone that are watched from outside may have died by
// themselves: the zone is first suspect and its members are probed, see MembersToProbe. Any response clears it. A member that nobody suspects may be alive after the
// loss of its watchers, and is left to evaluateConfirmations.
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

// unreachableZones returns the greatest set of zones without recent contact from which no member outside the set
// receives anything: every member that is watched from outside is suspected by the majority of those watchers, and each
// zone outside has such a watcher in each zone of the set. A zone outside without one might receive what the others
// don't.
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

// RecordContact records that a member has called or has responded to a call.
func (t *Table) RecordContact(now time.Time, name string) {
	if tracked, ok := t.members[name]; ok {
		tracked.lastContact = now
		delete(t.unconfirmed, name)
		if watched := t.watched[name]; watched != nil {
			watched.restart(now)
		}
		t.lastContacts[tracked.member.Zone] = now
	}
}

// otherZones returns the zones with live members, without the local zone.
func (t *Table) otherZones() map[string]bool {
	zones := map[string]bool{}
	for _, member := range t.LiveMembers() {
		zones[member.Zone] = true
	}
	delete(zones, t.Self().Zone)
	return zones
}

// isZoneUnreachable reports whether each zone outside of the unreachable ones has a suspecting watcher in this one, and
// each member with live watchers outside is suspected by the majority of them.
func (t *Table) isZoneUnreachable(zone string, unreachable map[string]bool, suspecting map[string][]string) bool {
	suspectingZones := map[string]bool{} // zones outside with a watcher in this zone that suspects its member
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
