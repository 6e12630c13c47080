// Package endpoints keeps the table of all endpoints: what each has said of itself, whether it is silent and whether
// it is gone. It does no I/O; the time is an argument, of the steady clock of one process. A core member feeds a table
// with heartbeats and judges silence, an agent only merges what the spread brings; both are the same code.
package endpoints

import (
	"slices"
	"strings"
	"time"

	"rowanlink/serving/state"
)

// Times of the table.
const (
	// silentBeats and silentSlack: an endpoint is silent after so many intervals without a heartbeat and the slack.
	silentBeats = 3
	silentSlack = 500 * time.Millisecond
	// goneAfter is how long an endpoint may be silent before it counts as gone.
	goneAfter = 30 * time.Second
	// takenSlack is how long after the time that it named itself a closing endpoint counts as gone.
	takenSlack = time.Second
	// tombstoneKept is how long a gone endpoint is remembered, so that old news doesn't bring it back.
	tombstoneKept = 60 * time.Second
	// standstill: a longer pause between two sweeps means that this process stood still, not the endpoints.
	standstill = 2 * time.Second
	// timeSlack is by how much a told time may differ from the one before and still be the same.
	timeSlack = 500 * time.Millisecond
)

// Options of a table.
type Options struct {
	Self         string        // name of the member that owns the table
	BeatInterval time.Duration // between two heartbeats of an endpoint
	// Judges tells whether this member judges the silence of the endpoints whose heartbeats the named member
	// receives: itself, and others while they are down and this member holds that duty. It is called once a sweep
	// for each receiver. Nil: only itself.
	Judges func(receiver string) bool
}

// Table holds endpoints by ID. It must be used by one goroutine at a time.
type Table struct {
	options   Options
	entries   map[string]*entry
	position  uint64            // of the newest change
	forgotten forgottenList     // endpoints that have left the table
	pending   map[string]*entry // others must hear of them with the next sweep
	lastSweep time.Time
}

// entry is what is known of one endpoint. The times left in known are not kept up; the deadlines beside it stand
// for them.
type entry struct {
	known     state.Endpoint
	coldUntil time.Time // zero: not cold
	takenAt   time.Time // when it is taken away; zero: not told
	heard     time.Time // when its last call came, or when this member began to judge it
	judged    bool      // by this member, at the last sweep
	goneAt    time.Time // when it was found gone
	position  uint64    // in the table's changes
	told      told
	failing   outlier
}

// told is what the other members were last told of an endpoint, or told us.
type told struct {
	any       bool
	major     uint64
	minor     uint64
	coldUntil time.Time
	takenAt   time.Time
	copied    bool // another member is known to hold this version
}

// NewTable makes an empty table.
func NewTable(options Options) *Table {
	if options.Judges == nil {
		self := options.Self
		options.Judges = func(receiver string) bool { return receiver == self }
	}
	return &Table{options: options, entries: make(map[string]*entry), pending: make(map[string]*entry)}
}

// Get returns an endpoint as it is known now.
func (t *Table) Get(now time.Time, id string) (state.Endpoint, bool) {
	found, ok := t.entries[id]
	if !ok {
		return state.Endpoint{}, false
	}
	return found.at(now), true
}

// All returns all endpoints, also those that are gone and not forgotten yet, ordered by ID.
func (t *Table) All(now time.Time) []state.Endpoint {
	return t.list(now, func(*entry) bool { return true })
}

// Live returns the endpoints that are not gone, ordered by ID.
func (t *Table) Live(now time.Time) []state.Endpoint {
	return t.list(now, func(e *entry) bool { return e.known.State != state.EndpointDeparted })
}

func (t *Table) list(now time.Time, wanted func(*entry) bool) []state.Endpoint {
	list := make([]state.Endpoint, 0, len(t.entries))
	for _, e := range t.entries {
		if wanted(e) {
			list = append(list, e.at(now))
		}
	}
	slices.SortFunc(list, func(a, b state.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// at returns the endpoint with the times that are left now.
func (e *entry) at(now time.Time) state.Endpoint {
	endpoint := e.known
	endpoint.WarmupLeftMillis = millisLeft(now, e.coldUntil)
	endpoint.RemovalInMillis = 0
	if !e.takenAt.IsZero() {
		endpoint.RemovalInMillis = max(1, millisLeft(now, e.takenAt))
	}
	return endpoint
}

// millisLeft rounds up, so that a span passed on is never too short.
func millisLeft(now, deadline time.Time) int64 {
	if !deadline.After(now) {
		return 0
	}
	return int64((deadline.Sub(now) + time.Millisecond - 1) / time.Millisecond)
}

// deadline turns a time left into a time of the steady clock.
func deadline(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// touch makes an entry the newest change.
func (t *Table) touch(e *entry) {
	t.position++
	e.position = t.position
}

// tell notes that the other members are told of an entry as it is.
func (t *Table) tell(e *entry) {
	major, minor := Version(e.known)
	e.told = told{any: true, major: major, minor: minor, coldUntil: e.coldUntil, takenAt: e.takenAt}
	delete(t.pending, e.known.ID)
}
