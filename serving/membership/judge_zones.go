package membership

import (
	"slices"
	"time"
)

// judgeZones marks all members of zones as down that the own zone can't reach any more. In a zone that is cut off,
// members elsewhere have watchers that nobody there hears, and count as voters all the same; some are watched by
// such members alone. So a set of other zones is looked for of which nobody outside the set hears anything: every
// member that is watched from outside is suspected by the majority of those watchers, and each zone outside has such a
// watcher in each zone of the set. Where a zone outside has none, it might hear what the others don't.
func (t *Table) judgeZones(now time.Time) {
	if len(t.suspicions) == 0 {
		return
	}
	suspected := t.suspected()
	unreachable := t.otherZones()
	for {
		var heard []string
		for zone := range unreachable {
			if !t.zoneUnheard(zone, unreachable, suspected) {
				heard = append(heard, zone)
			}
		}
		if len(heard) == 0 {
			break
		}
		for _, zone := range heard {
			delete(unreachable, zone)
		}
	}
	for _, member := range slices.Clone(t.Live()) {
		if unreachable[member.Zone] {
			t.setDown(now, t.members[member.Name])
		}
	}
}

// otherZones returns the zones with live members, but the own.
func (t *Table) otherZones() map[string]bool {
	zones := map[string]bool{}
	for _, member := range t.Live() {
		zones[member.Zone] = true
	}
	delete(zones, t.Self().Zone)
	return zones
}

// zoneUnheard tells whether each zone outside of the unreachable ones has a watcher in this one, and each member with
// watchers outside is suspected by their majority.
func (t *Table) zoneUnheard(zone string, unreachable map[string]bool, suspected map[string][]string) bool {
	silent := map[string]bool{} // zones outside that have a watcher here who hears nothing
	for _, member := range t.Live() {
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
	for _, member := range t.Live() {
		if !unreachable[member.Zone] && !silent[member.Zone] {
			return false
		}
	}
	return true
}
