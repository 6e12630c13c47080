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
	since   time.Time // when the assignment took effect
}

// maxReportDelay returns the time within which, after the member's death, a suspicion by the watcher arrives here.
func (l *watchLink) maxReportDelay() time.Duration {
	if l.watcher.member.Region != l.member.member.Region {
		return RemoteSuspicionTimeout + suspicionDeliveryTime
	}
	return SuspicionTimeout + suspicionDeliveryTime
}

// updateWatchLinks assigns watchers to all members if the ring has changed since the last assignment. A link that
// already existed keeps its since.
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
				link.since = tracked.liveSince // a new member: no watcher can have considered it down before
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

// watchersOf returns the links to a member's watchers, which are updated if the ring has changed.
func (t *Table) watchersOf(name string) []*watchLink {
	t.updateWatchLinks()
	return t.members[name].watchers
}
