package engine

import (
	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/shardmap"
)

// leaseMessage is a message to the keeper and its answer.
type leaseMessage struct {
	from            int32
	incarnation     lease.Incarnation
	renewal         lease.Renewal
	session         cluster.SessionID // 0: to be opened
	resources       []cluster.Resource
	confirmedRanges []shardmap.Range // of which it says that it is home
	epochs          []cluster.Epoch

	rejected bool
	granted  []lease.Grant
}

// newLeaseMessage puts together what a dispatcher says to the keeper now.
func (c *clusterState) newLeaseMessage(d *dispatcher) int32 {
	message := c.pendingLeaseMessage(d)
	message.renewal = d.member.leases.StartRenewal(c.sim.now)
	c.leaseMessages = append(c.leaseMessages, message)
	return int32(len(c.leaseMessages) - 1)
}

func (c *clusterState) pendingLeaseMessage(d *dispatcher) leaseMessage {
	ms, now := d.member, c.sim.now
	message := leaseMessage{from: d.number, incarnation: ms.incarnation, session: ms.leases.Session()}
	for _, r := range ms.rangesToOwn() {
		switch epoch, held := ms.leases.Epoch(cluster.RangeOwnerResource(r.ID), now); {
		case !held:
			message.resources = append(message.resources, cluster.RangeOwnerResource(r.ID))
		case epoch > r.Epoch:
			message.confirmedRanges, message.epochs = append(message.confirmedRanges, r), append(message.epochs, epoch)
		}
	}
	return message
}

// rangesToOwn are the ranges that the map names a member home of.
func (ms *memberState) rangesToOwn() (mine []shardmap.Range) {
	if ms.shardMap == nil {
		return nil
	}
	if ms.ownRangesVersion != ms.shardMap.Version {
		ms.ownRangesVersion, ms.ownRanges = ms.shardMap.Version, nil
		for _, r := range ms.shardMap.Ranges {
			if r.ShouldAcquire(ms.name) {
				ms.ownRanges = append(ms.ownRanges, r)
			}
		}
	}
	return ms.ownRanges
}

// updateMap has a dispatcher take a newer map, and act on it.
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

// renewSession asks the keeper, and again when that is due.
func (c *clusterState) renewSession(d *dispatcher) {
	n := c.newLeaseMessage(d)
	if !c.isMessageLost() {
		c.sim.schedule(c.messageDelay(d.zone, c.leaderZone()), scheduledEvent{kind: evLeaseMessage, subject: n})
	}
	c.scheduleRenewal(d)
}

func (c *clusterState) scheduleRenewal(d *dispatcher) {
	ms := d.member
	in := max(ms.leases.NextRenewalAt()-c.sim.now, 1)
	if ms.renewAt <= c.sim.now || c.sim.now+in < ms.renewAt {
		ms.renewAt = c.sim.now + in
		c.sim.schedule(in, scheduledEvent{kind: evLeaseRenewal, subject: d.number, generation: d.incarnation})
	}
}

// handleLeaseMessage is an ask at the keeper, or its answer at the dispatcher.
func (c *clusterState) handleLeaseMessage(n int32, back bool) {
	message := &c.leaseMessages[n]
	d, granted := &c.sim.dispatchers[message.from], len(message.granted) > 0
	switch {
	case !back:
		c.processLeaseMessage(message)
		if !c.isMessageLost() {
			c.sim.schedule(c.messageDelay(c.leaderZone(), d.zone), scheduledEvent{kind: evLeaseMessage, subject: n, detail: leaseReply})
		}
	case !d.up || message.incarnation != d.member.incarnation:
	case d.pausedUntil > c.sim.now:
		c.sim.queue.Add(int64(d.pausedUntil), scheduledEvent{kind: evLeaseMessage, subject: n, detail: leaseReply})
	default:
		c.applyLeaseReply(d, message)
		c.updateMap(d, c.publishedMaps[len(c.publishedMaps)-1])
		if granted { // it may say so at once
			c.renewSession(d)
		}
		c.scheduleRenewal(d)
	}
}

// exchangeAtStart is an ask, its answer and the grants' seats at one moment: the fleet's start.
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

// processLeaseMessage is the keeper's part. A session is opened or renewed, tasks are granted, seats noted.
func (c *clusterState) processLeaseMessage(message *leaseMessage) {
	name, now := c.candidates[message.from].Member, c.sim.now
	if message.session == 0 {
		o, _ := c.proposeLease(lease.OpenSession(name, message.incarnation))
		message.session = o.Session
		message.rejected = !c.expiry.AddOrRenew(message.session, now)
	} else {
		message.rejected = !c.expiry.Renew(message.session, now)
	}
	if message.rejected {
		return
	}
	if len(message.resources) > 0 {
		g, _ := c.proposeLease(lease.AcquireLeases(message.session, message.resources...))
		message.granted = g.Grants
	}
	changed := false
	for i, r := range message.confirmedRanges {
		changed = c.propose(shardmap.ConfirmOwner(r.ID, name, message.epochs[i], c.shardMap.Version)) != nil || changed
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
		if ms.leaseLostAt = c.sim.now; ms.leases.IsValid(c.sim.now) {
			ms.leaseLostAt = never
		}
		if d.up {
			d.enqueue(notification{kind: notifyOwnership})
		}
	}
}
