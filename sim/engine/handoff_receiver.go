package engine

import (
	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/sim/event"
)

// receiveHandoff handles the arrival of a handoff at its receiver.
func (c *clusterState) receiveHandoff(n int32) {
	h := &c.handoffs[n]
	d := &c.sim.dispatchers[h.to]
	if !d.up { // the connection is refused, so the receiver surely doesn't have it
		c.rejectHandoff(n)
		return
	}
	if c.postponeIfPaused(d, scheduledEvent{kind: evHandoffArrival, subject: n}) {
		return
	}
	if c.answerKnownHandoff(d, n) {
		return
	}
	if !c.admitHandoff(d, h) {
		c.rejectHandoff(n)
		return
	}
	c.acceptHandoff(d, n)
}

// answerKnownHandoff handles a handoff of a webhook that the receiver has, had or has denied. It returns false for a
// new one.
func (c *clusterState) answerKnownHandoff(d *dispatcher, n int32) bool {
	h := &c.handoffs[n]
	record, existing := d.member.handoffRecords[h.webhook.id], d.webhooks[h.webhook.id]
	switch {
	case existing != nil && !existing.persisted: // by another handoff, in this iteration: no reply yet
	case existing != nil && existing.isHandedOff(): // the receiver is the owner: whoever it handed it off to releases it
		existing.inDoubtHandoff = noHandoff
		existing.handingOff = false
		existing.attempts = max(existing.attempts, h.webhook.attempts)
		if existing.mayHaveRunAt == never {
			existing.mayHaveRunAt = h.webhook.mayHaveRunAt
			existing.zone = h.webhook.zone
		}
		c.acceptDuplicate(d, existing, n)
	case existing != nil && !record.owned: // submitted to both
		c.acceptDuplicate(d, existing, n)
	case record.acceptedUpTo >= h.sequence || record.owned:
		c.replyToHandoff(n, shardmap.CustodyTaken)
	case record.deniedUpTo >= h.sequence:
		c.rejectHandoff(n)
	default:
		return false
	}
	return true
}

// admitHandoff checks ownership, capacity and deadline, and records the result in the handoff.
func (c *clusterState) admitHandoff(d *dispatcher, h *handoff) bool {
	request := &c.sim.requests[h.webhook.request]
	h.admission, h.redirect = d.member.admitKey(d.localMember(), c.keyHashes[request.destination], h.decision.Version)
	isOwner := h.admission == shardmap.AdmissionAccepted
	h.bufferFull = isOwner && d.openWebhooks >= c.sim.scenario.Dispatchers.BufferSize
	if h.bufferFull && h.fromClient {
		c.sim.Bus.Emit(event.Event{
			At:          c.sim.now,
			Kind:        event.BufferFull,
			Dispatcher:  d.number,
			Request:     event.RequestID(h.webhook.request),
			Destination: request.destination,
			EventType:   request.eventType,
		})
	}
	return isOwner && !h.bufferFull && c.sim.now < request.deadline
}

func (c *clusterState) acceptHandoff(d *dispatcher, n int32) {
	h := &c.handoffs[n]
	h.admission = 0
	h.accepted = true
	if !h.fromClient || h.keptLocally {
		c.countCopy(h.webhook.request)
	}
	received := &webhook{
		id:           h.webhook.id,
		request:      h.webhook.request,
		attempts:     h.webhook.attempts,
		mayHaveRunAt: h.webhook.mayHaveRunAt,
		zone:         h.webhook.zone,
		call:         noCall,
		custodyState: custodyState{inDoubtHandoff: noHandoff, receivedAt: c.sim.now},
	}
	d.enqueueAcceptance(received, n)
	if c.behavior.acknowledgesEarly {
		c.replyToHandoff(n, shardmap.CustodyTaken)
	}
}

// countCopy counts a further copy of a webhook. The others may have ended already.
func (c *clusterState) countCopy(n int32) {
	request := &c.sim.requests[n]
	if request.copies == 0 {
		c.sim.openRequests++
	}
	request.copies++
}

// acceptDuplicate acknowledges a handoff of a webhook that the receiver has already.
func (c *clusterState) acceptDuplicate(d *dispatcher, existing *webhook, n int32) {
	d.member.handoffRecords[existing.id] = handoffRecord{acceptedUpTo: c.handoffs[n].sequence, owned: true}
	c.sim.Bus.Emit(c.sim.webhookEvent(event.HandoffAccepted, d, existing, event.Event{}))
	d.enqueue(notification{kind: notifyOwnership})
	c.replyToHandoff(n, shardmap.CustodyTaken)
}

func (ms *memberState) admitKey(member shardmap.LocalMember, key cluster.KeyHash,
	version cluster.Version) (shardmap.Admission, shardmap.Decision) {
	if ms.shardMap == nil {
		return shardmap.AdmissionMapStale, shardmap.Decision{}
	}
	return ms.shardMap.AdmitKey(member, key, version)
}

// rejectHandoff replies that the handoff wasn't accepted and never will be.
func (c *clusterState) rejectHandoff(n int32) {
	h := &c.handoffs[n]
	h.failed = true
	if h.orphaned {
		c.sim.closeCopy(h.webhook.request)
	}
	c.replyToHandoff(n, shardmap.CustodyNeverTaken)
}

func (c *clusterState) replyToHandoff(n int32, reply shardmap.CustodyReply) {
	h := &c.handoffs[n]
	h.reply = reply
	receiver, sender := &c.sim.dispatchers[h.to], &c.sim.dispatchers[h.from]
	c.send(receiver.zone, sender.zone, scheduledEvent{kind: evHandoffReply, subject: n})
}

// acceptPersisted passes a webhook that is persisted on to the policy. A handoff is acknowledged at the end of the
// iteration.
func (d *dispatcher) acceptPersisted(w *webhook, by int32) {
	w.persisted = true
	if by != noHandoff {
		h := &d.sim.cluster.handoffs[by]
		d.member.handoffRecords[w.id] = handoffRecord{acceptedUpTo: h.sequence, owned: true}
		d.sim.Bus.Emit(d.sim.webhookEvent(event.HandoffAccepted, d, w, event.Event{Attempt: w.attempts}))
		w.unacknowledged = true
		d.member.acknowledgements = append(d.member.acknowledgements, by)
	}
	d.submitOrPark(w)
}

// acknowledgeHandoffs acknowledges the handoffs that the iteration has accepted.
func (d *dispatcher) acknowledgeHandoffs() {
	if d.member == nil {
		return
	}
	for _, n := range d.member.acknowledgements {
		if w := d.webhooks[d.sim.cluster.handoffs[n].webhook.id]; w != nil {
			w.unacknowledged = false
		}
		d.sim.cluster.replyToHandoff(n, shardmap.CustodyTaken)
	}
	d.member.acknowledgements = d.member.acknowledgements[:0]
}

// dropUnaccepted drops a handoff from the inbox of a dispatcher that dies. The sender still has the webhook.
func (c *clusterState) dropUnaccepted(d *dispatcher, n notification) {
	h := &c.handoffs[n.handoff]
	delete(d.webhooks, n.id)
	h.accepted = false
	h.failed = true
	if h.keptLocally || !h.fromClient || h.orphaned {
		c.sim.closeCopy(h.webhook.request)
	}
}
