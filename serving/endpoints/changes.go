package endpoints

import (
	"slices"
	"strings"
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// maxRemovals bounds the number of removals that are retained for ChangesSince.
const maxRemovals = 256

// removalLog lists the most recent removals of endpoints from the table, the newest last.
type removalLog struct {
	entries       []removal
	completeAfter uint64 // position of the table after which all removals are listed
}

type removal struct {
	position uint64
	id       string
}

// add adds a removal. It drops the oldest one if there are maxRemovals already.
func (l *removalLog) add(position uint64, id string) {
	if len(l.entries) == maxRemovals {
		l.completeAfter = l.entries[0].position
		l.entries = slices.Delete(l.entries, 0, 1)
	}
	l.entries = append(l.entries, removal{position: position, id: id})
}

// Position returns the table's position, which counts its changes.
func (t *Table) Position() uint64 { return t.position }

// ChangePosition returns the position of the newest change of an endpoint, and whether its version is the given one or
// newer. For an endpoint that was removed after its departure, the position is 0 and the version is its last one.
func (t *Table) ChangePosition(id string, version gossip.Version) (position uint64, current bool) {
	e, known := t.entries[id]
	if !known {
		return 0, !t.removed.byID[id].version.Less(version)
	}
	return e.changePosition, !VersionOf(e.endpoint).Less(version)
}

// Delta lists the changes of a table since a position.
type Delta struct {
	Changed  []state.Endpoint // in their present states, ordered by ID
	Removed  []string         // IDs
	Position uint64           // of the table now
	Complete bool             // Changed is the whole table; endpoints that aren't listed have been removed
}

// ChangesSince returns the changes since a position. The delta is the complete table for position 0, for a position
// that this table hasn't reached, and for one after which not all removals are known any more.
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
