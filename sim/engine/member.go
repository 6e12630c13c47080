package engine

import (
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// memberState is a dispatcher's part in a fleet with homes.
type memberState struct {
	name             cluster.MemberID
	leases           *lease.Holder
	incarnation      lease.Incarnation
	shardMap         *shardmap.Map // nil: not heard of yet
	leaseLostAt      api.Micros
	rateShares       []float64 // of each destination's rate, as the module was told
	parked           map[api.WebhookID]*webhook
	handoffRecords   map[api.WebhookID]handoffRecord // by its folder: outlasts its process
	clientHandoffs   map[int32]bool                  // offers whose clients wait
	acknowledgements []int32                         // offers taken in this turn
	stateID          uint32                          // counts the folders that it lost
	reviewScheduled  bool
	renewAt          api.Micros

	ownRanges        []shardmap.Range // of the map of version read
	ownRangesVersion cluster.Version
}

// updateMap takes a newer map; false: it was an older one.
func (ms *memberState) updateMap(newer *shardmap.Map) bool {
	if ms.shardMap != nil && ms.shardMap.Version >= newer.Version {
		return false
	}
	ms.shardMap = newer
	return true
}

// resetMember gives a dispatcher's new process nothing but what its folder holds.
func (c *clusterState) resetMember(d *dispatcher) {
	was := d.member
	p := &c.sim.scenario.Ownership
	d.member = &memberState{name: c.candidates[d.number].Member, incarnation: 1, leaseLostAt: c.sim.now,
		leases:     lease.NewHolder(p.LeaseTTL.micros(), p.ClockDrift),
		rateShares: make([]float64, len(c.sim.destinations)), parked: map[api.WebhookID]*webhook{},
		handoffRecords: map[api.WebhookID]handoffRecord{}, clientHandoffs: map[int32]bool{}}
	if was != nil {
		d.member.incarnation, d.member.handoffRecords, d.member.stateID = was.incarnation+1, was.handoffRecords, was.stateID
	}
}

// joinCluster is a dispatcher's start: the first one finds the fleet settled.
func (c *clusterState) joinCluster(d *dispatcher) {
	if d.incarnation > 1 {
		c.resetMember(d)
		c.renewSession(d)
	} else {
		c.sim.schedule(d.member.leases.NextRenewalAt()-c.sim.now, scheduledEvent{kind: evLeaseRenewal, subject: d.number, generation: d.incarnation})
	}
	d.updateRateShares()
}

func (d *dispatcher) localMember() shardmap.LocalMember {
	ms, now := d.member, d.sim.now
	return shardmap.LocalMember{Member: ms.name, Isolated: shardmap.IsolationSuspected(ms.leaseLostAt, now, d.sim.scenario.Ownership.LeaseTTL.micros()),
		HeldEpoch: func(t cluster.Resource) (cluster.Epoch, bool) { return ms.leases.Epoch(t, now) }}
}

// decide is what this dispatcher does with webhooks of a destination, now.
func (d *dispatcher) decide(dest api.DestinationID) shardmap.Decision {
	if d.member.shardMap == nil {
		return shardmap.Decision{Action: shardmap.ParkUnmapped}
	}
	return d.member.shardMap.DecideKey(d.localMember(), d.sim.cluster.keyHashes[dest])
}

// mayCall is whether a webhook may be called from here, now.
func (d *dispatcher) mayCall(w *webhook) bool {
	if d.member == nil {
		return true
	}
	return w.inDoubtHandoff == noHandoff && !w.handingOff && d.sim.cluster.behavior.mayCall(d.decide(d.sim.requests[w.request].destination))
}

// updateRateShares notes what part of each rate is this dispatcher's, and tells of which that is new.
func (d *dispatcher) updateRateShares() (changed map[api.DestinationID]bool) {
	ms := d.member
	for i := range ms.rateShares {
		dest := api.DestinationID(i)
		if part := d.sim.cluster.behavior.rateShare(d.decide(dest), len(d.sim.dispatchers)); part != ms.rateShares[i] {
			if ms.rateShares[i] = part; changed == nil {
				changed = map[api.DestinationID]bool{}
			}
			changed[dest] = true
		}
	}
	return changed
}

// scaleRates is a list with the rates of which an even part is this dispatcher's.
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

// reviewIfLeaseChanged has a dispatcher look at its session before it acts.
func (d *dispatcher) reviewIfLeaseChanged() {
	if ms := d.member; ms != nil && ms.leases.IsValid(d.sim.now) != (ms.leaseLostAt == never) {
		d.reviewWebhooks()
	}
}

// reviewWebhooks follows the map and the session: rates, what may be called from here, what may not.
func (d *dispatcher) reviewWebhooks() {
	ms, m := d.member, d.sim
	switch holds := ms.leases.IsValid(m.now); {
	case holds:
		ms.leaseLostAt = never
	case ms.leaseLostAt == never:
		ms.leaseLostAt = m.now
		d.assumeDeliveredElsewhere()
	}
	if changed := d.updateRateShares(); changed != nil {
		var changedEndpoints []api.EndpointEntry
		for i := range m.endpoints {
			if e := &m.endpoints[i]; changed[e.destination] && !e.removed && !e.draining {
				changedEndpoints = append(changedEndpoints, m.endpointEntry(int32(i), api.EndpointActive))
			}
		}
		d.policy.UpdateEndpoints(d.scaleRates(changedEndpoints), false)
	}
	for _, id := range slices.Sorted(maps.Keys(d.webhooks)) {
		if w := d.webhooks[id]; ms.parked[id] != nil && d.mayCall(w) {
			delete(ms.parked, id)
			d.submitToPolicy(w)
		} else {
			d.parkIfNotAllowed(w)
		}
	}
}

// parkIfNotAllowed parks what the module has and may not call any more; what is out ends first.
func (d *dispatcher) parkIfNotAllowed(w *webhook) {
	if !w.finished && w.call < 0 && d.member.parked[w.id] == nil && !d.mayCall(w) {
		d.policy.Withdraw(w.id)
		d.park(w)
	}
}

func (d *dispatcher) park(w *webhook) {
	d.member.parked[w.id] = w
	in := max(d.sim.requests[w.request].deadline-2*d.sim.scenario.Dispatchers.MinIterationInterval.micros()-d.sim.now, 0)
	d.sim.schedule(in, scheduledEvent{kind: evParkedExpiry, subject: d.number, detail: int32(w.id), generation: d.incarnation})
	d.sim.cluster.scheduleParkedReview(d, d.sim.scenario.Ownership.LeaseTTL.micros()/reviewsPerTTL)
}

// expireParked ends a parked webhook in time: nobody else does.
func (d *dispatcher) expireParked(id api.WebhookID) {
	w := d.member.parked[id]
	switch {
	case w == nil:
	case w.mayHaveRunAt != never || w.inDoubtHandoff != noHandoff || w.handingOff:
		d.DeadLetter(id)
	default:
		d.Reject(id, 0)
	}
}

// submitOrPark hands a webhook that is held here to the module, or parks it.
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

// handleDeath is a process that ends: what its clients wait for they hand in again, elsewhere.
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
	if !fault.KeepsState && fault.Kind != "restart" {
		ms.handoffRecords = map[api.WebhookID]handoffRecord{}
		ms.stateID++
	}
	for _, w := range d.webhooks {
		if w.handingOff && w.inDoubtHandoff == noHandoff {
			w.inDoubtHandoff = w.handoff
		}
	}
	if s := ms.leases.EndSession(); fault.Kind == "restart" && s != 0 { // it says so before it goes
		if _, ok := c.proposeLease(lease.EndSession(s)); ok {
			c.expiry.Remove(s)
		}
	}
}
