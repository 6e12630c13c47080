package membership

import (
	"slices"
	"time"
)

// holds tells whether a suspicion speaks of the newest word of a live member and comes from the newest incarnation
// of its watcher.
func (t *Table) holds(word Suspicion) bool {
	member, known := t.members[word.Member]
	watcher, watcherKnown := t.members[word.Watcher]
	return known && watcherKnown && member.live() &&
		word.Incarnation == member.member.Incarnation && word.Sequence >= member.member.Sequence &&
		word.WatcherIncarnation == watcher.member.Incarnation
}

// judge marks the members as down that the majority of their watchers suspect. Watchers that are down have no vote,
// and neither have those that are found to be down by the same rule at this moment: where a whole region dies, the
// few watchers outside of it decide. So the greatest set of members is looked for in which each is suspected by the
// majority of its watchers that are not in the set.
func (t *Table) judge(now time.Time) {
	suspected := t.suspected()
	names := make([]string, 0, len(suspected))
	for name := range suspected {
		names = append(names, name)
	}
	slices.Sort(names)
	for removed := true; removed; {
		removed = false
		for _, name := range names {
			by, in := suspected[name]
			if in && !t.majority(name, by, suspected) {
				delete(suspected, name)
				removed = true
			}
		}
	}
	for _, name := range names {
		if _, in := suspected[name]; in {
			t.setDown(now, t.members[name])
		}
	}
}

// suspected returns the watchers whose suspicions hold, by the member that they suspect.
func (t *Table) suspected() map[string][]string {
	suspected := map[string][]string{}
	for id, word := range t.suspicions {
		if id.member != t.self && t.holds(word) {
			suspected[id.member] = append(suspected[id.member], id.watcher)
		}
	}
	return suspected
}

// majority tells whether most of a member's watchers that have a vote suspect it.
func (t *Table) majority(name string, suspectedBy []string, condemned map[string][]string) bool {
	votes, voters := 0, 0
	for _, watcher := range t.cachedWatchers(name) {
		_, dying := condemned[watcher.member.Name]
		if dying || !watcher.live() {
			continue
		}
		voters++
		if slices.Contains(suspectedBy, watcher.member.Name) {
			votes++
		}
	}
	return 2*votes > voters
}

// cachedWatchers returns a member's watchers, which change only with the ring.
func (t *Table) cachedWatchers(name string) []*known {
	if watchers, ok := t.watchers[name]; ok {
		return watchers
	}
	var watchers []*known
	for _, watcher := range t.Watchers(name) {
		watchers = append(watchers, t.members[watcher.Name])
	}
	t.watchers[name] = watchers
	return watchers
}
