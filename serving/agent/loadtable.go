package agent

import "rowanlink/serving/state"

// maxLoads bounds the number of loads. The load of a departed endpoint stays in the table until it is evicted, as the least
// recently changed one, by the load of a new endpoint.
const maxLoads = 4096

// loadTable holds the newest load of each endpoint and the order in which they changed.
type loadTable struct {
	position uint64               // of the newest change
	entries  map[string]loadEntry // by endpoint ID
}

type loadEntry struct {
	load     state.Load
	position uint64 // of the change that set the load
}

func newLoadTable() loadTable { return loadTable{entries: map[string]loadEntry{}} }

// update stores a load and reports whether it differs from the stored one. It doesn't compare their age, since gossip
// delivers a load only if it is newer than those delivered before.
func (t *loadTable) update(load state.Load) bool {
	current, found := t.entries[load.EndpointID]
	if found && load == current.load {
		return false
	}
	if !found && len(t.entries) >= maxLoads {
		t.evictOldest()
	}
	t.position++
	t.entries[load.EndpointID] = loadEntry{load: load, position: t.position}
	return true
}

// changesSince returns the loads that changed after a position.
func (t *loadTable) changesSince(position uint64) (loads []state.Load) {
	if position == t.position {
		return nil
	}
	for _, entry := range t.entries {
		if entry.position > position {
			loads = append(loads, entry.load)
		}
	}
	return loads
}

// evictOldest removes the load that changed least recently.
func (t *loadTable) evictOldest() {
	oldestID := ""
	oldestPosition := t.position + 1
	for id, entry := range t.entries {
		if entry.position < oldestPosition {
			oldestID = id
			oldestPosition = entry.position
		}
	}
	delete(t.entries, oldestID)
}
