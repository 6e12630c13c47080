// Package endpoints holds the table of all endpoints, the processes to which proxies send a service's requests. The
// table has what each endpoint reports about itself, and whether it is unresponsive, failing or departed.
//
// Endpoints send heartbeats to core members. The core member that has received an endpoint's last heartbeat, its
// receiver, detects whether the endpoint is unresponsive and gossips its state; the other members and the agents merge
// what is gossiped. Table does no I/O: the present time is an argument, from one process's monotonic clock. SharedTable
// makes a Table safe for concurrent use.
//
// # Order of states
//
// An endpoint's process counts its calls (Sequence), so that delayed and duplicated calls are recognized. A new process
// may register under the ID of a departed one and start counting anew; Registration counts these processes. The version
// of a state in gossip follows from both: see VersionOf.
package endpoints

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// Time-outs of the table.
const (
	// An endpoint is unresponsive if no heartbeat has arrived for longer than unresponsiveIntervals heartbeat intervals
	// plus unresponsiveSlack.
	unresponsiveIntervals = 3
	unresponsiveSlack     = 500 * time.Millisecond
	// departedTimeout is the time without a heartbeat after which an endpoint counts as departed.
	departedTimeout = 30 * time.Second
	// removalSlack is how long after its announced removal a draining endpoint counts as departed.
	removalSlack = time.Second
	// tombstoneRetention is how long a departed endpoint stays in the table, so that an old update doesn't bring it back.
	tombstoneRetention = 60 * time.Second
	// maxSweepInterval is the interval between two sweeps above which this process counts as having been suspended: it
	// can't tell whether heartbeats were missing.
	maxSweepInterval = 2 * time.Second
	// timeTolerance is the difference up to which a deadline counts as equal to the broadcast one.
	timeTolerance = 500 * time.Millisecond
)

// Options configures a Table.
type Options struct {
	Self              string        // name of the local member
	HeartbeatInterval time.Duration // between two heartbeats of an endpoint
	// IsResponsibleFor reports whether this member decides on the liveness of the endpoints whose heartbeats the named
	// member receives. That is so for this member itself, and for one that is down while this member holds the singleton
	// role for that. It is called once per sweep and receiver. Nil: responsible only for its own endpoints.
	IsResponsibleFor func(receiver string) bool
}

// Table holds endpoints by ID. It is not safe for concurrent use.
type Table struct {
	options   Options
	entries   map[string]*entry
	position  uint64            // counts the changes of the table
	removals  removalLog        // for ChangesSince
	removed   removedEndpoints  // for new processes under the ID of a removed endpoint
	pending   map[string]*entry // to be broadcast by the next sweep, by ID
	lastSweep time.Time
}

// entry is an endpoint in the table. WarmupLeftMillis and RemovalInMillis of the field endpoint are not kept up to
// date: warmupEnds and removalDue count instead.
type entry struct {
	endpoint       state.Endpoint
	warmupEnds     time.Time // zero: warmed up
	removalDue     time.Time // zero: no removal announced
	lastHeartbeat  time.Time // its arrival, or when this member became responsible, if that was later
	responsible    bool      // whether this member was responsible at the last sweep
	departedAt     time.Time
	successor      *Heartbeat // of what may be a new process under the ID, while that is checked; nil: no check
	changePosition uint64     // the table's position at the entry's newest change
	broadcast      broadcastState
	outlier        outlierState
}

// broadcastState is the last state of an endpoint that this member has sent to or received from the other members.
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

// Get returns the present state of an endpoint, and false if it isn't in the table.
func (t *Table) Get(now time.Time, id string) (state.Endpoint, bool) {
	found, ok := t.entries[id]
	if !ok {
		return state.Endpoint{}, false
	}
	return found.snapshotAt(now), true
}

// All returns all endpoints in the table, including departed ones that are not removed yet, ordered by ID.
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

// snapshotAt returns the endpoint with WarmupLeftMillis and RemovalInMillis as of now.
func (e *entry) snapshotAt(now time.Time) state.Endpoint {
	endpoint := e.endpoint
	endpoint.WarmupLeftMillis = millisLeft(now, e.warmupEnds)
	endpoint.RemovalInMillis = 0
	if !e.removalDue.IsZero() {
		endpoint.RemovalInMillis = max(1, millisLeft(now, e.removalDue))
	}
	return endpoint
}

// millisLeft returns the milliseconds until the deadline, rounded up so that the time is never too short; 0 after the
// deadline.
func millisLeft(now, deadline time.Time) int64 {
	if !deadline.After(now) {
		return 0
	}
	return int64((deadline.Sub(now) + time.Millisecond - 1) / time.Millisecond)
}

// deadline returns now plus the remaining time; the zero time if none remains.
func deadline(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// recordChange records that an entry has changed, for ChangesSince.
func (t *Table) recordChange(e *entry) {
	t.position++
	e.changePosition = t.position
}

// recordBroadcast records the present state of an entry as the one last exchanged with the other members, which isn't
// known to be replicated.
func (t *Table) recordBroadcast(e *entry) {
	e.broadcast = broadcastState{
		exists:     true,
		version:    VersionOf(e.endpoint),
		warmupEnds: e.warmupEnds,
		removalDue: e.removalDue,
	}
	delete(t.pending, e.endpoint.ID)
}
