// Package endpoints holds the table of all endpoints: what each reports about itself, and whether it is unresponsive,
// failing or departed. A core member feeds its table with heartbeats and detects unresponsive endpoints; an agent only
// merges what is gossiped. Table does no I/O: times are arguments, of one process's monotonic clock. SharedTable runs a
// Table for several goroutines.
package endpoints

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// Time-outs of the table.
const (
	// unresponsiveIntervals is the number of heartbeat intervals which, with unresponsiveSlack added, may pass without
	// a heartbeat before an endpoint is unresponsive.
	unresponsiveIntervals = 3
	unresponsiveSlack     = 500 * time.Millisecond
	// departedTimeout is how long an endpoint may send no heartbeat before it counts as departed.
	departedTimeout = 30 * time.Second
	// removalSlack is how long after its announced removal a draining endpoint counts as departed.
	removalSlack = time.Second
	// tombstoneRetention is how long a departed endpoint is retained, so that an old update doesn't bring it back.
	tombstoneRetention = 60 * time.Second
	// maxSweepInterval is the longest interval between two sweeps after which missing heartbeats count against the
	// endpoints.
	maxSweepInterval = 2 * time.Second
	// timeTolerance is the difference up to which a broadcast time counts as unchanged.
	timeTolerance = 500 * time.Millisecond
)

// Options configures a Table.
type Options struct {
	Self              string        // name of the local member
	HeartbeatInterval time.Duration // between two heartbeats of an endpoint
	// IsResponsibleFor reports whether this member decides on the liveness of the endpoints whose heartbeats the named
	// member receives: itself, and others while they are down and this member holds the singleton role for that. It is
	// called once a sweep for each receiver. Nil: only itself.
	IsResponsibleFor func(receiver string) bool
}

// Table holds endpoints by ID. It is not safe for concurrent use.
type Table struct {
	options   Options
	entries   map[string]*entry
	position  uint64     // of the newest change
	removals  removalLog // of endpoints
	removed   removedEndpoints
	pending   map[string]*entry // to be broadcast by the next sweep, by ID
	lastSweep time.Time
}

// entry is an endpoint with its state in the table. The remaining times in endpoint are not updated; the deadlines
// beside it replace them.
type entry struct {
	endpoint       state.Endpoint
	warmupEnds     time.Time // zero: warmed up
	removalDue     time.Time // zero: not announced
	lastHeartbeat  time.Time // or when this member became responsible
	responsible    bool      // whether this member was responsible at the last sweep
	departedAt     time.Time
	successor      *Heartbeat // that may be of a new process, which is being checked; nil: none
	changePosition uint64     // of its newest change
	broadcast      broadcastState
	outlier        outlierState
}

// broadcastState is the last state of an endpoint that was exchanged with the other members.
type broadcastState struct {
	exists     bool
	version    gossip.Version
	warmupEnds time.Time
	removalDue time.Time
	replicated bool // a majority of the voters is known to have it on disk
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	if options.IsResponsibleFor == nil {
		self := options.Self
		options.IsResponsibleFor = func(receiver string) bool { return receiver == self }
	}
	return &Table{
		options: options,
		entries: make(map[string]*entry),
		pending: make(map[string]*entry),
		removed: newRemovedEndpoints(),
	}
}

// Get returns the present state of an endpoint.
func (t *Table) Get(now time.Time, id string) (state.Endpoint, bool) {
	found, ok := t.entries[id]
	if !ok {
		return state.Endpoint{}, false
	}
	return found.snapshotAt(now), true
}

// All returns all endpoints, also those that have departed and are not removed yet, ordered by ID.
func (t *Table) All(now time.Time) []state.Endpoint {
	return t.listWhere(now, func(*entry) bool { return true })
}

// Live returns the endpoints that have not departed, ordered by ID.
func (t *Table) Live(now time.Time) []state.Endpoint {
	return t.listWhere(now, func(e *entry) bool { return e.endpoint.State != state.EndpointDeparted })
}

// listWhere returns the matching endpoints, ordered by ID.
func (t *Table) listWhere(now time.Time, matches func(*entry) bool) []state.Endpoint {
	list := make([]state.Endpoint, 0, len(t.entries))
	for _, e := range t.entries {
		if matches(e) {
			list = append(list, e.snapshotAt(now))
		}
	}
	sortByID(list)
	return list
}

// snapshotAt returns the endpoint with the times that remain at now.
func (e *entry) snapshotAt(now time.Time) state.Endpoint {
	endpoint := e.endpoint
	endpoint.WarmupLeftMillis = millisLeft(now, e.warmupEnds)
	endpoint.RemovalInMillis = 0
	if !e.removalDue.IsZero() {
		endpoint.RemovalInMillis = max(1, millisLeft(now, e.removalDue))
	}
	return endpoint
}

// millisLeft returns the milliseconds until the deadline, rounded up, so that they are never too few; 0 after it.
func millisLeft(now, deadline time.Time) int64 {
	if !deadline.After(now) {
		return 0
	}
	return int64((deadline.Sub(now) + time.Millisecond - 1) / time.Millisecond)
}

// deadline returns the time at which a remaining time is over; zero where none remains.
func deadline(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// recordChange sets an entry's position to that of the newest change.
func (t *Table) recordChange(e *entry) {
	t.position++
	e.changePosition = t.position
}

// recordBroadcast records that the present state of an entry is exchanged with the other members.
func (t *Table) recordBroadcast(e *entry) {
	e.broadcast = broadcastState{
		exists:     true,
		version:    VersionOf(e.endpoint),
		warmupEnds: e.warmupEnds,
		removalDue: e.removalDue,
	}
	delete(t.pending, e.endpoint.ID)
}
