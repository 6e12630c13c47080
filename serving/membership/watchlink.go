package membership

import (
	"maps"
	"slices"
	"time"
)

// watchLink is the assignment of a watcher to a member.
type watchLink struct {
	watcher *trackedMember
	member  *trackedMember
	since   time.Time
}

// reportDelay is the time within which a suspicion about the member arrives from its watcher after the member's death.
func (l *watchLink) reportDelay() time.Duration {
	if l.watcher.member.Region != l.member.member.Region {
		return RemoteSuspicionTimeout + suspicionTransit
	}
	return SuspicionTimeout + suspicionTransit
}

// updateWatchLinks assigns the watchers of all members, if the ring has changed since it last did. An assignment that
// stays keeps its time.
func (t *Table) updateWatchLinks() {
	if !t.linksStale {
		return
	}
	t.linksStale = false
	for _, tracked := range t.members {
		tracked.watching = tracked.watching[:0]
	}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		tracked := t.members[name]
		previous := tracked.watchers
		tracked.watchers = nil
		for _, watcher := range t.Watchers(name) {
			link := &watchLink{watcher: t.members[watcher.Name], member: tracked, since: t.lastTick}
			if previous == nil {
				link.since = tracked.liveSince // nobody can have taken it for down before
			}
			for _, earlier := range previous {
				if earlier.watcher == link.watcher {
					link.since = earlier.since
				}
			}
			tracked.watchers = append(tracked.watchers, link)
			link.watcher.watching = append(link.watcher.watching, link)
		}
	}
}

// watchersOf returns a member's watchers, which change only with the ring.
func (t *Table) watchersOf(name string) []*watchLink {
	t.updateWatchLinks()
	return t.members[name].watchers
}
