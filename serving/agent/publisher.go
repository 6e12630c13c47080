package agent

import (
	"time"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// checkpointsRetained is the number of latest responses from which a proxy may resume. One would do if no response
// were ever lost.
const checkpointsRetained = 8

// endpointTable is the part of endpoints.Table that the agent uses.
type endpointTable interface {
	// Merge applies an entry and reports whether it changed the table.
	Merge(now time.Time, endpoint state.Endpoint) bool
	// ChangesSince returns what has changed since a position.
	ChangesSince(now time.Time, since uint64) endpoints.Delta
	// ChangePosition returns the position of an endpoint's newest change, and whether its version is that new.
	ChangePosition(id string, version gossip.Version) (position uint64, current bool)
	// Get returns an endpoint.
	Get(now time.Time, id string) (state.Endpoint, bool)
	// Sweep removes endpoints that departed long ago.
	Sweep(now time.Time) []state.Endpoint
}

// checkpoint is the state of a proxy that has applied one response.
type checkpoint struct {
	position          uint64 // sequence number of the response
	endpointsPosition uint64 // in the table of endpoints
	loadsPosition     uint64 // in the table of loads
	revision          uint64 // of the record
	proxies           subscription.ProxyCounts
	partial           bool // a snapshot was due, but the agent wasn't synced when it was sent
	leasesPosition    uint64
}

// publisher holds the data that the agent publishes to its proxy and computes the delta between a proxy's cursor and
// the current data. It isn't safe for concurrent use.
type publisher struct {
	incarnation uint64 // of this process; a cursor of another one is invalid
	endpoints   endpointTable
	record      *state.Record // nil: none known yet
	loads       loadTable
	proxies     subscription.ProxyCounts
	synced      bool // the data counts as complete
	position    uint64
	checkpoints [checkpointsRetained]checkpoint // ring, by position
	changed     chan struct{}                   // closed, and replaced, at each change
	applied     checkpoint                      // of the proxy's last poll: what it has applied
	appliedNews chan struct{}                   // closed, and replaced, at each change of applied
	leases      rolloutLeases
}

func newPublisher(incarnation uint64, endpoints endpointTable) *publisher {
	return &publisher{
		incarnation: incarnation,
		endpoints:   endpoints,
		loads:       newLoadTable(),
		changed:     make(chan struct{}),
		appliedNews: make(chan struct{}),
	}
}

// notifySubscriber wakes the waiting polls.
func (p *publisher) notifySubscriber() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// setRecord replaces the record if the new one has a higher revision, and reports whether it did.
func (p *publisher) setRecord(record *state.Record) bool {
	if p.record != nil && record.Revision <= p.record.Revision {
		return false
	}
	p.record = record
	p.notifySubscriber()
	return true
}

// mergeEndpoint merges an entry into the table of endpoints.
func (p *publisher) mergeEndpoint(now time.Time, endpoint state.Endpoint) {
	if p.endpoints.Merge(now, endpoint) {
		p.notifySubscriber()
	}
}

// sweepEndpoints removes endpoints that departed long ago. The proxy receives it with the next update, since it
// isn't urgent. What Sweep returns is ignored: an agent judges no endpoints and so has nothing to gossip.
func (p *publisher) sweepEndpoints(now time.Time) { p.endpoints.Sweep(now) }

// setLoad stores an endpoint's load report.
func (p *publisher) setLoad(load state.Load) {
	if p.loads.update(load) {
		p.notifySubscriber()
	}
}

// setProxies stores the counts of proxies.
func (p *publisher) setProxies(proxies subscription.ProxyCounts) {
	if p.proxies != proxies {
		p.proxies = proxies
		p.notifySubscriber()
	}
}

// setSynced marks the data as complete.
func (p *publisher) setSynced() {
	if !p.synced {
		p.synced = true
		p.notifySubscriber()
	}
}

// updateSince returns the delta from the cursor to the current data, or a snapshot if the cursor is no base for a
// delta; false if nothing has changed.
func (p *publisher) updateSince(now time.Time, cursor subscription.Cursor) (*subscription.Response, bool) {
	base, found := p.findCheckpoint(cursor)
	if !found || base.partial && p.synced {
		return p.snapshot(now), true
	}
	delta := p.endpoints.ChangesSince(now, base.endpointsPosition)
	if delta.Complete && base.endpointsPosition != 0 { // at position 0 the table was empty: the complete table is the delta
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

// isEmpty reports whether the response has no record, endpoint or load.
func isEmpty(response *subscription.Response) bool {
	return response.Record == nil &&
		len(response.Endpoints) == 0 &&
		len(response.RolloutLeases) == 0 &&
		len(response.Removed) == 0 &&
		len(response.Loads) == 0
}

// snapshot returns all data. A proxy drops what isn't in a complete snapshot; an agent that isn't synced may not have
// met a member that knows more, and so leaves the proxy what it has.
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

// emptyUpdate returns the response to a poll that has timed out without a change.
func (p *publisher) emptyUpdate(cursor subscription.Cursor) *subscription.Response {
	return &subscription.Response{Cursor: cursor, Proxies: p.proxies}
}

func (p *publisher) revision() uint64 {
	if p.record == nil {
		return 0
	}
	return p.record.Revision
}

// addCheckpoint records the state of a proxy that will have applied the response in the making, and returns the cursor
// for that response.
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

// findCheckpoint returns the checkpoint of a cursor. The zero cursor has none.
func (p *publisher) findCheckpoint(cursor subscription.Cursor) (checkpoint, bool) {
	retained := p.checkpoints[cursor.Position%checkpointsRetained]
	found := cursor.Incarnation == p.incarnation && cursor.Position != 0 && retained.position == cursor.Position
	return retained, found
}
