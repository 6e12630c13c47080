package endpoints

import (
	"slices"
	"strings"
	"time"

	"rowanlink/serving/state"
)

// maxRemovals is how many endpoints that have left the table are remembered for those who follow its changes.
const maxRemovals = 256

// removalLog holds the endpoints that have left the table, the newest last.
type removalLog struct {
	entries       []removal
	completeAfter uint64 // nothing is missing after this position
}

type removal struct {
	position uint64
	id       string
}

func (f *removalLog) add(position uint64, id string) {
	if len(f.entries) == maxRemovals {
		f.completeAfter = f.entries[0].position
		f.entries = slices.Delete(f.entries, 0, 1)
	}
	f.entries = append(f.entries, removal{position: position, id: id})
}

// Position is the place of the newest change.
func (t *Table) Position() uint64 { return t.position }

// ChangesSince returns what has changed since a position: endpoints as they are now, ordered by ID, and the IDs of those
// forgotten. Complete: it is everything, and whatever else the caller knew is to be forgotten. That is so for
// position 0 and for one that the table doesn't reach back to.
func (t *Table) ChangesSince(now time.Time, since uint64) (changed []state.Endpoint, forgotten []string, position uint64,
	complete bool) {
	if since == 0 || since > t.position || since < t.removals.completeAfter {
		return t.All(now), nil, t.position, true
	}
	for _, e := range t.entries {
		if e.changePosition > since {
			changed = append(changed, e.snapshotAt(now))
		}
	}
	slices.SortFunc(changed, func(a, b state.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	for _, departure := range t.removals.entries {
		if _, back := t.entries[departure.id]; departure.position > since && !back {
			forgotten = append(forgotten, departure.id)
		}
	}
	return changed, forgotten, t.position, false
}
