package endpoints

import (
	"slices"
	"time"

	"rowanlink/serving/state"
)

// Heartbeat is what an endpoint reports about itself with each heartbeat.
type Heartbeat struct {
	Service         string
	Address         string
	Zone            string
	SoftwareVersion string
	Slots           int
	Draining        bool
	Sequence        uint64        // number of the call, counted by the endpoint's process
	WarmupLeft      time.Duration // until the endpoint is warmed up
	RemovalIn       time.Duration // until its announced removal; 0: none announced
	Models          []state.Model
}

// Change is the effect of a heartbeat or a deregistration on the table.
type Change struct {
	New       bool // the endpoint wasn't in the table
	Stale     bool // the call is outdated or was processed already: the endpoint is unchanged
	Broadcast bool // the caller has to gossip the endpoint
	// Replicated means that a majority of the voters is known to have this version of the endpoint on disk.
	Replicated bool
	// CheckSuccessor means that the heartbeat may come from a new process under the same ID; see mayBeSuccessor. The
	// caller asks the process at the heartbeat's address, and passes the result to ResolveSuccessor. Until then no further
	// check of the endpoint is requested.
	CheckSuccessor bool
}

// ReceiveHeartbeat processes a heartbeat and returns the endpoint's state afterwards.
func (t *Table) ReceiveHeartbeat(now time.Time, id string, heartbeat Heartbeat) (state.Endpoint, Change) {
	e, known := t.entries[id]
	if !known {
		e = t.addEntry(id)
	}
	before := e.endpoint
	switch {
	case !known:
	case isSuccessorDraining(before, heartbeat):
		e.endpoint.Registration++
	case heartbeat.Sequence <= before.Sequence, isOfEarlierRegistration(before, heartbeat):
		return e.snapshotAt(now), e.receiveStaleHeartbeat(heartbeat)
	}
	change := t.acceptHeartbeat(now, e, before, heartbeat)
	change.New = !known
	return e.snapshotAt(now), change
}

// receiveStaleHeartbeat processes a stale heartbeat: one whose sequence isn't higher than the known one, or that comes
// from an earlier registration. It is a delayed or duplicated call, or comes from a new process that counts its calls
// anew.
func (e *entry) receiveStaleHeartbeat(heartbeat Heartbeat) Change {
	change := Change{Stale: true, Replicated: e.broadcast.replicated}
	switch {
	case !mayBeSuccessor(e.endpoint, heartbeat):
		e.successor = nil // no check is needed: the known process is serving, or the sender is draining
	case e.successor == nil:
		e.successor = &heartbeat
		change.CheckSuccessor = true
	}
	return change
}

// acceptHeartbeat applies a heartbeat that isn't stale to an entry, given the endpoint before the change. A draining
// endpoint is broadcast with each heartbeat until it is replicated.
func (t *Table) acceptHeartbeat(now time.Time, e *entry, before state.Endpoint, heartbeat Heartbeat) (change Change) {
	t.applyHeartbeat(now, e, heartbeat)
	t.removed.raiseRegistration(&e.endpoint)
	change.Broadcast = e.needsBroadcast(before) || heartbeat.Draining && !e.broadcast.replicated
	if before.Address != heartbeat.Address {
		t.markOthersUnresponsive(e)
	}
	if change.Broadcast {
		t.recordChange(e)
		t.recordBroadcast(e)
	}
	change.Replicated = e.broadcast.replicated
	return change
}

// applyHeartbeat copies a heartbeat into an entry.
func (t *Table) applyHeartbeat(now time.Time, e *entry, heartbeat Heartbeat) {
	endpoint := &e.endpoint
	endpoint.Service = heartbeat.Service
	endpoint.Address = heartbeat.Address
	endpoint.Zone = heartbeat.Zone
	endpoint.SoftwareVersion = heartbeat.SoftwareVersion
	endpoint.Slots = heartbeat.Slots
	endpoint.Models = heartbeat.Models
	endpoint.State = state.EndpointAccepting
	if heartbeat.Draining {
		endpoint.State = state.EndpointDraining
	}
	endpoint.Sequence = heartbeat.Sequence
	endpoint.LastSequence = 0
	endpoint.Unresponsive = false
	e.outlier.resetAfterAbsence(now.Sub(e.lastHeartbeat), t.options.HeartbeatInterval)
	endpoint.Failing = e.outlier.isEjected(now)
	endpoint.Receiver = t.options.Self
	e.warmupEnds = deadline(now, heartbeat.WarmupLeft)
	e.removalDue = deadline(now, heartbeat.RemovalIn)
	e.lastHeartbeat = now
	e.responsible = true
	e.departedAt = time.Time{}
	e.successor = nil
}

// needsBroadcast reports whether the entry's state has to be broadcast to the other members, given the endpoint before
// the change.
func (e *entry) needsBroadcast(before state.Endpoint) bool {
	if !e.broadcast.exists || !isEquivalent(before, e.endpoint) {
		return true
	}
	warmupExtended := e.warmupEnds.After(e.broadcast.warmupEnds.Add(timeTolerance))
	warmedUp := e.warmupEnds.IsZero() && !e.broadcast.warmupEnds.IsZero()
	removalIsEarlier := !e.removalDue.IsZero() &&
		(e.broadcast.removalDue.IsZero() || e.removalDue.Before(e.broadcast.removalDue.Add(-timeTolerance)))
	return warmupExtended || warmedUp || removalIsEarlier
}

// isEquivalent reports whether two states of an endpoint are the same to proxies and to the member responsible for the
// endpoint: all fields that these use are equal.
func isEquivalent(a, b state.Endpoint) bool {
	return a.Service == b.Service &&
		a.Address == b.Address &&
		a.Zone == b.Zone &&
		a.SoftwareVersion == b.SoftwareVersion &&
		a.Slots == b.Slots &&
		a.State == b.State &&
		a.Unresponsive == b.Unresponsive &&
		a.Failing == b.Failing &&
		a.Receiver == b.Receiver &&
		a.Registration == b.Registration &&
		slices.EqualFunc(a.Models, b.Models, isSameModel)
}

func isSameModel(a, b state.Model) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// Deregister processes the deregistration of an endpoint, which counts as departed from then on. Its process may still
// finish its requests, and never registers again. For a new process under the same ID see mayBeSuccessor.
func (t *Table) Deregister(now time.Time, id string) (state.Endpoint, Change) {
	e, known := t.entries[id]
	if known && e.endpoint.Sequence == deregisteredSequence {
		e.successor = nil // it may be the successor that has departed
		return e.snapshotAt(now), Change{Stale: true, Replicated: e.broadcast.replicated}
	}
	if !known {
		e = t.addEntry(id)
	}
	e.endpoint.LastSequence = e.endpoint.Sequence
	e.endpoint.Sequence = deregisteredSequence
	e.endpoint.Receiver = t.options.Self
	e.successor = nil
	t.markDeparted(now, e)
	t.recordBroadcast(e)
	return e.snapshotAt(now), Change{New: !known, Broadcast: true}
}

// addEntry adds an entry for an endpoint that isn't in the table.
func (t *Table) addEntry(id string) *entry {
	e := &entry{endpoint: state.Endpoint{ID: id, Registration: t.removed.byID[id].registration}}
	t.entries[id] = e
	return e
}

// markDeparted marks an endpoint as departed.
func (t *Table) markDeparted(now time.Time, e *entry) {
	e.endpoint.State = state.EndpointDeparted
	e.endpoint.Unresponsive = false
	e.endpoint.Failing = false
	e.departedAt = now
	e.warmupEnds = time.Time{}
	e.removalDue = time.Time{}
	t.recordChange(e)
}

// markOthersUnresponsive marks the other endpoints at the address of the current one as unresponsive. They may have
// crashed, or may have moved to another address.
func (t *Table) markOthersUnresponsive(current *entry) {
	for _, other := range t.entries {
		if other == current || other.endpoint.Address != current.endpoint.Address {
			continue
		}
		if other.endpoint.State != state.EndpointDeparted && !other.endpoint.Unresponsive {
			t.markUnresponsive(other)
		}
	}
}

// markUnresponsive marks an endpoint as unresponsive, which the next sweep broadcasts.
func (t *Table) markUnresponsive(e *entry) {
	e.endpoint.Unresponsive = true
	t.recordChange(e)
	t.pending[e.endpoint.ID] = e
}

// MarkReplicated records that a majority of the voters has a version of an endpoint on disk. Any version but the last
// broadcast one is ignored.
func (t *Table) MarkReplicated(stored state.Endpoint) {
	e, known := t.entries[stored.ID]
	if !known {
		return
	}
	if VersionOf(stored) == e.broadcast.version {
		e.broadcast.replicated = true
	}
}
