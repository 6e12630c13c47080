package engine

import (
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// memberState is a dispatcher's state as a member of the cluster.
type memberState struct {
	name             cluster.MemberID
	leases           *lease.Holder
	incarnation      lease.Incarnation
	shardMap         *shardmap.Map // nil: not received yet
	leaseLostAt      api.Micros    // or never, while its session is valid
	rateShares       []float64     // by destination, as the policy knows them
	parked           map[api.WebhookID]*webhook
	handoffRecords   map[api.WebhookID]handoffRecord // persisted
	clientHandoffs   map[int32]bool                  // whose clients wait for the response
	acknowledgements []int32                         // handoffs accepted in this iteration
	stateID          uint32                          // counts the losses of its persisted state
	reviewScheduled  bool
	renewAt          api.Micros

	ownRanges        []shardmap.Range // of the shard map of ownRangesVersion
	ownRangesVersion cluster.Version
}

// updateMap stores a shard map and returns true if it is newer.
func (ms *memberState) updateMap(newer *shardmap.Map) bool {
	if ms.shardMap != nil && ms.shardMap.Version >= newer.Version {
		return false
	}
	ms.shardMap = newer
	return true
}

// resetMember makes the state of a new incarnation, which has only what was persisted.
func (c *clusterState) resetMember(d *dispatcher) {
	previous := d.member
	ownership := &c.sim.scenario.Ownership
	d.member = &memberState{
		name:           c.candidates[d.number].Member,
		incarnation:    1,
		leaseLostAt:    c.sim.now,
		leases:         lease.NewHolder(ownership.LeaseTTL.micros(), ownership.ClockDrift),
		rateShares:     make([]float64, len(c.sim.destinations)),
		parked:         map[api.WebhookID]*webhook{},
		handoffRecords: map[api.WebhookID]handoffRecord{},
		clientHandoffs: map[int32]bool{},
	}
	if previous != nil {
		d.member.incarnation = previous.incarnation + 1
		d.member.handoffRecords = previous.handoffRecords
		d.member.stateID = previous.stateID
	}
}

// joinCluster is called at a dispatcher's start. The first incarnation has its leases already.
func (c *clusterState) joinCluster(d *dispatcher) {
	if d.incarnation > 1 {
		c.resetMember(d)
		c.renewSession(d)
	} else {
		delay := d.member.leases.NextRenewalAt() - c.sim.now
		c.sim.schedule(delay, scheduledEvent{kind: evLeaseRenewal, subject: d.number, generation: d.incarnation})
	}
	d.updateRateShares()
}

// localMember is the dispatcher as the shard map's decisions see it, now.
func (d *dispatcher) localMember() shardmap.LocalMember {
	ms, now := d.member, d.sim.now
	ttl := d.sim.scenario.Ownership.LeaseTTL.micros()
	return shardmap.LocalMember{
		Member:    ms.name,
		Isolated:  shardmap.IsolationSuspected(ms.leaseLostAt, now, ttl),
		HeldEpoch: func(r cluster.Resource) (cluster.Epoch, bool) { return ms.leases.Epoch(r, now) },
	}
}

// decide returns what the dispatcher does with webhooks of a destination, now.
func (d *dispatcher) decide(destination api.DestinationID) shardmap.Decision {
	if d.member.shardMap == nil {
		return shardmap.Decision{Action: shardmap.ParkUnmapped}
	}
	return d.member.shardMap.DecideKey(d.localMember(), d.sim.cluster.keyHashes[destination])
}

// mayCall reports whether the dispatcher may call with a webhook, now.
func (d *dispatcher) mayCall(w *webhook) bool {
	if d.member == nil {
		return true
	}
	if w.isHandedOff() {
		return false
	}
	return d.sim.cluster.behavior.mayCall(d.decide(d.sim.requests[w.request].destination))
}

// updateRateShares updates the dispatcher's share of each destination's rate and returns the destinations where it
// changed, or nil.
func (d *dispatcher) updateRateShares() map[api.DestinationID]bool {
	var changed map[api.DestinationID]bool
	ms := d.member
	for i := range ms.rateShares {
		destination := api.DestinationID(i)
		share := d.sim.cluster.behavior.rateShare(d.decide(destination), len(d.sim.dispatchers))
		if share == ms.rateShares[i] {
			continue
		}
		ms.rateShares[i] = share
		if changed == nil {
			changed = map[api.DestinationID]bool{}
		}
		changed[destination] = true
	}
	return changed
}

// scaleRates returns an endpoint list with rates of which an even share is the dispatcher's: policies expect that.
func (d *dispatcher) scaleRates(endpoints []api.EndpointEntry) []api.EndpointEntry {
	if d.member == nil {
		return endpoints
	}
	endpoints = slices.Clone(endpoints)
	for i := range endpoints {
		endpoints[i].Rate *= d.member.rateShares[endpoints[i].Destination] * float64(len(d.sim.dispatchers))
	}
	return endpoints
}

// reviewIfLeaseChanged reviews the webhooks if the session ended or became valid since the last review.
func (d *dispatcher) reviewIfLeaseChanged() {
	if ms := d.member; ms != nil && ms.leases.IsValid(d.sim.now) != (ms.leaseLostAt == never) {
		d.reviewWebhooks()
	}
}

// reviewWebhooks applies the shard map and the session: it updates the rates, parks the webhooks that may not be called
// and resumes those that may be.
func (d *dispatcher) reviewWebhooks() {
	ms := d.member
	switch {
	case ms.leases.IsValid(d.sim.now):
		ms.leaseLostAt = never
	case ms.leaseLostAt == never:
		ms.leaseLostAt = d.sim.now
		d.assumeDeliveredElsewhere()
	}
	if changed := d.updateRateShares(); changed != nil {
		d.policy.UpdateEndpoints(d.scaleRates(d.sim.activeEndpoints(changed)), false)
	}
	for _, id := range slices.Sorted(maps.Keys(d.webhooks)) {
		w := d.webhooks[id]
		if ms.parked[id] != nil && d.mayCall(w) {
			delete(ms.parked, id)
			d.submitToPolicy(w)
		} else {
			d.parkIfNotAllowed(w)
		}
	}
}

// activeEndpoints lists the active endpoints of some destinations.
func (m *Simulation) activeEndpoints(destinations map[api.DestinationID]bool) []api.EndpointEntry {
	var entries []api.EndpointEntry
	for i := range m.endpoints {
		e := &m.endpoints[i]
		if destinations[e.destination] && !e.removed && !e.draining {
			entries = append(entries, m.endpointEntry(int32(i), api.EndpointActive))
		}
	}
	return entries
}

// parkIfNotAllowed withdraws a webhook from the policy that may not be called any more. An attempt in flight ends first.
func (d *dispatcher) parkIfNotAllowed(w *webhook) {
	if !w.finished && w.call < 0 && d.member.parked[w.id] == nil && !d.mayCall(w) {
		d.policy.Withdraw(w.id)
		d.park(w)
	}
}

// park keeps a webhook away from the policy until it may be called, is handed off or expires.
func (d *dispatcher) park(w *webhook) {
	d.member.parked[w.id] = w
	margin := 2 * d.sim.scenario.Dispatchers.MinIterationInterval.micros()
	delay := max(d.sim.requests[w.request].deadline-margin-d.sim.now, 0)
	d.sim.schedule(delay, scheduledEvent{
		kind:       evParkedExpiry,
		subject:    d.number,
		detail:     int32(w.id),
		generation: d.incarnation,
	})
	d.sim.cluster.scheduleParkedReview(d, d.sim.cluster.reviewInterval())
}

// expireParked finishes a parked webhook before its deadline, since the policy doesn't have it.
func (d *dispatcher) expireParked(id api.WebhookID) {
	w := d.member.parked[id]
	switch {
	case w == nil:
	case w.mayHaveRunAt != never || w.isHandedOff():
		d.DeadLetter(id)
	default:
		d.Reject(id, 0)
	}
}

// submitOrPark passes a webhook to the policy, or parks it.
func (d *dispatcher) submitOrPark(w *webhook) {
	if d.mayCall(w) {
		d.submitToPolicy(w)
	} else {
		d.park(w)
	}
}

func (d *dispatcher) submitToPolicy(w *webhook) {
	request := &d.sim.requests[w.request]
	if w.attempts == 0 && w.mayHaveRunAt == never {
		d.policy.Submit(request.webhook(w.id))
	} else {
		d.policy.Recover(request.webhook(w.id), w.priorAttempts())
	}
}

// handleDeath is called when a dispatcher's process ends. Clients that wait for a handoff submit their requests again.
func (c *clusterState) handleDeath(d *dispatcher, fault *Fault) {
	ms := d.member
	for _, n := range slices.Sorted(maps.Keys(ms.clientHandoffs)) {
		h := &c.handoffs[n]
		h.orphaned = true
		c.countCopy(h.webhook.request)
		c.sim.schedule(clientTimeout, scheduledEvent{kind: evSubmit, subject: h.webhook.request})
		if h.failed && !h.accepted {
			c.sim.closeCopy(h.webhook.request)
		}
	}
	if fault.losesState() {
		ms.handoffRecords = map[api.WebhookID]handoffRecord{}
		ms.stateID++
	}
	for _, w := range d.webhooks {
		if w.handingOff && w.inDoubtHandoff == noHandoff {
			w.inDoubtHandoff = w.handoff
		}
	}
	session := ms.leases.EndSession()
	if fault.Kind != FaultRestart || session == 0 { // only a graceful shutdown ends the session at the leader
		return
	}
	if _, ok := c.proposeLease(lease.EndSession(session)); ok {
		c.expiry.Remove(session)
	}
}
