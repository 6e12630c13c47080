package membership

import (
	"maps"
	"slices"
	"time"
)

// leastCertainVotes is the number of watchers that have to suspect a member for it to be marked as down unprobed, unless
// it has only one.
const leastCertainVotes = 2

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
// no vote, and neither have those that this same evaluation may find to be down: where a whole region dies, the few
// watchers outside of it decide. A member that most of its live watchers suspect, and two at least, is marked at once.
// Any other is doubtful and is probed first, see settleDoubts: a single watcher may have lost just its own path to the
// member, and of two live members that watch each other, each would count the other as dead.
func (t *Table) evaluateSuspicions(now time.Time) {
	suspecting := t.suspectingWatchers()
	if len(suspecting) == 0 {
		clear(t.doubtful)
		return
	}
	suspected := t.greatestSuspectedSet(suspecting)
	certain := t.suspectedByMostLiveWatchers(suspecting, suspected)
	maps.DeleteFunc(suspected, func(name string, _ bool) bool { return certain[name] })
	t.updateDoubtful(now, suspected)
	t.settleDoubts(now, suspecting, certain)
	for _, name := range slices.Sorted(maps.Keys(certain)) {
		t.markDown(now, t.members[name])
	}
}

// greatestSuspectedSet returns the greatest set of suspected members in which each is suspected by the majority of its
// live watchers outside the set.
func (t *Table) greatestSuspectedSet(suspecting map[string][]string) map[string]bool {
	set := map[string]bool{}
	for name := range suspecting {
		set[name] = true
	}
	names := slices.Sorted(maps.Keys(set))
	for changed := true; changed; {
		changed = false
		for _, name := range names {
			votes, voters := t.countVotes(name, suspecting[name], set)
			if set[name] && 2*votes <= voters {
				delete(set, name)
				changed = true
			}
		}
	}
	return set
}

// suspectedByMostLiveWatchers returns the members of a set that the majority of their live watchers suspects, and two
// at least. Those that it has found lose their own vote in a further round.
func (t *Table) suspectedByMostLiveWatchers(suspecting map[string][]string, set map[string]bool) map[string]bool {
	found := map[string]bool{}
	for {
		var more []string
		for name := range set {
			votes, voters := t.countVotes(name, suspecting[name], found)
			needed := min(leastCertainVotes, len(t.watchersOf(name)))
			if !found[name] && votes >= needed && 2*votes > voters {
				more = append(more, name)
			}
		}
		if len(more) == 0 {
			return found
		}
		for _, name := range more {
			found[name] = true
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

// countVotes counts a member's live watchers that are not excluded, and of them those that suspect it.
func (t *Table) countVotes(name string, suspecting []string, excluded map[string]bool) (votes, voters int) {
	for _, link := range t.watchersOf(name) {
		watcher := link.watcher
		if excluded[watcher.member.Name] || !watcher.isLive() {
			continue
		}
		voters++
		if slices.Contains(suspecting, watcher.member.Name) {
			votes++
		}
	}
	return votes, voters
}
