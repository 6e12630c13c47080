package endpoints

import (
	"time"

	"rowanlink/serving/state"
)

// Restore takes in an endpoint as an earlier life of this process knew it, unless something is known of it already. It
// tells whether it was taken in. Times left count from now: they become too long, never too short. Until its next
// heartbeat comes its silence is judged as if one had come now.
func (t *Table) Restore(now time.Time, kept state.Endpoint) bool {
	if _, known := t.entries[kept.ID]; known || kept.ID == "" || kept.State == state.EndpointDeparted {
		return false
	}
	e := &entry{}
	t.entries[kept.ID] = e
	t.adoptUpdate(now, e, kept)
	e.broadcast.replicated = false // the others may have lost their memory too
	return true
}
