package endpoints

import (
	"time"

	"rowanlink/serving/state"
)

// Restore adds an endpoint that an earlier process of this member has saved, unless the endpoint is known or departed,
// and reports whether it did. Remaining times count from now: they become too long, never too short. The time without a
// heartbeat counts from now too.
func (t *Table) Restore(now time.Time, saved state.Endpoint) bool {
	if _, known := t.entries[saved.ID]; known || saved.ID == "" || saved.State == state.EndpointDeparted {
		return false
	}
	e := &entry{}
	t.entries[saved.ID] = e
	t.adoptUpdate(now, e, saved)
	return true
}
