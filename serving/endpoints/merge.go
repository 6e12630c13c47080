package endpoints

import (
	"time"

	"rowanlink/serving/state"
)

// Merge takes in what the spread has brought of an endpoint. It tells whether that was news. Where this member knows
// better, because it receives the endpoint's heartbeats, the next sweep says so.
func (t *Table) Merge(now time.Time, told state.Endpoint) bool {
	if told.ID == "" {
		return false
	}
	e, known := t.entries[told.ID]
	if known && !isNewer(told, e.endpoint) {
		t.correctStaleUpdate(e, told)
		return false
	}
	if !known {
		e = &entry{}
		t.entries[told.ID] = e
	}
	moved := e.endpoint.Address != told.Address
	t.adoptUpdate(now, e, told)
	if moved && told.State != state.EndpointDeparted && !told.Unresponsive {
		t.markPredecessorsSilent(e)
	}
	return true
}

// adoptUpdate makes what another member has told what this one knows.
func (t *Table) adoptUpdate(now time.Time, e *entry, told state.Endpoint) {
	if told.Service == "" { // signed off where nothing was known of it
		told.Service, told.Address, told.Zone = e.endpoint.Service, e.endpoint.Address, e.endpoint.Zone
		told.SoftwareVersion, told.Slots, told.Models = e.endpoint.SoftwareVersion, e.endpoint.Slots, e.endpoint.Models
	}
	if told.State == state.EndpointDeparted && e.endpoint.State != state.EndpointDeparted {
		e.goneSince = now
	}
	e.warmUpEnds = deadline(now, time.Duration(told.WarmupLeftMillis)*time.Millisecond)
	e.removalDue = deadline(now, time.Duration(told.RemovalInMillis)*time.Millisecond)
	e.endpoint = told
	e.lastHeartbeat, e.responsible = now, false
	t.recordChange(e)
	t.recordBroadcast(e)
	e.broadcast.replicated = true
}

// correctStaleUpdate has the others told again where they hold old news that says something else. News of the same version
// changes nothing: it may be this member's own word, come back from its spread.
func (t *Table) correctStaleUpdate(e *entry, told state.Endpoint) {
	if isNewer(e.endpoint, told) && e.endpoint.Receiver == t.options.Self && !isEquivalent(e.endpoint, told) {
		t.pending[e.endpoint.ID] = e
	}
}

// markPredecessorsSilent marks those endpoints as silent that had the address before and are judged here. The members that
// judge others do the same.
func (t *Table) markPredecessorsSilent(owner *entry) {
	for _, other := range t.entries {
		if other == owner || other.endpoint.Address != owner.endpoint.Address || other.endpoint.State == state.EndpointDeparted {
			continue
		}
		if !other.endpoint.Unresponsive && t.options.IsResponsibleFor(other.endpoint.Receiver) {
			t.markSilent(other)
		}
	}
}
