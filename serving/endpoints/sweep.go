package endpoints

import (
	"time"

	"rowanlink/serving/state"
)

// Sweep marks endpoints as unresponsive or departed by the time since their last heartbeats, and removes those that
// departed long ago. It returns the endpoints that the caller has to gossip, ordered by ID. The caller sweeps about
// every half second. After an interval of more than maxSweepInterval this process has been suspended and couldn't
// receive heartbeats, so the times since the last heartbeats count from now.
func (t *Table) Sweep(now time.Time) []state.Endpoint {
	interval := now.Sub(t.lastSweep)
	wasSuspended := interval > maxSweepInterval && !t.lastSweep.IsZero()
	t.lastSweep = now
	responsibleFor := make(map[string]bool) // by receiver, of which there are few
	for _, e := range t.entries {
		if wasSuspended {
			e.lastHeartbeat = now
		}
		responsible, known := responsibleFor[e.endpoint.Receiver]
		if !known {
			responsible = t.options.IsResponsibleFor(e.endpoint.Receiver)
			responsibleFor[e.endpoint.Receiver] = responsible
		}
		t.checkLiveness(now, e, responsible)
	}
	return t.takePending(now)
}

// checkLiveness marks one endpoint as unresponsive or departed, if this member is responsible for it and the time for
// that has come. It removes the endpoint if it departed long ago.
func (t *Table) checkLiveness(now time.Time, e *entry, responsible bool) {
	if e.endpoint.State == state.EndpointDeparted {
		if now.Sub(e.departedAt) > tombstoneRetention {
			t.remove(e)
		}
		return
	}
	if responsible && !e.responsible {
		e.lastHeartbeat = now // the time-outs begin when this member becomes responsible
	}
	e.responsible = responsible
	if !responsible {
		return
	}
	sinceHeartbeat := now.Sub(e.lastHeartbeat)
	isRemovalOverdue := !e.removalDue.IsZero() && now.Sub(e.removalDue) > removalSlack
	unresponsiveTimeout := unresponsiveIntervals*t.options.HeartbeatInterval + unresponsiveSlack
	switch {
	case sinceHeartbeat > departedTimeout, isRemovalOverdue:
		t.markDeparted(now, e)
		t.pending[e.endpoint.ID] = e
	case sinceHeartbeat > unresponsiveTimeout && !e.endpoint.Unresponsive:
		t.markUnresponsive(e)
	}
}

// takePending returns the endpoints with a pending broadcast, ordered by ID, and records that they are broadcast.
func (t *Table) takePending(now time.Time) []state.Endpoint {
	if len(t.pending) == 0 {
		return nil
	}
	list := make([]state.Endpoint, 0, len(t.pending))
	for _, e := range t.pending {
		t.recordBroadcast(e)
		list = append(list, e.snapshotAt(now))
	}
	sortByID(list)
	return list
}

// remove removes an endpoint from the table and remembers its last version.
func (t *Table) remove(e *entry) {
	t.position++
	t.removals.add(t.position, e.endpoint.ID)
	t.removed.add(t.position, e.endpoint)
	delete(t.entries, e.endpoint.ID)
	delete(t.pending, e.endpoint.ID)
}
