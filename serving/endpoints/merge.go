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
	if known && !newer(told, e.known) {
		t.answerOlder(e, told)
		return false
	}
	if !known {
		e = &entry{}
		t.entries[told.ID] = e
	}
	moved := e.known.Address != told.Address
	t.adopt(now, e, told)
	if moved && told.State != state.EndpointDeparted && !told.Unresponsive {
		t.silenceJudgedAt(e)
	}
	return true
}

// adopt makes what another member has told what this one knows.
func (t *Table) adopt(now time.Time, e *entry, told state.Endpoint) {
	if told.Service == "" { // signed off where nothing was known of it
		told.Service, told.Address, told.Zone = e.known.Service, e.known.Address, e.known.Zone
		told.SoftwareVersion, told.Slots, told.Models = e.known.SoftwareVersion, e.known.Slots, e.known.Models
	}
	if told.State == state.EndpointDeparted && e.known.State != state.EndpointDeparted {
		e.goneAt = now
	}
	e.coldUntil = deadline(now, time.Duration(told.WarmupLeftMillis)*time.Millisecond)
	e.takenAt = deadline(now, time.Duration(told.RemovalInMillis)*time.Millisecond)
	e.known = told
	e.heard, e.judged = now, false
	t.touch(e)
	t.tell(e)
	e.told.copied = true
}

// answerOlder has the others told again where they hold old news that says something else. News of the same version
// changes nothing: it may be this member's own word, come back from its spread.
func (t *Table) answerOlder(e *entry, told state.Endpoint) {
	if newer(e.known, told) && e.known.Receiver == t.options.Self && !alike(e.known, told) {
		t.pending[e.known.ID] = e
	}
}

// silenceJudgedAt marks those endpoints as silent that had the address before and are judged here. The members that
// judge others do the same.
func (t *Table) silenceJudgedAt(owner *entry) {
	for _, other := range t.entries {
		if other == owner || other.known.Address != owner.known.Address || other.known.State == state.EndpointDeparted {
			continue
		}
		if !other.known.Unresponsive && t.options.Judges(other.known.Receiver) {
			t.silence(other)
		}
	}
}
