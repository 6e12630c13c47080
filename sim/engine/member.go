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
func (b *memberState) updateMap(c *shardmap.Map) bool {
	if b.shardMap != nil && b.shardMap.Version >= c.Version {
		return false
	}
	b.shardMap = c
	return true
}

// resetMember gives a dispatcher's new process nothing but what its folder holds.
func (h *clusterState) resetMember(d *dispatcher) {
	was := d.member
	p := &h.simulation.scenario.Ownership
	d.member = &memberState{name: h.candidates[d.number].Member, incarnation: 1, leaseLostAt: h.simulation.now,
		leases:     lease.NewHolder(p.LeaseTTL.micros(), p.ClockDrift),
		rateShares: make([]float64, len(h.simulation.destinations)), parked: map[api.WebhookID]*webhook{},
		handoffRecords: map[api.WebhookID]handoffRecord{}, clientHandoffs: map[int32]bool{}}
	if was != nil {
		d.member.incarnation, d.member.handoffRecords, d.member.stateID = was.incarnation+1, was.handoffRecords, was.stateID
	}
}

// joinCluster is a dispatcher's start: the first one finds the fleet settled.
func (h *clusterState) joinCluster(d *dispatcher) {
	if d.incarnation > 1 {
		h.resetMember(d)
		h.renewSession(d)
	} else {
		h.simulation.schedule(d.member.leases.NextRenewalAt()-h.simulation.now, scheduledEvent{kind: evLeaseRenewal, subject: d.number, generation: d.incarnation})
	}
	d.updateRateShares()
}

func (d *dispatcher) localMember() shardmap.LocalMember {
	b, now := d.member, d.m.now
	return shardmap.LocalMember{Member: b.name, Isolated: shardmap.IsolationSuspected(b.leaseLostAt, now, d.m.scenario.Ownership.LeaseTTL.micros()),
		HeldEpoch: func(t cluster.Resource) (cluster.Epoch, bool) { return b.leases.Epoch(t, now) }}
}

// decide is what this dispatcher does with webhooks of a destination, now.
func (d *dispatcher) decide(dest api.DestinationID) shardmap.Decision {
	if d.member.shardMap == nil {
		return shardmap.Decision{Action: shardmap.ParkUnmapped}
	}
	return d.member.shardMap.DecideKey(d.localMember(), d.m.cluster.keyHashes[dest])
}

// mayCall is whether a webhook may be called from here, now.
func (d *dispatcher) mayCall(h *webhook) bool {
	if d.member == nil {
		return true
	}
	return h.inDoubtHandoff == noHandoff && !h.handingOff && d.m.cluster.behavior.mayCall(d.decide(d.m.requests[h.request].destination))
}

// updateRateShares notes what part of each rate is this dispatcher's, and tells of which that is new.
func (d *dispatcher) updateRateShares() (changed map[api.DestinationID]bool) {
	b := d.member
	for i := range b.rateShares {
		dest := api.DestinationID(i)
		if part := d.m.cluster.behavior.rateShare(d.decide(dest), len(d.m.dispatchers)); part != b.rateShares[i] {
			if b.rateShares[i] = part; changed == nil {
				changed = map[api.DestinationID]bool{}
			}
			changed[dest] = true
		}
	}
	return changed
}

// scaleRates is a list with the rates of which an even part is this dispatcher's.
func (d *dispatcher) scaleRates(list []api.EndpointEntry) []api.EndpointEntry {
	if d.member == nil {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		list[i].Rate *= d.member.rateShares[list[i].Destination] * float64(len(d.m.dispatchers))
	}
	return list
}

// reviewIfLeaseChanged has a dispatcher look at its session before it acts.
func (d *dispatcher) reviewIfLeaseChanged() {
	if b := d.member; b != nil && b.leases.IsValid(d.m.now) != (b.leaseLostAt == never) {
		d.reviewWebhooks()
	}
}

// reviewWebhooks follows the map and the session: rates, what may be called from here, what may not.
func (d *dispatcher) reviewWebhooks() {
	b, m := d.member, d.m
	switch holds := b.leases.IsValid(m.now); {
	case holds:
		b.leaseLostAt = never
	case b.leaseLostAt == never:
		b.leaseLostAt = m.now
		d.assumeDeliveredElsewhere()
	}
	if changed := d.updateRateShares(); changed != nil {
		var anew []api.EndpointEntry
		for i := range m.endpoints {
			if e := &m.endpoints[i]; changed[e.destination] && !e.removed && !e.draining {
				anew = append(anew, m.endpointEntry(int32(i), api.EndpointActive))
			}
		}
		d.policy.UpdateEndpoints(d.scaleRates(anew), false)
	}
	for _, id := range slices.Sorted(maps.Keys(d.webhooks)) {
		if h := d.webhooks[id]; b.parked[id] != nil && d.mayCall(h) {
			delete(b.parked, id)
			d.submitToPolicy(h)
		} else {
			d.parkIfNotAllowed(h)
		}
	}
}

// parkIfNotAllowed parks what the module has and may not call any more; what is out ends first.
func (d *dispatcher) parkIfNotAllowed(h *webhook) {
	if !h.finished && h.call < 0 && d.member.parked[h.id] == nil && !d.mayCall(h) {
		d.policy.Withdraw(h.id)
		d.park(h)
	}
}

func (d *dispatcher) park(h *webhook) {
	d.member.parked[h.id] = h
	in := max(d.m.requests[h.request].deadline-2*d.m.scenario.Dispatchers.MinIterationInterval.micros()-d.m.now, 0)
	d.m.schedule(in, scheduledEvent{kind: evParkedExpiry, subject: d.number, detail: int32(h.id), generation: d.incarnation})
	d.m.cluster.scheduleParkedReview(d, d.m.scenario.Ownership.LeaseTTL.micros()/reviewsPerTTL)
}

// expireParked ends a parked webhook in time: nobody else does.
func (d *dispatcher) expireParked(id api.WebhookID) {
	h := d.member.parked[id]
	switch {
	case h == nil:
	case h.mayHaveRunAt != never || h.inDoubtHandoff != noHandoff || h.handingOff:
		d.DeadLetter(id)
	default:
		d.Reject(id, 0)
	}
}

// submitOrPark hands a webhook that is held here to the module, or parks it.
func (d *dispatcher) submitOrPark(h *webhook) {
	if d.mayCall(h) {
		d.submitToPolicy(h)
	} else {
		d.park(h)
	}
}

func (d *dispatcher) submitToPolicy(h *webhook) {
	o := &d.m.requests[h.request]
	if h.attempts == 0 && h.mayHaveRunAt == never {
		d.policy.Submit(o.webhook(h.id))
	} else {
		d.policy.Recover(o.webhook(h.id), h.priorAttempts())
	}
}

// handleDeath is a process that ends: what its clients wait for they hand in again, elsewhere.
func (h *clusterState) handleDeath(d *dispatcher, t *Fault) {
	b := d.member
	for _, n := range slices.Sorted(maps.Keys(b.clientHandoffs)) {
		o := &h.handoffs[n]
		o.orphaned = true
		h.countCopy(o.webhook.request)
		h.simulation.schedule(clientTimeout, scheduledEvent{kind: evSubmit, subject: o.webhook.request})
		if o.failed && !o.accepted {
			h.simulation.closeCopy(o.webhook.request)
		}
	}
	if !t.KeepsState && t.Kind != "restart" {
		b.handoffRecords = map[api.WebhookID]handoffRecord{}
		b.stateID++
	}
	for _, w := range d.webhooks {
		if w.handingOff && w.inDoubtHandoff == noHandoff {
			w.inDoubtHandoff = w.handoff
		}
	}
	if s := b.leases.EndSession(); t.Kind == "restart" && s != 0 { // it says so before it goes
		if _, ok := h.proposeLease(lease.EndSession(s)); ok {
			h.expiry.Remove(s)
		}
	}
}
