package engine

import (
	"maps"
	"slices"

	"rowanlink/cluster/shardmap"
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// custodyState is whose a webhook is that another dispatcher may have.
type custodyState struct {
	inDoubtHandoff int32 // the offer that nobody answered, or none
	handingOff     bool  // on its way, by offer
	handoff        int32
	persisted      bool       // here
	receivedAt     api.Micros // from another dispatcher, else never
	peerLostState  bool       // by whom it was sent to, with its folder
	unacknowledged bool       // and who sent it has not been told
}

// handoffRecord is what a dispatcher's folder knows of a webhook by its name.
type handoffRecord struct {
	acceptedUpTo uint32 // by this try
	deniedUpTo   uint32 // by no try up to this one
	owned        bool   // it did not go on
}

// mayReclaim is whether a webhook that a silent home may have called goes to the next one, as one that may have
// run. It needs the log's word that the home's right to call is over.
func mayReclaim(w *webhook, e *EventType, ended bool, now api.Micros) bool {
	tokened := e.Semantics == "tokened" && !e.DedupByZone && now < w.mayHaveRunAt+e.DedupWindow.micros()
	return ended && (e.Semantics == "idempotent" || tokened)
}

// assumeDeliveredElsewhere is for a dispatcher whose session was over with what it had: whoever sent it here and heard nothing
// may have gone on with it. Guards a token's window, which counts from the first call.
func (d *dispatcher) assumeDeliveredElsewhere() {
	for _, w := range d.webhooks {
		e := &d.sim.scenario.EventTypes[d.sim.requests[w.request].eventType]
		if !w.finished && w.receivedAt != never && w.mayHaveRunAt == never && e.Semantics == "tokened" && !e.DedupByZone {
			w.mayHaveRunAt = w.receivedAt
		}
	}
}

// scheduleParkedReview has a dispatcher look at what it has parked, once.
func (c *clusterState) scheduleParkedReview(d *dispatcher, in api.Micros) {
	if !d.member.reviewScheduled {
		d.member.reviewScheduled = true
		c.sim.schedule(in, scheduledEvent{kind: evParkedReview, subject: d.number, generation: d.incarnation})
	}
}

// reviewParked hands on what belongs elsewhere and asks for what is in doubt.
func (c *clusterState) reviewParked(d *dispatcher) {
	ms := d.member
	if ms.reviewScheduled = false; ms.shardMap == nil { // a new map has it look
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
		c.scheduleParkedReview(d, c.sim.scenario.Ownership.LeaseTTL.micros()/reviewsPerTTL)
	}
}

// resolveInDoubt asks who was sent a webhook whether it has it. One that stays silent may have called.
func (c *clusterState) resolveInDoubt(d *dispatcher, w *webhook) {
	h := &c.handoffs[w.inDoubtHandoff]
	r, ok := d.member.shardMap.RangeOf(c.keyHashes[c.sim.requests[w.request].destination])
	ended := ok && (r.Owner != h.decision.Owner || r.Epoch > h.decision.Epoch) || w.peerLostState
	asked := *w
	if asked.mayHaveRunAt == never {
		asked.mayHaveRunAt = h.sentAt
	}
	if c.behavior.mayReclaim(&asked, &c.sim.scenario.EventTypes[c.sim.requests[w.request].eventType], ended, c.sim.now) {
		w.mayHaveRunAt = asked.mayHaveRunAt
		c.sim.Bus.Emit(c.sim.webhookEvent(event.Recovered, d, w, event.Event{Attempt: w.attempts}))
		c.reclaimWebhook(d, w)
		return
	}
	if !c.isMessageLost() {
		c.sim.schedule(c.messageDelay(d.zone, c.sim.dispatchers[h.to].zone), scheduledEvent{kind: evCustodyQuery, subject: w.inDoubtHandoff})
	}
}

// handleCustodyQuery is whether an offer was taken, at whom it was sent to, or the answer at its sender. A no is kept:
// what is still on its way comes in vain.
func (c *clusterState) handleCustodyQuery(n int32, back shardmap.CustodyReply) {
	h := &c.handoffs[n]
	if back != shardmap.CustodyUnknown {
		c.handleCustodyReply(n, back)
		return
	}
	d := &c.sim.dispatchers[h.to]
	switch {
	case !d.up:
		return
	case d.pausedUntil > c.sim.now:
		c.sim.queue.Add(int64(d.pausedUntil), scheduledEvent{kind: evCustodyQuery, subject: n})
		return
	}
	record, existing, reply := d.member.handoffRecords[h.webhook.id], d.webhooks[h.webhook.id], shardmap.CustodyNever
	away := existing != nil && (existing.inDoubtHandoff != noHandoff || existing.handingOff)
	switch {
	case d.member.stateID != h.receiverStateID:
		reply = shardmap.CustodyStateLost
	case away && c.handoffs[existing.handoff].sequence > h.sequence:
		return // it can't tell yet: were both to say so, each would let it go
	case record.acceptedUpTo >= h.sequence || record.owned && !away:
		reply = shardmap.CustodyTaken
	case existing != nil && !existing.persisted:
		return // taken in the turn to come
	default:
		record.deniedUpTo = max(record.deniedUpTo, h.sequence)
		d.member.handoffRecords[h.webhook.id] = record
	}
	if !c.isMessageLost() {
		c.sim.schedule(c.messageDelay(d.zone, c.sim.dispatchers[h.from].zone), scheduledEvent{kind: evCustodyQuery, subject: n, detail: int32(reply)})
	}
}

func (c *clusterState) handleCustodyReply(n int32, reply shardmap.CustodyReply) {
	h := &c.handoffs[n]
	d := &c.sim.dispatchers[h.from]
	if !d.up || d.member.parked[h.webhook.id] != h.webhook || h.webhook.inDoubtHandoff != n {
		return
	}
	if reply == shardmap.CustodyStateLost {
		h.webhook.peerLostState = true
		return
	}
	if reply == shardmap.CustodyTaken {
		c.releaseWebhook(d, h.webhook, h.to)
	} else {
		c.reclaimWebhook(d, h.webhook)
	}
}

// reclaimWebhook ends a doubt: a webhook is this dispatcher's. Guards against a second copy from one that took it on,
// was lost and came back.
func (c *clusterState) reclaimWebhook(d *dispatcher, w *webhook) {
	d.member.handoffRecords[w.id] = handoffRecord{acceptedUpTo: max(d.member.handoffRecords[w.id].acceptedUpTo, c.handoffs[w.handoff].sequence), owned: true}
	w.inDoubtHandoff, w.handingOff, w.peerLostState = noHandoff, false, false
	d.enqueue(notification{kind: notifyOwnership})
	c.scheduleParkedReview(d, 0)
}

// releaseWebhook ends a copy that is another's.
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
