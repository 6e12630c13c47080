package endpoints

import (
	"slices"
	"time"

	"rowanlink/serving/state"
)

// Heartbeat is one heartbeat of an endpoint.
type Heartbeat struct {
	Service         string
	Address         string
	Zone            string
	Edition         string
	Slots           int
	Closing         bool
	Sequence        uint64        // its own count of its calls
	WarmUpRemaining time.Duration // how much longer it is slow
	Remaining       time.Duration // until it is taken away; 0: not told
	Models          []state.Model
}

// Change is what a call has changed.
type Change struct {
	New       bool // an endpoint that was not known
	Stale     bool // a newer call was known already: nothing has changed
	Broadcast bool // the other members must be told
	// Copied: another member is known to hold this state of the endpoint.
	Replicated bool
}

// ReceiveHeartbeat takes a heartbeat in and returns the endpoint as it is known now.
func (t *Table) ReceiveHeartbeat(now time.Time, id string, beat Heartbeat) (state.Endpoint, Change) {
	e, known := t.entries[id]
	if known && beat.Sequence <= e.endpoint.Sequence {
		return e.snapshotAt(now), Change{Stale: true, Replicated: e.broadcast.replicated}
	}
	if !known {
		e = &entry{endpoint: state.Endpoint{ID: id}}
		t.entries[id] = e
	}
	moved := e.endpoint.Address != beat.Address
	before := e.endpoint
	t.applyHeartbeat(now, e, beat)
	change := Change{New: !known, Broadcast: e.needsBroadcast(before) || beat.Closing && !e.broadcast.replicated}
	if moved {
		t.markOthersSilent(e)
	}
	if change.Broadcast {
		t.recordChange(e)
		t.recordBroadcast(e)
	}
	change.Replicated = e.broadcast.replicated
	return e.snapshotAt(now), change
}

// applyHeartbeat writes a heartbeat into an entry.
func (t *Table) applyHeartbeat(now time.Time, e *entry, beat Heartbeat) {
	e.endpoint.Service, e.endpoint.Address, e.endpoint.Zone = beat.Service, beat.Address, beat.Zone
	e.endpoint.SoftwareVersion, e.endpoint.Slots, e.endpoint.Models = beat.Edition, beat.Slots, beat.Models
	e.endpoint.State = state.EndpointAccepting
	if beat.Closing {
		e.endpoint.State = state.EndpointDraining
	}
	e.endpoint.Sequence = beat.Sequence
	e.endpoint.Unresponsive = false
	e.endpoint.Failing = e.outlier.isEjected(now, t.options.HeartbeatInterval, e.lastHeartbeat)
	e.endpoint.Receiver = t.options.Self
	e.warmUpEnds = deadline(now, beat.WarmUpRemaining)
	e.removalDue = deadline(now, beat.Remaining)
	e.lastHeartbeat, e.responsible = now, true
	e.goneSince = time.Time{}
}

// needsBroadcast tells whether the other members must hear of an entry that was as before when they last might have.
func (e *entry) needsBroadcast(before state.Endpoint) bool {
	if !e.broadcast.exists || !isEquivalent(before, e.endpoint) {
		return true
	}
	coldLonger := e.warmUpEnds.After(e.broadcast.warmUpEnds.Add(timeTolerance))
	coldOver := e.warmUpEnds.IsZero() && !e.broadcast.warmUpEnds.IsZero()
	takenSooner := !e.removalDue.IsZero() &&
		(e.broadcast.removalDue.IsZero() || e.removalDue.Before(e.broadcast.removalDue.Add(-timeTolerance)))
	return coldLonger || coldOver || takenSooner
}

// isEquivalent tells whether two states of an endpoint mean the same to all who send it requests or judge it.
func isEquivalent(a, b state.Endpoint) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.SoftwareVersion == b.SoftwareVersion &&
		a.Slots == b.Slots && a.State == b.State && a.Unresponsive == b.Unresponsive && a.Failing == b.Failing &&
		a.Receiver == b.Receiver &&
		slices.EqualFunc(a.Models, b.Models, isSameModel)
}

func isSameModel(a, b state.Model) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// Deregister takes in that an endpoint has deregistered. It may serve on for a while what it has; it never comes back.
func (t *Table) Deregister(now time.Time, id string) (state.Endpoint, Change) {
	e, known := t.entries[id]
	if known && e.endpoint.Sequence == signedOffSequence {
		return e.snapshotAt(now), Change{Stale: true, Replicated: e.broadcast.replicated}
	}
	if !known {
		e = &entry{endpoint: state.Endpoint{ID: id}}
		t.entries[id] = e
	}
	e.endpoint.Sequence = signedOffSequence
	e.endpoint.Receiver = t.options.Self
	t.markGone(now, e)
	t.recordBroadcast(e)
	return e.snapshotAt(now), Change{New: !known, Broadcast: true}
}

// markGone marks an entry as gone.
func (t *Table) markGone(now time.Time, e *entry) {
	e.endpoint.State = state.EndpointDeparted
	e.endpoint.Unresponsive, e.endpoint.Failing = false, false
	e.goneSince = now
	e.warmUpEnds, e.removalDue = time.Time{}, time.Time{}
	t.recordChange(e)
}

// markOthersSilent marks the endpoints that had the address before as silent. They may have ended without a word, and
// may have moved.
func (t *Table) markOthersSilent(owner *entry) {
	for _, other := range t.entries {
		if other == owner || other.endpoint.Address != owner.endpoint.Address {
			continue
		}
		if other.endpoint.State != state.EndpointDeparted && !other.endpoint.Unresponsive {
			t.markSilent(other)
		}
	}
}

func (t *Table) markSilent(e *entry) {
	e.endpoint.Unresponsive = true
	t.recordChange(e)
	t.pending[e.endpoint.ID] = e
}

// MarkReplicated notes that another member holds a state of an endpoint. Older states than the last told change nothing.
func (t *Table) MarkReplicated(held state.Endpoint) {
	e, known := t.entries[held.ID]
	if !known {
		return
	}
	if major, minor := Version(held); major == e.broadcast.major && minor == e.broadcast.minor {
		e.broadcast.replicated = true
	}
}
