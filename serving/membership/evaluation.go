package membership

import (
	"maps"
	"slices"
	"time"
)

// minVotesWithoutProbe is the minimum number of watchers that must suspect a member for it to be marked as down without
// a probe. For a member with only one watcher, one is enough.
const minVotesWithoutProbe = 2

// isValid reports whether a suspicion is about the current version of a live member and was issued by the current
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
// no vote. Neither do watchers that this same evaluation may find to be down, so that the few watchers outside decide
// when a whole region dies.
//
// A member that the majority of its live watchers suspect, at least minVotesWithoutProbe of them, is marked as down at
// once. Any other member of largestSuspectedSet is doubtful and is probed first, see markSilentDoubtfulDown. There are
// two reasons: a single watcher may have lost only its own path to the member, and two live members that watch each
// other may both be in the set, where neither has a vote in favor of the other.
func (t *Table) evaluateSuspicions(now time.Time) {
	suspecting := t.suspectingWatchers()
	if len(suspecting) == 0 {
		clear(t.doubtful)
		return
	}
	suspected := t.largestSuspectedSet(suspecting)
	certain := t.suspectedByMostLiveWatchers(suspecting, suspected)
	maps.DeleteFunc(suspected, func(name string, _ bool) bool { return certain[name] })
	t.updateDoubtful(now, suspected)
	t.markSilentDoubtfulDown(now, suspecting, certain)
	for _, name := range slices.Sorted(maps.Keys(certain)) {
		t.markDown(now, t.members[name])
	}
}

// largestSuspectedSet returns the largest set of suspected members in which each is suspected by the majority of its
// live watchers outside the set.
func (t *Table) largestSuspectedSet(suspecting map[string][]string) map[string]bool {
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

// suspectedByMostLiveWatchers returns the members of a set that the majority of their live watchers suspect, at least
// minVotesWithoutProbe of them. Members found in one round have no vote in the next; the rounds end when none is found.
func (t *Table) suspectedByMostLiveWatchers(suspecting map[string][]string, set map[string]bool) map[string]bool {
	found := map[string]bool{}
	for {
		var more []string
		for name := range set {
			votes, voters := t.countVotes(name, suspecting[name], found)
			needed := min(minVotesWithoutProbe, len(t.watchersOf(name)))
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

// suspectingWatchers returns the names of the watchers with a valid suspicion, by the name of the suspected member. The
// local member is never among the suspected ones.
func (t *Table) suspectingWatchers() map[string][]string {
	suspecting := map[string][]string{}
	for id, suspicion := range t.suspicions {
		if id.member != t.self && t.isValid(suspicion) {
			suspecting[id.member] = append(suspecting[id.member], id.watcher)
		}
	}
	return suspecting
}

// countVotes returns the number of a member's live watchers that are not excluded (voters), and how many of them
// suspect the member (votes).
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
