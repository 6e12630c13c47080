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
		e := &d.m.scenario.EventTypes[d.m.requests[w.request].eventType]
		if !w.finished && w.receivedAt != never && w.mayHaveRunAt == never && e.Semantics == "tokened" && !e.DedupByZone {
			w.mayHaveRunAt = w.receivedAt
		}
	}
}

// scheduleParkedReview has a dispatcher look at what it has parked, once.
func (h *clusterState) scheduleParkedReview(d *dispatcher, in api.Micros) {
	if !d.member.reviewScheduled {
		d.member.reviewScheduled = true
		h.simulation.schedule(in, scheduledEvent{kind: evParkedReview, subject: d.number, generation: d.incarnation})
	}
}

// reviewParked hands on what belongs elsewhere and asks for what is in doubt.
func (h *clusterState) reviewParked(d *dispatcher) {
	b := d.member
	if b.reviewScheduled = false; b.shardMap == nil { // a new map has it look
		return
	}
	for _, id := range slices.Sorted(maps.Keys(b.parked)) {
		w := b.parked[id]
		v := d.decide(h.simulation.requests[w.request].destination)
		switch {
		case w.inDoubtHandoff != noHandoff:
			h.resolveInDoubt(d, w)
		case h.behavior.mayCall(v):
			d.enqueue(notification{kind: notifyOwnership})
		case v.Action == shardmap.Forward && !w.handingOff:
			h.sendHandoff(d, w, v, 0, false)
		}
	}
	if len(b.parked) > 0 {
		h.scheduleParkedReview(d, h.simulation.scenario.Ownership.LeaseTTL.micros()/reviewsPerTTL)
	}
}

// resolveInDoubt asks who was sent a webhook whether it has it. One that stays silent may have called.
func (h *clusterState) resolveInDoubt(d *dispatcher, w *webhook) {
	o := &h.handoffs[w.inDoubtHandoff]
	r, ok := d.member.shardMap.RangeOf(h.keyHashes[h.simulation.requests[w.request].destination])
	ended := ok && (r.Owner != o.decision.Owner || r.Epoch > o.decision.Epoch) || w.peerLostState
	asked := *w
	if asked.mayHaveRunAt == never {
		asked.mayHaveRunAt = o.sentAt
	}
	if h.behavior.mayReclaim(&asked, &h.simulation.scenario.EventTypes[h.simulation.requests[w.request].eventType], ended, h.simulation.now) {
		w.mayHaveRunAt = asked.mayHaveRunAt
		h.simulation.Bus.Emit(h.simulation.webhookEvent(event.Recovered, d, w, event.Event{Attempt: w.attempts}))
		h.reclaimWebhook(d, w)
		return
	}
	if !h.isMessageLost() {
		h.simulation.schedule(h.messageDelay(d.zone, h.simulation.dispatchers[o.to].zone), scheduledEvent{kind: evCustodyQuery, subject: w.inDoubtHandoff})
	}
}

// handleCustodyQuery is whether an offer was taken, at whom it was sent to, or the answer at its sender. A no is kept:
// what is still on its way comes in vain.
func (h *clusterState) handleCustodyQuery(n int32, back shardmap.CustodyReply) {
	o := &h.handoffs[n]
	if back != shardmap.CustodyUnknown {
		h.handleCustodyReply(n, back)
		return
	}
	d := &h.simulation.dispatchers[o.to]
	switch {
	case !d.up:
		return
	case d.pausedUntil > h.simulation.now:
		h.simulation.queue.Add(int64(d.pausedUntil), scheduledEvent{kind: evCustodyQuery, subject: n})
		return
	}
	known, here, reply := d.member.handoffRecords[o.webhook.id], d.webhooks[o.webhook.id], shardmap.CustodyNever
	away := here != nil && (here.inDoubtHandoff != noHandoff || here.handingOff)
	switch {
	case d.member.stateID != o.receiverStateID:
		reply = shardmap.CustodyStateLost
	case away && h.handoffs[here.handoff].sequence > o.sequence:
		return // it can't tell yet: were both to say so, each would let it go
	case known.acceptedUpTo >= o.sequence || known.owned && !away:
		reply = shardmap.CustodyTaken
	case here != nil && !here.persisted:
		return // taken in the turn to come
	default:
		known.deniedUpTo = max(known.deniedUpTo, o.sequence)
		d.member.handoffRecords[o.webhook.id] = known
	}
	if !h.isMessageLost() {
		h.simulation.schedule(h.messageDelay(d.zone, h.simulation.dispatchers[o.from].zone), scheduledEvent{kind: evCustodyQuery, subject: n, detail: int32(reply)})
	}
}

func (h *clusterState) handleCustodyReply(n int32, reply shardmap.CustodyReply) {
	o := &h.handoffs[n]
	d := &h.simulation.dispatchers[o.from]
	if !d.up || d.member.parked[o.webhook.id] != o.webhook || o.webhook.inDoubtHandoff != n {
		return
	}
	if reply == shardmap.CustodyStateLost {
		o.webhook.peerLostState = true
		return
	}
	if reply == shardmap.CustodyTaken {
		h.releaseWebhook(d, o.webhook, o.to)
	} else {
		h.reclaimWebhook(d, o.webhook)
	}
}

// reclaimWebhook ends a doubt: a webhook is this dispatcher's. Guards against a second copy from one that took it on,
// was lost and came back.
func (h *clusterState) reclaimWebhook(d *dispatcher, w *webhook) {
	d.member.handoffRecords[w.id] = handoffRecord{acceptedUpTo: max(d.member.handoffRecords[w.id].acceptedUpTo, h.handoffs[w.handoff].sequence), owned: true}
	w.inDoubtHandoff, w.handingOff, w.peerLostState = noHandoff, false, false
	d.enqueue(notification{kind: notifyOwnership})
	h.scheduleParkedReview(d, 0)
}

// releaseWebhook ends a copy that is another's.
func (h *clusterState) releaseWebhook(d *dispatcher, w *webhook, to int32) {
	if d.webhooks[w.id] != w || w.finished {
		return
	}
	h.simulation.Bus.Emit(h.simulation.webhookEvent(event.HandoffAcknowledged, d, w, event.Event{Peer: to}))
	delete(d.webhooks, w.id)
	delete(d.member.parked, w.id)
	if known := d.member.handoffRecords[w.id]; known.owned {
		known.owned = false
		d.member.handoffRecords[w.id] = known
	}
	d.openWebhooks--
	h.simulation.closeCopy(w.request)
}
