package endpoints

import (
	"slices"
	"strings"
	"time"

	"rowanlink/serving/state"
)

// forgottenMost is how many endpoints that have left the table are remembered for those who follow its changes.
const forgottenMost = 256

// forgottenList holds the endpoints that have left the table, the newest last.
type forgottenList struct {
	left  []departure
	since uint64 // nothing is missing after this position
}

type departure struct {
	position uint64
	id       string
}

func (f *forgottenList) add(position uint64, id string) {
	if len(f.left) == forgottenMost {
		f.since = f.left[0].position
		f.left = slices.Delete(f.left, 0, 1)
	}
	f.left = append(f.left, departure{position: position, id: id})
}

// Position is the place of the newest change.
func (t *Table) Position() uint64 { return t.position }

// Changes returns what has changed since a position: endpoints as they are now, ordered by ID, and the IDs of those
// forgotten. Complete: it is everything, and whatever else the caller knew is to be forgotten. That is so for
// position 0 and for one that the table doesn't reach back to.
func (t *Table) Changes(now time.Time, since uint64) (changed []state.Endpoint, forgotten []string, position uint64,
	complete bool) {
	if since == 0 || since > t.position || since < t.forgotten.since {
		return t.All(now), nil, t.position, true
	}
	for _, e := range t.entries {
		if e.position > since {
			changed = append(changed, e.at(now))
		}
	}
	slices.SortFunc(changed, func(a, b state.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	for _, departure := range t.forgotten.left {
		if _, back := t.entries[departure.id]; departure.position > since && !back {
			forgotten = append(forgotten, departure.id)
		}
	}
	return changed, forgotten, t.position, false
}
