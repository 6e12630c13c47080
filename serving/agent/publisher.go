package agent

import (
	"time"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// checkpointsRetained is how many checkpoints are kept: a delta can be computed from the cursor of any of the latest
// checkpointsRetained responses. One would suffice if no response were ever lost.
const checkpointsRetained = 8

// endpointTable is the part of endpoints.Table that the agent uses.
type endpointTable interface {
	// Merge applies an entry and reports whether it changed the table.
	Merge(now time.Time, endpoint state.Endpoint) bool
	// ChangesSince returns the endpoints that have changed or were removed since a position.
	ChangesSince(now time.Time, since uint64) endpoints.Delta
	// ChangePosition returns the position of an endpoint's newest change, and whether the table has received this version
	// of the endpoint or a newer one.
	ChangePosition(id string, version gossip.Version) (position uint64, current bool)
	// Get returns an endpoint.
	Get(now time.Time, id string) (state.Endpoint, bool)
	// Sweep removes endpoints that departed long ago.
	Sweep(now time.Time) []state.Endpoint
}

// checkpoint is the state of a proxy that has applied a certain response.
type checkpoint struct {
	position          uint64 // sequence number of the response
	endpointsPosition uint64 // in the table of endpoints
	loadsPosition     uint64 // in the table of loads
	revision          uint64 // of the record
	proxies           subscription.ProxyCounts
	partial           bool   // built on a snapshot that was sent before the agent was synced
	leasesPosition    uint64 // of the roll-out leases
}

// publisher holds the data that the agent publishes to its proxy and computes the delta between a proxy's cursor and
// the current data. It isn't safe for concurrent use.
type publisher struct {
	incarnation    uint64 // of this agent process; cursors of other incarnations are invalid
	endpoints      endpointTable
	record         *state.Record // nil: none known yet
	loads          loadTable
	proxies        subscription.ProxyCounts
	synced         bool                            // the agent was synced once: snapshots are complete
	position       uint64                          // of the newest response
	checkpoints    [checkpointsRetained]checkpoint // ring, by position
	changed        chan struct{}                   // closed and replaced at each change of the data
	applied        checkpoint                      // what the proxy has applied, according to its last poll
	appliedChanged chan struct{}                   // closed and replaced at each change of applied
	leases         rolloutLeases
}

func newPublisher(incarnation uint64, endpoints endpointTable) *publisher {
	return &publisher{
		incarnation:    incarnation,
		endpoints:      endpoints,
		loads:          newLoadTable(),
		changed:        make(chan struct{}),
		appliedChanged: make(chan struct{}),
	}
}

// wakePolls makes the waiting polls look for an update.
func (p *publisher) wakePolls() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// setRecord replaces the record if the new one has a higher revision, and reports whether it did.
func (p *publisher) setRecord(record *state.Record) bool {
	if p.record != nil && record.Revision <= p.record.Revision {
		return false
	}
	p.record = record
	p.wakePolls()
	return true
}

// mergeEndpoint merges an entry into the table of endpoints.
func (p *publisher) mergeEndpoint(now time.Time, endpoint state.Endpoint) {
	if p.endpoints.Merge(now, endpoint) {
		p.wakePolls()
	}
}

// sweepEndpoints removes endpoints that departed long ago. It doesn't wake polls: the removal isn't urgent, and the proxy
// receives it with the next update. The endpoints that Sweep returns to be gossiped are ignored, since only core members
// decide on the state of endpoints.
func (p *publisher) sweepEndpoints(now time.Time) { p.endpoints.Sweep(now) }

// setLoad stores an endpoint's load report.
func (p *publisher) setLoad(load state.Load) {
	if p.loads.update(load) {
		p.wakePolls()
	}
}

// setProxies stores the counts of proxies.
func (p *publisher) setProxies(proxies subscription.ProxyCounts) {
	if p.proxies != proxies {
		p.proxies = proxies
		p.wakePolls()
	}
}

// setSynced records that the agent is synced: from now on snapshots are marked as complete.
func (p *publisher) setSynced() {
	if !p.synced {
		p.synced = true
		p.wakePolls()
	}
}

// updateSince returns the changes since the cursor. It returns a snapshot instead if the cursor has no checkpoint, if the
// checkpoint is partial and the agent is synced now, or if the table can no longer list all endpoints that were removed
// since the checkpoint. It returns false if nothing has changed.
func (p *publisher) updateSince(now time.Time, cursor subscription.Cursor) (*subscription.Response, bool) {
	base, found := p.findCheckpoint(cursor)
	if !found || base.partial && p.synced {
		return p.snapshot(now), true
	}
	delta := p.endpoints.ChangesSince(now, base.endpointsPosition)
	// A complete delta lists no removals, so that a snapshot has to be sent instead. None is needed for position 0: the
	// table was empty then, so that its complete contents are the changes since.
	if delta.Complete && base.endpointsPosition != 0 {
		return p.snapshot(now), true
	}
	response := &subscription.Response{
		Endpoints: delta.Changed,
		Removed:   delta.Removed,
		Loads:     p.loads.changesSince(base.loadsPosition),
		Proxies:   p.proxies,
	}
	if p.revision() > base.revision {
		response.Record = p.record
	}
	if p.leases.position > base.leasesPosition {
		response.RolloutLeases = p.leases.remaining(now)
	}
	if p.proxies == base.proxies && isEmpty(response) {
		return nil, false
	}
	response.Cursor = p.addCheckpoint(delta.Position, base.partial)
	return response, true
}

// isEmpty reports whether the response carries no data, apart from the counts of proxies.
func isEmpty(response *subscription.Response) bool {
	return response.Record == nil &&
		len(response.Endpoints) == 0 &&
		len(response.RolloutLeases) == 0 &&
		len(response.Removed) == 0 &&
		len(response.Loads) == 0
}

// snapshot returns all data. It is marked as complete only if the agent is synced, since a proxy drops whatever isn't in a
// complete snapshot: an agent that has just started may not have received all data yet, and must not make the proxy drop
// what it knows.
func (p *publisher) snapshot(now time.Time) *subscription.Response {
	all := p.endpoints.ChangesSince(now, 0)
	return &subscription.Response{
		Cursor:    p.addCheckpoint(all.Position, !p.synced),
		Complete:  p.synced,
		Record:    p.record,
		Endpoints: all.Changed,
		Loads:     p.loads.changesSince(0),
		Proxies:   p.proxies,

		RolloutLeases: p.leases.remaining(now),
	}
}

// emptyUpdate returns the response to a poll that has timed out without a change. It keeps the cursor.
func (p *publisher) emptyUpdate(cursor subscription.Cursor) *subscription.Response {
	return &subscription.Response{Cursor: cursor, Proxies: p.proxies}
}

// revision returns the record's revision; zero if there is no record.
func (p *publisher) revision() uint64 {
	if p.record == nil {
		return 0
	}
	return p.record.Revision
}

// addCheckpoint records the state that a proxy will have after it applies the response that is being built, and returns
// that response's cursor.
func (p *publisher) addCheckpoint(endpointsPosition uint64, partial bool) subscription.Cursor {
	p.position++
	p.checkpoints[p.position%checkpointsRetained] = checkpoint{
		position:          p.position,
		endpointsPosition: endpointsPosition,
		loadsPosition:     p.loads.position,
		revision:          p.revision(),
		proxies:           p.proxies,
		partial:           partial,
		leasesPosition:    p.leases.position,
	}
	return subscription.Cursor{Incarnation: p.incarnation, Position: p.position}
}

// findCheckpoint returns the checkpoint of a cursor; false if it isn't retained or belongs to another agent process. The
// zero cursor has no checkpoint.
func (p *publisher) findCheckpoint(cursor subscription.Cursor) (checkpoint, bool) {
	retained := p.checkpoints[cursor.Position%checkpointsRetained]
	found := cursor.Incarnation == p.incarnation && cursor.Position != 0 && retained.position == cursor.Position
	return retained, found
}
