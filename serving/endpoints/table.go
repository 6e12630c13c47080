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
	// silentIntervals and silentSlack: an endpoint is silent after so many intervals without a heartbeat and the slack.
	silentIntervals = 3
	silentSlack     = 500 * time.Millisecond
	// goneTimeout is how long an endpoint may be silent before it counts as gone.
	goneTimeout = 30 * time.Second
	// removalSlack is how long after the time that it named itself a closing endpoint counts as gone.
	removalSlack = time.Second
	// tombstoneRetention is how long a gone endpoint is remembered, so that old news doesn't bring it back.
	tombstoneRetention = 60 * time.Second
	// standstill: a longer pause between two sweeps means that this process stood still, not the endpoints.
	maxSweepPause = 2 * time.Second
	// timeTolerance is by how much a told time may differ from the one before and still be the same.
	timeTolerance = 500 * time.Millisecond
)

// Options of a table.
type Options struct {
	Self              string        // name of the member that owns the table
	HeartbeatInterval time.Duration // between two heartbeats of an endpoint
	// IsResponsibleFor tells whether this member judges the silence of the endpoints whose heartbeats the named member
	// receives: itself, and others while they are down and this member holds that duty. It is called once a sweep
	// for each receiver. Nil: only itself.
	IsResponsibleFor func(receiver string) bool
}

// Table holds endpoints by ID. It must be used by one goroutine at a time.
type Table struct {
	options   Options
	entries   map[string]*entry
	position  uint64            // of the newest change
	removals  removalLog        // endpoints that have left the table
	pending   map[string]*entry // others must hear of them with the next sweep
	lastSweep time.Time
}

// entry is what is known of one endpoint. The times left in known are not kept up; the deadlines beside it stand
// for them.
type entry struct {
	endpoint       state.Endpoint
	warmUpEnds     time.Time // zero: not cold
	removalDue     time.Time // when it is taken away; zero: not told
	lastHeartbeat  time.Time // when its last call came, or when this member began to judge it
	responsible    bool      // by this member, at the last sweep
	goneSince      time.Time // when it was found gone
	changePosition uint64    // in the table's changes
	broadcast      broadcastState
	outlier        outlierState
}

// broadcastState is what the other members were last told of an endpoint, or told us.
type broadcastState struct {
	exists     bool
	major      uint64
	minor      uint64
	warmUpEnds time.Time
	removalDue time.Time
	replicated bool // another member is known to hold this version
}

// NewTable makes an empty table.
func NewTable(options Options) *Table {
	if options.IsResponsibleFor == nil {
		self := options.Self
		options.IsResponsibleFor = func(receiver string) bool { return receiver == self }
	}
	return &Table{options: options, entries: make(map[string]*entry), pending: make(map[string]*entry)}
}

// Get returns an endpoint as it is known now.
func (t *Table) Get(now time.Time, id string) (state.Endpoint, bool) {
	found, ok := t.entries[id]
	if !ok {
		return state.Endpoint{}, false
	}
	return found.snapshotAt(now), true
}

// All returns all endpoints, also those that are gone and not forgotten yet, ordered by ID.
func (t *Table) All(now time.Time) []state.Endpoint {
	return t.listWhere(now, func(*entry) bool { return true })
}

// Live returns the endpoints that are not gone, ordered by ID.
func (t *Table) Live(now time.Time) []state.Endpoint {
	return t.listWhere(now, func(e *entry) bool { return e.endpoint.State != state.EndpointDeparted })
}

func (t *Table) listWhere(now time.Time, wanted func(*entry) bool) []state.Endpoint {
	list := make([]state.Endpoint, 0, len(t.entries))
	for _, e := range t.entries {
		if wanted(e) {
			list = append(list, e.snapshotAt(now))
		}
	}
	slices.SortFunc(list, func(a, b state.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// snapshotAt returns the endpoint with the times that are left now.
func (e *entry) snapshotAt(now time.Time) state.Endpoint {
	endpoint := e.endpoint
	endpoint.WarmupLeftMillis = millisLeft(now, e.warmUpEnds)
	endpoint.RemovalInMillis = 0
	if !e.removalDue.IsZero() {
		endpoint.RemovalInMillis = max(1, millisLeft(now, e.removalDue))
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

// recordChange makes an entry the newest change.
func (t *Table) recordChange(e *entry) {
	t.position++
	e.changePosition = t.position
}

// recordBroadcast notes that the other members are told of an entry as it is.
func (t *Table) recordBroadcast(e *entry) {
	major, minor := Version(e.endpoint)
	e.broadcast = broadcastState{exists: true, major: major, minor: minor, warmUpEnds: e.warmUpEnds, removalDue: e.removalDue}
	delete(t.pending, e.endpoint.ID)
}
