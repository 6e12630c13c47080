package membership

import (
	"slices"
	"time"

	"rowanlink/serving/state"
)

// doubtSpan is how long a zone is probed before it counts as out of reach.
const doubtSpan = 900 * time.Millisecond

// judgeZones marks all members of zones as down that the own zone can't reach any more. In a zone that is cut off,
// members elsewhere have watchers that nobody there hears, and count as voters all the same; some are watched by
// such members alone. So a set of other zones is looked for of which nobody outside the set hears anything. The few
// members of a zone that are watched from outside may have died by themselves: before the verdict the zone is in doubt
// and its members are probed, see Doubted. Any answer clears it.
func (t *Table) judgeZones(now time.Time) {
	unheard := t.unheardZones(now)
	certain := true
	for zone := range unheard {
		if _, known := t.doubts[zone]; !known {
			t.doubts[zone] = now
		}
		certain = certain && now.Sub(t.doubts[zone]) >= doubtSpan
	}
	for zone := range t.doubts {
		if !unheard[zone] {
			delete(t.doubts, zone)
		}
	}
	if !certain {
		t.unjudged = true // looked at again
		return
	}
	for _, member := range slices.Clone(t.LiveMembers()) {
		if unheard[member.Zone] {
			t.setDown(now, t.members[member.Name])
		}
	}
	clear(t.doubts)
}

// unheardZones returns the greatest set of zones from which nothing has come of late and of which nobody outside the set
// hears anything: every member that is watched from outside is suspected by the majority of those watchers, and each
// zone outside has such a watcher in each zone of the set. Where a zone outside has none, it might hear what the others
// don't.
func (t *Table) unheardZones(now time.Time) map[string]bool {
	if len(t.suspicions) == 0 {
		return nil
	}
	suspected := t.suspected()
	unheard := t.otherZones()
	for zone := range unheard {
		if now.Sub(t.contacts[zone]) < doubtSpan {
			delete(unheard, zone)
		}
	}
	for {
		var heard []string
		for zone := range unheard {
			if !t.zoneUnheard(zone, unheard, suspected) {
				heard = append(heard, zone)
			}
		}
		if len(heard) == 0 {
			return unheard
		}
		for _, zone := range heard {
			delete(unheard, zone)
		}
	}
}

// HasSuspectZones tells whether some zone is in doubt.
func (t *Table) HasSuspectZones() bool { return len(t.doubts) > 0 }

// SuspectZoneMembers returns the live members of zones that are in doubt: some are to be called, so that an answer may clear the
// zone.
func (t *Table) SuspectZoneMembers() (members []state.Member) {
	if len(t.doubts) == 0 {
		return nil
	}
	for _, member := range t.LiveMembers() {
		if _, doubted := t.doubts[member.Zone]; doubted {
			members = append(members, member)
		}
	}
	return members
}

// RecordContact notes that a call of a member, or its answer to one, has come.
func (t *Table) RecordContact(now time.Time, name string) {
	if found, ok := t.members[name]; ok {
		t.contacts[found.member.Zone] = now
	}
}

// otherZones returns the zones with live members, but the own.
func (t *Table) otherZones() map[string]bool {
	zones := map[string]bool{}
	for _, member := range t.LiveMembers() {
		zones[member.Zone] = true
	}
	delete(zones, t.Self().Zone)
	return zones
}

// zoneUnheard tells whether each zone outside of the unreachable ones has a watcher in this one, and each member with
// watchers outside is suspected by their majority.
func (t *Table) zoneUnheard(zone string, unreachable map[string]bool, suspected map[string][]string) bool {
	silent := map[string]bool{} // zones outside that have a watcher here who hears nothing
	for _, member := range t.LiveMembers() {
		if member.Zone != zone {
			continue
		}
		votes, voters := 0, 0
		for _, watcher := range t.cachedWatchers(member.Name) {
			if !watcher.live() || unreachable[watcher.member.Zone] {
				continue
			}
			voters++
			if slices.Contains(suspected[member.Name], watcher.member.Name) {
				votes++
				silent[watcher.member.Zone] = true
			}
		}
		if voters > 0 && 2*votes <= voters {
			return false
		}
	}
	for _, member := range t.LiveMembers() {
		if !unreachable[member.Zone] && !silent[member.Zone] {
			return false
		}
	}
	return true
}
