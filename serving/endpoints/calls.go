package endpoints

import (
	"slices"
	"time"

	"rowanlink/serving/state"
)

// Beat is one heartbeat of an endpoint.
type Beat struct {
	Service   string
	Address   string
	Zone      string
	Edition   string
	Slots     int
	Closing   bool
	Sequence  uint64        // its own count of its calls
	ColdLeft  time.Duration // how much longer it is slow
	Remaining time.Duration // until it is taken away; 0: not told
	Models    []state.Model
}

// Change is what a call has changed.
type Change struct {
	New    bool // an endpoint that was not known
	Late   bool // a newer call was known already: nothing has changed
	Spread bool // the other members must be told
	// Copied: another member is known to hold this state of the endpoint.
	Copied bool
}

// Beat takes a heartbeat in and returns the endpoint as it is known now.
func (t *Table) Beat(now time.Time, id string, beat Beat) (state.Endpoint, Change) {
	e, known := t.entries[id]
	if known && beat.Sequence <= e.known.Sequence {
		return e.at(now), Change{Late: true, Copied: e.told.copied}
	}
	if !known {
		e = &entry{known: state.Endpoint{ID: id}}
		t.entries[id] = e
	}
	moved := e.known.Address != beat.Address
	before := e.known
	t.apply(now, e, beat)
	change := Change{New: !known, Spread: e.matters(before) || beat.Closing && !e.told.copied}
	if moved {
		t.silenceOthersAt(e)
	}
	if change.Spread {
		t.touch(e)
		t.tell(e)
	}
	change.Copied = e.told.copied
	return e.at(now), change
}

// apply writes a heartbeat into an entry.
func (t *Table) apply(now time.Time, e *entry, beat Beat) {
	e.known.Service, e.known.Address, e.known.Zone = beat.Service, beat.Address, beat.Zone
	e.known.SoftwareVersion, e.known.Slots, e.known.Models = beat.Edition, beat.Slots, beat.Models
	e.known.State = state.EndpointAccepting
	if beat.Closing {
		e.known.State = state.EndpointDraining
	}
	e.known.Sequence = beat.Sequence
	e.known.Unresponsive = false
	e.known.Failing = e.failing.holds(now, t.options.BeatInterval, e.heard)
	e.known.Receiver = t.options.Self
	e.coldUntil = deadline(now, beat.ColdLeft)
	e.takenAt = deadline(now, beat.Remaining)
	e.heard, e.judged = now, true
	e.goneAt = time.Time{}
}

// matters tells whether the other members must hear of an entry that was as before when they last might have.
func (e *entry) matters(before state.Endpoint) bool {
	if !e.told.any || !alike(before, e.known) {
		return true
	}
	coldLonger := e.coldUntil.After(e.told.coldUntil.Add(timeSlack))
	coldOver := e.coldUntil.IsZero() && !e.told.coldUntil.IsZero()
	takenSooner := !e.takenAt.IsZero() &&
		(e.told.takenAt.IsZero() || e.takenAt.Before(e.told.takenAt.Add(-timeSlack)))
	return coldLonger || coldOver || takenSooner
}

// alike tells whether two states of an endpoint mean the same to all who send it requests or judge it.
func alike(a, b state.Endpoint) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.SoftwareVersion == b.SoftwareVersion &&
		a.Slots == b.Slots && a.State == b.State && a.Unresponsive == b.Unresponsive && a.Failing == b.Failing &&
		a.Receiver == b.Receiver &&
		slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b state.Model) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// SignOff takes in that an endpoint has signed off. It may serve on for a while what it has; it never comes back.
func (t *Table) SignOff(now time.Time, id string) (state.Endpoint, Change) {
	e, known := t.entries[id]
	if known && e.known.Sequence == signedOffSequence {
		return e.at(now), Change{Late: true, Copied: e.told.copied}
	}
	if !known {
		e = &entry{known: state.Endpoint{ID: id}}
		t.entries[id] = e
	}
	e.known.Sequence = signedOffSequence
	e.known.Receiver = t.options.Self
	t.end(now, e)
	t.tell(e)
	return e.at(now), Change{New: !known, Spread: true}
}

// end marks an entry as gone.
func (t *Table) end(now time.Time, e *entry) {
	e.known.State = state.EndpointDeparted
	e.known.Unresponsive, e.known.Failing = false, false
	e.goneAt = now
	e.coldUntil, e.takenAt = time.Time{}, time.Time{}
	t.touch(e)
}

// silenceOthersAt marks the endpoints that had the address before as silent. They may have ended without a word, and
// may have moved.
func (t *Table) silenceOthersAt(owner *entry) {
	for _, other := range t.entries {
		if other == owner || other.known.Address != owner.known.Address {
			continue
		}
		if other.known.State != state.EndpointDeparted && !other.known.Unresponsive {
			t.silence(other)
		}
	}
}

func (t *Table) silence(e *entry) {
	e.known.Unresponsive = true
	t.touch(e)
	t.pending[e.known.ID] = e
}

// Copied notes that another member holds a state of an endpoint. Older states than the last told change nothing.
func (t *Table) Copied(held state.Endpoint) {
	e, known := t.entries[held.ID]
	if !known {
		return
	}
	if major, minor := Version(held); major == e.told.major && minor == e.told.minor {
		e.told.copied = true
	}
}
