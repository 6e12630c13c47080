package engine

import (
	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/shardmap"
)

// leaseMessage is a dispatcher's request to the raft leader, and the reply.
type leaseMessage struct {
	from            int32
	incarnation     lease.Incarnation
	renewal         lease.Renewal
	session         cluster.SessionID  // 0: open one
	resources       []cluster.Resource // to acquire
	confirmedRanges []shardmap.Range   // whose leases were granted
	epochs          []cluster.Epoch    // of these leases

	rejected bool
	granted  []lease.Grant
}

// newLeaseMessage starts a renewal and returns the index of its message.
func (c *clusterState) newLeaseMessage(d *dispatcher) int32 {
	message := c.pendingLeaseMessage(d)
	message.renewal = d.member.leases.StartRenewal(c.sim.now)
	c.leaseMessages = append(c.leaseMessages, message)
	return int32(len(c.leaseMessages) - 1)
}

// pendingLeaseMessage lists the ranges whose leases a dispatcher has yet to acquire, or to confirm in the shard map.
func (c *clusterState) pendingLeaseMessage(d *dispatcher) leaseMessage {
	ms, now := d.member, c.sim.now
	message := leaseMessage{from: d.number, incarnation: ms.incarnation, session: ms.leases.Session()}
	for _, r := range ms.rangesToOwn() {
		switch epoch, held := ms.leases.Epoch(cluster.RangeOwnerResource(r.ID), now); {
		case !held:
			message.resources = append(message.resources, cluster.RangeOwnerResource(r.ID))
		case epoch > r.Epoch:
			message.confirmedRanges = append(message.confirmedRanges, r)
			message.epochs = append(message.epochs, epoch)
		}
	}
	return message
}

// rangesToOwn returns the ranges of which the shard map makes a member the owner.
func (ms *memberState) rangesToOwn() []shardmap.Range {
	if ms.shardMap == nil {
		return nil
	}
	if ms.ownRangesVersion != ms.shardMap.Version {
		ms.ownRangesVersion = ms.shardMap.Version
		ms.ownRanges = nil
		for _, r := range ms.shardMap.Ranges {
			if r.ShouldAcquire(ms.name) {
				ms.ownRanges = append(ms.ownRanges, r)
			}
		}
	}
	return ms.ownRanges
}

// updateMap gives a dispatcher a shard map. It acts on a newer one.
func (c *clusterState) updateMap(d *dispatcher, newer *shardmap.Map) {
	if !d.member.updateMap(newer) {
		return
	}
	d.enqueue(notification{kind: notifyOwnership})
	c.scheduleParkedReview(d, 0)
	if message := c.pendingLeaseMessage(d); len(message.resources)+len(message.confirmedRanges) > 0 {
		c.renewSession(d)
	}
}

// renewSession sends a lease message and schedules the next renewal.
func (c *clusterState) renewSession(d *dispatcher) {
	n := c.newLeaseMessage(d)
	c.send(d.zone, c.leaderZone(), scheduledEvent{kind: evLeaseMessage, subject: n, detail: leaseRequest})
	c.scheduleRenewal(d)
}

// scheduleRenewal schedules the next renewal unless an earlier one is scheduled.
func (c *clusterState) scheduleRenewal(d *dispatcher) {
	ms := d.member
	delay := max(ms.leases.NextRenewalAt()-c.sim.now, 1)
	if ms.renewAt <= c.sim.now || c.sim.now+delay < ms.renewAt {
		ms.renewAt = c.sim.now + delay
		c.sim.schedule(delay, scheduledEvent{kind: evLeaseRenewal, subject: d.number, generation: d.incarnation})
	}
}

// handleLeaseMessage handles a request at the leader, or its reply at the dispatcher.
func (c *clusterState) handleLeaseMessage(e scheduledEvent) {
	message := &c.leaseMessages[e.subject]
	d := &c.sim.dispatchers[message.from]
	if e.detail == leaseRequest {
		c.processLeaseMessage(message)
		c.send(c.leaderZone(), d.zone, scheduledEvent{kind: evLeaseMessage, subject: e.subject, detail: leaseReply})
		return
	}
	if !d.up || message.incarnation != d.member.incarnation || c.postponeIfPaused(d, e) {
		return
	}
	granted := len(message.granted) > 0
	c.applyLeaseReply(d, message)
	c.updateMap(d, c.latestMap())
	if granted { // confirm the ownership at once
		c.renewSession(d)
	}
	c.scheduleRenewal(d)
}

// exchangeAtStart acquires and confirms the leases of a dispatcher without any delay, before the run starts.
func (c *clusterState) exchangeAtStart(d *dispatcher, n int32) {
	for range 2 {
		message := &c.leaseMessages[n]
		c.processLeaseMessage(message)
		c.applyLeaseReply(d, message)
		n = c.newLeaseMessage(d)
	}
	c.processLeaseMessage(&c.leaseMessages[n])
	c.applyLeaseReply(d, &c.leaseMessages[n])
}

// processLeaseMessage is what the leader does: it opens or renews the session, grants leases and confirms owners.
func (c *clusterState) processLeaseMessage(message *leaseMessage) {
	name, now := c.candidates[message.from].Member, c.sim.now
	if message.session == 0 {
		opened, _ := c.proposeLease(lease.OpenSession(name, message.incarnation))
		message.session = opened.Session
		message.rejected = !c.expiry.AddOrRenew(message.session, now)
	} else {
		message.rejected = !c.expiry.Renew(message.session, now)
	}
	if message.rejected {
		return
	}
	if len(message.resources) > 0 {
		result, _ := c.proposeLease(lease.AcquireLeases(message.session, message.resources...))
		message.granted = result.Grants
	}
	changed := false
	for i, r := range message.confirmedRanges {
		confirmation := shardmap.ConfirmOwner(r.ID, name, message.epochs[i], c.shardMap.Version)
		if c.propose(confirmation) != nil {
			changed = true
		}
	}
	if changed && !c.settingUp {
		c.publishMap()
	}
}

func (c *clusterState) applyLeaseReply(d *dispatcher, message *leaseMessage) {
	ms := d.member
	if message.rejected {
		ms.leases.HandleRejection(message.session)
	} else if ms.leases.ConfirmRenewal(message.renewal, message.session) {
		for _, g := range message.granted {
			ms.leases.AddGrant(message.session, g)
		}
	}
	if ms.leases.IsValid(c.sim.now) != (ms.leaseLostAt == never) {
		ms.leaseLostAt = c.sim.now
		if ms.leases.IsValid(c.sim.now) {
			ms.leaseLostAt = never
		}
		if d.up {
			d.enqueue(notification{kind: notifyOwnership})
		}
	}
}
