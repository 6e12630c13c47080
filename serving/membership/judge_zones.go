package membership

import (
	"slices"
	"time"
)

// judgeZones marks all members of zones as down that the own zone can't reach any more. In a zone that is cut off,
// members elsewhere have watchers that nobody there hears, and count as voters all the same; some are watched by
// such members alone. So the greatest set of other zones is looked for of which nobody outside the set hears
// anything: every member that is watched from outside is suspected by the majority of those watchers, and each zone
// has such a member.
func (t *Table) judgeZones(now time.Time) {
	if len(t.suspicions) == 0 {
		return
	}
	suspected := t.suspected()
	unreachable := t.otherZones()
	for removed := true; removed; {
		removed = false
		for zone := range unreachable {
			if !t.zoneUnheard(zone, unreachable, suspected) {
				delete(unreachable, zone)
				removed = true
			}
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

// zoneUnheard tells whether some live member of the zone has live watchers outside of the unreachable zones, and each
// that has them is suspected by their majority.
func (t *Table) zoneUnheard(zone string, unreachable map[string]bool, suspected map[string][]string) bool {
	watched := false
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
			}
		}
		if voters > 0 && 2*votes <= voters {
			return false
		}
		watched = watched || voters > 0
	}
	return watched
}
