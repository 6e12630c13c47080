package engine

import (
	"maps"
	"slices"

	"rowanlink/cluster/shardmap"
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// custodyState tells whether a webhook belongs to this dispatcher or to one that it was handed off to.
type custodyState struct {
	inDoubtHandoff int32 // the handoff with an unknown outcome, or noHandoff
	handingOff     bool
	handoff        int32 // the latest one, if handingOff or inDoubtHandoff
	persisted      bool
	receivedAt     api.Micros // by a handoff, or never
	peerLostState  bool       // the dispatcher that it was handed off to has lost its state
	unacknowledged bool       // the sender of the handoff has no reply yet
}

// isHandedOff reports whether another dispatcher has the webhook or may have it.
func (s *custodyState) isHandedOff() bool { return s.inDoubtHandoff != noHandoff || s.handingOff }

// handoffRecord is what a dispatcher's persisted state tells of the handoffs of a webhook.
type handoffRecord struct {
	acceptedUpTo uint32 // sequence number of a handoff
	deniedUpTo   uint32 // handoffs up to this sequence number won't be accepted any more
	owned        bool   // the webhook wasn't handed off since
}

// mayReclaim decides whether the sender of a handoff continues with a webhook that a silent receiver may have called, as
// one that may have run. The receiver's ownership must have ended.
func mayReclaim(w *webhook, e *EventType, ownershipEnded bool, now api.Micros) bool {
	withinWindow := e.isDeduplicatedAnywhere() && now < w.mayHaveRunAt+e.DedupWindow.micros()
	return ownershipEnded && (e.Semantics == semanticsIdempotent || withinWindow)
}

// isDeduplicatedAnywhere reports whether endpoints deduplicate across zones.
func (e *EventType) isDeduplicatedAnywhere() bool {
	return e.Semantics == semanticsDeduplicated && !e.DedupByZone
}

func (d *dispatcher) eventTypeOf(w *webhook) *EventType {
	return &d.sim.scenario.EventTypes[d.sim.requests[w.request].eventType]
}

// assumeDeliveredElsewhere is called when the session of a dispatcher has ended: the senders of webhooks that were never
// acknowledged may have continued with them. The deduplication window counts from the first call.
func (d *dispatcher) assumeDeliveredElsewhere() {
	for _, w := range d.webhooks {
		mayRunElsewhere := !w.finished && w.receivedAt != never && w.mayHaveRunAt == never
		if mayRunElsewhere && d.eventTypeOf(w).isDeduplicatedAnywhere() {
			w.mayHaveRunAt = w.receivedAt
		}
	}
}

// scheduleParkedReview schedules a review of a dispatcher's parked webhooks unless one is scheduled.
func (c *clusterState) scheduleParkedReview(d *dispatcher, delay api.Micros) {
	if d.member.reviewScheduled {
		return
	}
	d.member.reviewScheduled = true
	c.sim.schedule(delay, scheduledEvent{kind: evParkedReview, subject: d.number, generation: d.incarnation})
}

// reviewParked hands off the parked webhooks that belong to other dispatchers and queries those in doubt.
func (c *clusterState) reviewParked(d *dispatcher) {
	ms := d.member
	ms.reviewScheduled = false
	if ms.shardMap == nil { // the arrival of a map schedules a review
		return
	}
	for _, id := range slices.Sorted(maps.Keys(ms.parked)) {
		w := ms.parked[id]
		decision := d.decide(c.sim.requests[w.request].destination)
		switch {
		case w.inDoubtHandoff != noHandoff:
			c.resolveInDoubt(d, w)
		case c.behavior.mayCall(decision):
			d.enqueue(notification{kind: notifyOwnership})
		case decision.Action == shardmap.Forward && !w.handingOff:
			c.sendHandoff(d, w, decision, 0, false)
		}
	}
	if len(ms.parked) > 0 {
		c.scheduleParkedReview(d, c.reviewInterval())
	}
}

// resolveInDoubt reclaims a webhook with a handoff in doubt, or asks the receiver whether it has it.
func (c *clusterState) resolveInDoubt(d *dispatcher, w *webhook) {
	h := &c.handoffs[w.inDoubtHandoff]
	assumed := *w
	if assumed.mayHaveRunAt == never {
		assumed.mayHaveRunAt = h.sentAt
	}
	ownershipEnded := c.hasOwnershipEnded(d, h) || w.peerLostState
	if c.behavior.mayReclaim(&assumed, d.eventTypeOf(w), ownershipEnded, c.sim.now) {
		w.mayHaveRunAt = assumed.mayHaveRunAt
		c.sim.Bus.Emit(c.sim.webhookEvent(event.Recovered, d, w, event.Event{Attempt: w.attempts}))
		c.reclaimWebhook(d, w)
		return
	}
	query := scheduledEvent{kind: evCustodyQuery, subject: w.inDoubtHandoff}
	c.send(d.zone, c.sim.dispatchers[h.to].zone, query)
}

// hasOwnershipEnded reports whether the receiver's ownership under which a handoff was sent is over.
func (c *clusterState) hasOwnershipEnded(d *dispatcher, h *handoff) bool {
	destination := c.sim.requests[h.webhook.request].destination
	current, ok := d.member.shardMap.RangeOf(c.keyHashes[destination])
	return ok && (current.Owner != h.decision.Owner || current.Epoch > h.decision.Epoch)
}

// handleCustodyMessage handles a query at the receiver of a handoff, or the reply at its sender.
func (c *clusterState) handleCustodyMessage(n int32, reply shardmap.CustodyReply) {
	if reply != shardmap.CustodyUnknown {
		c.handleCustodyReply(n, reply)
		return
	}
	h := &c.handoffs[n]
	d := &c.sim.dispatchers[h.to]
	if !d.up || c.postponeIfPaused(d, scheduledEvent{kind: evCustodyQuery, subject: n}) {
		return
	}
	reply = c.answerCustodyQuery(d, h)
	if reply == shardmap.CustodyUnknown {
		return
	}
	answer := scheduledEvent{kind: evCustodyQuery, subject: n, detail: int32(reply)}
	c.send(d.zone, c.sim.dispatchers[h.from].zone, answer)
}

// answerCustodyQuery tells whether a dispatcher has a webhook that was handed off to it. A denial is recorded, so that a
// handoff still on its way is rejected. CustodyUnknown means that it can't tell yet.
func (c *clusterState) answerCustodyQuery(d *dispatcher, h *handoff) shardmap.CustodyReply {
	record, existing := d.member.handoffRecords[h.webhook.id], d.webhooks[h.webhook.id]
	handedOff := existing != nil && existing.isHandedOff()
	switch {
	case d.member.stateID != h.receiverStateID:
		return shardmap.CustodyStateLost
	case handedOff && c.handoffs[existing.handoff].sequence > h.sequence:
		return shardmap.CustodyUnknown // if both dispatchers claimed that the other has it, both would release it
	case record.acceptedUpTo >= h.sequence || record.owned && !handedOff:
		return shardmap.CustodyTaken
	case existing != nil && !existing.persisted:
		return shardmap.CustodyUnknown // accepted in the next iteration
	}
	record.deniedUpTo = max(record.deniedUpTo, h.sequence)
	d.member.handoffRecords[h.webhook.id] = record
	return shardmap.CustodyNeverTaken
}

func (c *clusterState) handleCustodyReply(n int32, reply shardmap.CustodyReply) {
	h := &c.handoffs[n]
	d := &c.sim.dispatchers[h.from]
	if !d.up || d.member.parked[h.webhook.id] != h.webhook || h.webhook.inDoubtHandoff != n {
		return
	}
	switch reply {
	case shardmap.CustodyStateLost:
		h.webhook.peerLostState = true
	case shardmap.CustodyTaken:
		c.releaseWebhook(d, h.webhook, h.to)
	default:
		c.reclaimWebhook(d, h.webhook)
	}
}

// reclaimWebhook makes a webhook this dispatcher's own again. The record rejects the copy of a receiver that had accepted
// it, failed and came back.
func (c *clusterState) reclaimWebhook(d *dispatcher, w *webhook) {
	acceptedUpTo := max(d.member.handoffRecords[w.id].acceptedUpTo, c.handoffs[w.handoff].sequence)
	d.member.handoffRecords[w.id] = handoffRecord{acceptedUpTo: acceptedUpTo, owned: true}
	w.inDoubtHandoff = noHandoff
	w.handingOff = false
	w.peerLostState = false
	d.enqueue(notification{kind: notifyOwnership})
	c.scheduleParkedReview(d, 0)
}

// releaseWebhook removes a webhook that another dispatcher has acknowledged.
func (c *clusterState) releaseWebhook(d *dispatcher, w *webhook, to int32) {
	if d.webhooks[w.id] != w || w.finished {
		return
	}
	c.sim.Bus.Emit(c.sim.webhookEvent(event.HandoffAcknowledged, d, w, event.Event{Peer: to}))
	delete(d.webhooks, w.id)
	delete(d.member.parked, w.id)
	if record := d.member.handoffRecords[w.id]; record.owned {
		record.owned = false
		d.member.handoffRecords[w.id] = record
	}
	d.openWebhooks--
	c.sim.closeCopy(w.request)
}
