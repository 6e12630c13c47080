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
func (h *clusterState) newLeaseMessage(d *dispatcher) int32 {
	a := h.pendingLeaseMessage(d)
	a.renewal = d.member.leases.StartRenewal(h.simulation.now)
	h.leaseMessages = append(h.leaseMessages, a)
	return int32(len(h.leaseMessages) - 1)
}

func (h *clusterState) pendingLeaseMessage(d *dispatcher) leaseMessage {
	b, now := d.member, h.simulation.now
	a := leaseMessage{from: d.number, incarnation: b.incarnation, session: b.leases.Session()}
	for _, r := range b.rangesToOwn() {
		switch epoch, held := b.leases.Epoch(cluster.RangeOwnerResource(r.ID), now); {
		case !held:
			a.resources = append(a.resources, cluster.RangeOwnerResource(r.ID))
		case epoch > r.Epoch:
			a.confirmedRanges, a.epochs = append(a.confirmedRanges, r), append(a.epochs, epoch)
		}
	}
	return a
}

// rangesToOwn are the ranges that the map names a member home of.
func (b *memberState) rangesToOwn() (mine []shardmap.Range) {
	if b.shardMap == nil {
		return nil
	}
	if b.ownRangesVersion != b.shardMap.Version {
		b.ownRangesVersion, b.ownRanges = b.shardMap.Version, nil
		for _, r := range b.shardMap.Ranges {
			if r.ShouldAcquire(b.name) {
				b.ownRanges = append(b.ownRanges, r)
			}
		}
	}
	return b.ownRanges
}

// updateMap has a dispatcher take a newer map, and act on it.
func (h *clusterState) updateMap(d *dispatcher, c *shardmap.Map) {
	if !d.member.updateMap(c) {
		return
	}
	d.enqueue(notification{kind: notifyOwnership})
	h.scheduleParkedReview(d, 0)
	if a := h.pendingLeaseMessage(d); len(a.resources)+len(a.confirmedRanges) > 0 {
		h.renewSession(d)
	}
}

// renewSession asks the keeper, and again when that is due.
func (h *clusterState) renewSession(d *dispatcher) {
	n := h.newLeaseMessage(d)
	if !h.isMessageLost() {
		h.simulation.schedule(h.messageDelay(d.zone, h.leaderZone()), scheduledEvent{kind: evLeaseMessage, subject: n})
	}
	h.scheduleRenewal(d)
}

func (h *clusterState) scheduleRenewal(d *dispatcher) {
	b := d.member
	in := max(b.leases.NextRenewalAt()-h.simulation.now, 1)
	if b.renewAt <= h.simulation.now || h.simulation.now+in < b.renewAt {
		b.renewAt = h.simulation.now + in
		h.simulation.schedule(in, scheduledEvent{kind: evLeaseRenewal, subject: d.number, generation: d.incarnation})
	}
}

// handleLeaseMessage is an ask at the keeper, or its answer at the dispatcher.
func (h *clusterState) handleLeaseMessage(n int32, back bool) {
	a := &h.leaseMessages[n]
	d, granted := &h.simulation.dispatchers[a.from], len(a.granted) > 0
	switch {
	case !back:
		h.processLeaseMessage(a)
		if !h.isMessageLost() {
			h.simulation.schedule(h.messageDelay(h.leaderZone(), d.zone), scheduledEvent{kind: evLeaseMessage, subject: n, detail: 1})
		}
	case !d.up || a.incarnation != d.member.incarnation:
	case d.pausedUntil > h.simulation.now:
		h.simulation.queue.Add(int64(d.pausedUntil), scheduledEvent{kind: evLeaseMessage, subject: n, detail: 1})
	default:
		h.applyLeaseReply(d, a)
		h.updateMap(d, h.publishedMaps[len(h.publishedMaps)-1])
		if granted { // it may say so at once
			h.renewSession(d)
		}
		h.scheduleRenewal(d)
	}
}

// exchangeAtStart is an ask, its answer and the grants' seats at one moment: the fleet's start.
func (h *clusterState) exchangeAtStart(d *dispatcher, n int32) {
	for range 2 {
		a := &h.leaseMessages[n]
		h.processLeaseMessage(a)
		h.applyLeaseReply(d, a)
		n = h.newLeaseMessage(d)
	}
	h.processLeaseMessage(&h.leaseMessages[n])
	h.applyLeaseReply(d, &h.leaseMessages[n])
}

// processLeaseMessage is the keeper's part. A session is opened or renewed, tasks are granted, seats noted.
func (h *clusterState) processLeaseMessage(a *leaseMessage) {
	name, now := h.candidates[a.from].Member, h.simulation.now
	if a.session == 0 {
		o, _ := h.proposeLease(lease.OpenSession(name, a.incarnation))
		a.session = o.Session
		a.rejected = !h.expiry.AddOrRenew(a.session, now)
	} else {
		a.rejected = !h.expiry.Renew(a.session, now)
	}
	if a.rejected {
		return
	}
	if len(a.resources) > 0 {
		g, _ := h.proposeLease(lease.AcquireLeases(a.session, a.resources...))
		a.granted = g.Grants
	}
	changed := false
	for i, r := range a.confirmedRanges {
		changed = h.propose(shardmap.ConfirmOwner(r.ID, name, a.epochs[i], h.shardMap.Version)) != nil || changed
	}
	if changed && !h.settingUp {
		h.publishMap()
	}
}

func (h *clusterState) applyLeaseReply(d *dispatcher, a *leaseMessage) {
	b := d.member
	if a.rejected {
		b.leases.HandleRejection(a.session)
	} else if b.leases.ConfirmRenewal(a.renewal, a.session) {
		for _, g := range a.granted {
			b.leases.AddGrant(a.session, g)
		}
	}
	if b.leases.IsValid(h.simulation.now) != (b.leaseLostAt == never) {
		if b.leaseLostAt = h.simulation.now; b.leases.IsValid(h.simulation.now) {
			b.leaseLostAt = never
		}
		if d.up {
			d.enqueue(notification{kind: notifyOwnership})
		}
	}
}
