package endpoints

import (
	"time"

	"rowanlink/serving/state"
)

// Merge applies the state of an endpoint that another member has gossiped, and reports whether it was newer than the
// known state. If it is older, and this member receives the endpoint's heartbeats, the next sweep broadcasts the known
// state.
func (t *Table) Merge(now time.Time, update state.Endpoint) bool {
	if update.ID == "" {
		return false
	}
	e, known := t.entries[update.ID]
	if known && !isNewer(update, e.endpoint) {
		t.correctStaleUpdate(e, update)
		return false
	}
	if !known {
		e = &entry{}
		t.entries[update.ID] = e
	}
	moved := e.endpoint.Address != update.Address
	t.adoptUpdate(now, e, update)
	if moved && update.State == state.EndpointAccepting && !update.Unresponsive {
		t.markPredecessorsUnresponsive(e)
	}
	return true
}

// adoptUpdate replaces the state of an entry by another member's. The state doesn't count as replicated: a majority of
// the voters may be more than these two members, and neither may have it on disk.
func (t *Table) adoptUpdate(now time.Time, e *entry, update state.Endpoint) {
	if update.Service == "" { // it was deregistered at a member that didn't know the endpoint
		update.Service = e.endpoint.Service
		update.Address = e.endpoint.Address
		update.Zone = e.endpoint.Zone
		update.SoftwareVersion = e.endpoint.SoftwareVersion
		update.Slots = e.endpoint.Slots
		update.Models = e.endpoint.Models
	}
	if update.State == state.EndpointDeparted && e.endpoint.State != state.EndpointDeparted {
		e.departedAt = now
	}
	e.warmupEnds = deadline(now, time.Duration(update.WarmupLeftMillis)*time.Millisecond)
	e.removalDue = deadline(now, time.Duration(update.RemovalInMillis)*time.Millisecond)
	e.endpoint = update
	e.lastHeartbeat = now
	e.responsible = false
	e.successor = nil
	t.recordChange(e)
	t.recordBroadcast(e)
}

// correctStaleUpdate makes the next sweep broadcast an entry if this member receives the endpoint's heartbeats and the
// update is older and different. An update of the same version is ignored: it may be this member's own broadcast,
// relayed back.
func (t *Table) correctStaleUpdate(e *entry, update state.Endpoint) {
	isReceiver := e.endpoint.Receiver == t.options.Self
	if isReceiver && isNewer(e.endpoint, update) && !isEquivalent(e.endpoint, update) {
		t.pending[e.endpoint.ID] = e
	}
}

// markPredecessorsUnresponsive marks the other endpoints at the address of the current one as unresponsive if this
// member is responsible for them. The members that are responsible for the rest do the same.
func (t *Table) markPredecessorsUnresponsive(current *entry) {
	for _, other := range t.entries {
		endpoint := &other.endpoint
		isPredecessor := other != current &&
			endpoint.Address == current.endpoint.Address &&
			endpoint.State != state.EndpointDeparted
		if isPredecessor && !endpoint.Unresponsive && t.options.IsResponsibleFor(endpoint.Receiver) {
			t.markUnresponsive(other)
		}
	}
}
