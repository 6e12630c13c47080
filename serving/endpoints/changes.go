package endpoints

import (
	"slices"
	"strings"
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// maxRemovals bounds the number of removed endpoints that are retained for ChangesSince.
const maxRemovals = 256

// removalLog lists the endpoints that were removed from the table, the newest last.
type removalLog struct {
	entries       []removal
	completeAfter uint64 // all removals after this position are listed
}

type removal struct {
	position uint64
	id       string
}

func (l *removalLog) add(position uint64, id string) {
	if len(l.entries) == maxRemovals {
		l.completeAfter = l.entries[0].position
		l.entries = slices.Delete(l.entries, 0, 1)
	}
	l.entries = append(l.entries, removal{position: position, id: id})
}

// Position returns the position of the newest change.
func (t *Table) Position() uint64 { return t.position }

// ChangePosition returns the position of the newest change of an endpoint, and whether its version is as new as the
// given one. An endpoint that isn't in the table, as it departed long ago, has changed at position 0.
func (t *Table) ChangePosition(id string, version gossip.Version) (position uint64, current bool) {
	e, known := t.entries[id]
	if !known {
		return 0, !t.removed.byID[id].version.Less(version)
	}
	return e.changePosition, !VersionOf(e.endpoint).Less(version)
}

// Delta is what has changed in a table since a position.
type Delta struct {
	Changed  []state.Endpoint // as they are now, ordered by ID
	Removed  []string         // by ID
	Position uint64           // of the newest change
	Complete bool             // Changed is the whole table; endpoints that aren't listed have been removed
}

// ChangesSince returns what has changed since a position. The delta is complete for position 0 and for a position of
// which the removals are no longer known.
func (t *Table) ChangesSince(now time.Time, since uint64) Delta {
	if since == 0 || since > t.position || since < t.removals.completeAfter {
		return Delta{
			Changed:  t.All(now),
			Position: t.position,
			Complete: true,
		}
	}
	delta := Delta{Position: t.position}
	for _, e := range t.entries {
		if e.changePosition > since {
			delta.Changed = append(delta.Changed, e.snapshotAt(now))
		}
	}
	sortByID(delta.Changed)
	for _, removed := range t.removals.entries {
		_, isBack := t.entries[removed.id]
		if removed.position > since && !isBack {
			delta.Removed = append(delta.Removed, removed.id)
		}
	}
	return delta
}

func sortByID(list []state.Endpoint) {
	slices.SortFunc(list, func(a, b state.Endpoint) int { return strings.Compare(a.ID, b.ID) })
}
