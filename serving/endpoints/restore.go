package endpoints

import (
	"time"

	"rowanlink/serving/state"
)

// Restore adds an endpoint that an earlier process of this member has saved, and reports whether it did. It doesn't add
// an endpoint that is in the table already or was saved as departed. The remaining times (until warmed up, until the
// removal) count from now, so they may be too long but never too short. The time without a heartbeat counts from now
// too.
func (t *Table) Restore(now time.Time, saved state.Endpoint) bool {
	if _, known := t.entries[saved.ID]; known || saved.ID == "" || saved.State == state.EndpointDeparted {
		return false
	}
	e := &entry{}
	t.entries[saved.ID] = e
	t.adoptUpdate(now, e, saved)
	return true
}
