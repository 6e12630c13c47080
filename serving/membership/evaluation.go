package membership

import (
	"slices"
	"time"
)

// isValid reports whether a suspicion refers to the newest version of a live member and was issued by the newest
// incarnation of its watcher.
func (t *Table) isValid(suspicion Suspicion) bool {
	member, memberKnown := t.members[suspicion.Member]
	watcher, watcherKnown := t.members[suspicion.Watcher]
	return memberKnown && watcherKnown && member.isLive() &&
		suspicion.Incarnation == member.member.Incarnation &&
		suspicion.Sequence >= member.member.Sequence &&
		suspicion.WatcherIncarnation == watcher.member.Incarnation
}

// evaluateSuspicions marks the members as down that the majority of their watchers suspect. Watchers that are down have
// no vote, and neither have those that this same evaluation finds to be down: where a whole region dies, the few
// watchers outside of it decide. So it looks for the greatest set of members in which each is suspected by the majority
// of its watchers outside the set, by removing members from the set of all suspected ones until that holds.
func (t *Table) evaluateSuspicions(now time.Time) {
	suspected := t.suspectingWatchers()
	names := make([]string, 0, len(suspected))
	for name := range suspected {
		names = append(names, name)
	}
	slices.Sort(names)
	for changed := true; changed; {
		changed = false
		for _, name := range names {
			watchers, isSuspected := suspected[name]
			if isSuspected && !t.isSuspectedByMajority(name, watchers, suspected) {
				delete(suspected, name)
				changed = true
			}
		}
	}
	for _, name := range names {
		if _, isSuspected := suspected[name]; isSuspected {
			t.markDown(now, t.members[name])
		}
	}
}

// suspectingWatchers returns the watchers with a valid suspicion, by the name of the member that they suspect.
func (t *Table) suspectingWatchers() map[string][]string {
	suspecting := map[string][]string{}
	for id, suspicion := range t.suspicions {
		if id.member != t.self && t.isValid(suspicion) {
			suspecting[id.member] = append(suspecting[id.member], id.watcher)
		}
	}
	return suspecting
}

// isSuspectedByMajority reports whether most of a member's live watchers outside the suspected members suspect it.
func (t *Table) isSuspectedByMajority(name string, suspecting []string, suspected map[string][]string) bool {
	votes, voters := 0, 0
	for _, watcher := range t.cachedWatchers(name) {
		_, isSuspected := suspected[watcher.member.Name]
		if isSuspected || !watcher.isLive() {
			continue
		}
		voters++
		if slices.Contains(suspecting, watcher.member.Name) {
			votes++
		}
	}
	return 2*votes > voters
}

// cachedWatchers returns a member's watchers, which change only with the ring.
func (t *Table) cachedWatchers(name string) []*trackedMember {
	if watchers, ok := t.watchers[name]; ok {
		return watchers
	}
	var watchers []*trackedMember
	for _, watcher := range t.Watchers(name) {
		watchers = append(watchers, t.members[watcher.Name])
	}
	t.watchers[name] = watchers
	return watchers
}
