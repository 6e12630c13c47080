package engine

import (
	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// handoff is a webhook on its way to its home.
type handoff struct {
	webhook           *webhook // as it was sent
	from, to          int32
	senderIncarnation uint32 // of its sender
	sequence          uint32
	decision          shardmap.Decision
	sentAt            api.Micros
	receiverStateID   uint32 // of whom it was sent to, by then
	hops              int
	fromClient        bool // its client waits, and nothing is in the sender's journal yet

	answered    bool // its sender has an answer, or waits no more
	failed      bool // lost, or not taken: it comes to nothing more
	accepted    bool
	keptLocally bool // its sender keeps a copy
	orphaned    bool // its sender died while its client waited

	reply      shardmap.CustodyReply
	admission  shardmap.Admission
	redirect   shardmap.Decision
	bufferFull bool
}

// forwardSubmission sends a client's webhook to its home; false: it is to be taken on here.
func (h *clusterState) forwardSubmission(d *dispatcher, w *webhook) bool {
	w.custodyState = custodyState{inDoubtHandoff: noHandoff, receivedAt: never}
	v := d.decide(h.simulation.requests[w.request].destination)
	if v.Action != shardmap.Forward || h.behavior.mayCall(v) {
		return false
	}
	if d.pausedUntil > h.simulation.now { // it is heard when the dispatcher goes on
		h.simulation.schedule(d.pausedUntil-h.simulation.now, scheduledEvent{kind: evSubmit, subject: w.request})
		return true
	}
	h.sendHandoff(d, w, v, 0, true)
	return true
}

func (h *clusterState) sendHandoff(d *dispatcher, w *webhook, v shardmap.Decision, hops int, fresh bool) {
	h.handoffCount++
	n := int32(len(h.handoffs))
	to := &h.simulation.dispatchers[h.dispatcherOf[v.Owner]]
	h.handoffs = append(h.handoffs, handoff{webhook: w, from: d.number, to: to.number, senderIncarnation: d.incarnation, sequence: h.handoffCount, decision: v,
		sentAt: h.simulation.now, receiverStateID: to.member.stateID, hops: hops, fromClient: fresh})
	if w.handingOff, w.handoff = true, n; fresh {
		d.member.clientHandoffs[n] = true
	}
	if h.handoffs[n].failed = h.isMessageLost(); !h.handoffs[n].failed {
		h.simulation.schedule(h.messageDelay(d.zone, to.zone), scheduledEvent{kind: evHandoffArrival, subject: n})
	}
	h.simulation.schedule(clientTimeout/handoffTimeoutDivisor, scheduledEvent{kind: evHandoffTimeout, subject: n})
}

// receiveHandoff is an offer at whom it was sent to.
func (h *clusterState) receiveHandoff(n int32) {
	o := &h.handoffs[n]
	d := &h.simulation.dispatchers[o.to]
	switch {
	case !d.up: // its connection is refused: surely it is not there
		h.rejectHandoff(n, shardmap.CustodyNever)
		return
	case d.pausedUntil > h.simulation.now:
		h.simulation.queue.Add(int64(d.pausedUntil), scheduledEvent{kind: evHandoffArrival, subject: n})
		return
	}
	dest, id := h.simulation.requests[o.webhook.request].destination, o.webhook.id
	known, here := d.member.handoffRecords[id], d.webhooks[id]
	switch {
	case here != nil && !here.persisted:
		return // in its inbox from elsewhere: no answer yet
	case here != nil && (here.inDoubtHandoff != noHandoff || here.handingOff): // it is this one's: whoever has it lets it go
		here.inDoubtHandoff, here.handingOff, here.attempts = noHandoff, false, max(here.attempts, o.webhook.attempts)
		if here.mayHaveRunAt == never {
			here.mayHaveRunAt, here.zone = o.webhook.mayHaveRunAt, o.webhook.zone
		}
		h.acceptDuplicate(d, here, o.sequence)
		h.replyToHandoff(n, shardmap.CustodyTaken)
		return
	case here != nil && !known.owned: // it came to both, and is this one's own
		h.acceptDuplicate(d, here, o.sequence)
		h.replyToHandoff(n, shardmap.CustodyTaken)
		return
	case known.acceptedUpTo >= o.sequence || known.owned:
		h.replyToHandoff(n, shardmap.CustodyTaken)
		return
	case known.deniedUpTo >= o.sequence:
		h.rejectHandoff(n, shardmap.CustodyNever)
		return
	}
	admission, told := d.member.admitKey(d.localMember(), h.keyHashes[dest], o.decision.Version)
	o.admission, o.redirect = admission, told
	o.bufferFull = admission == shardmap.AdmissionAccepted && d.openWebhooks >= h.simulation.scenario.Dispatchers.BufferSize
	if admission != shardmap.AdmissionAccepted || o.bufferFull || h.simulation.now >= h.simulation.requests[o.webhook.request].deadline {
		if o.bufferFull && o.fromClient {
			h.simulation.Bus.Emit(event.Event{At: h.simulation.now, Kind: event.BufferFull, Dispatcher: d.number,
				Request: event.RequestID(o.webhook.request), Destination: dest, EventType: h.simulation.requests[o.webhook.request].eventType})
		}
		h.rejectHandoff(n, shardmap.CustodyNever)
		return
	}
	o.admission = 0
	if o.accepted = true; !o.fromClient || o.keptLocally {
		h.countCopy(o.webhook.request)
	}
	d.enqueueAcceptance(&webhook{id: id, request: o.webhook.request, attempts: o.webhook.attempts, mayHaveRunAt: o.webhook.mayHaveRunAt, zone: o.webhook.zone,
		call: -1, custodyState: custodyState{inDoubtHandoff: noHandoff, receivedAt: h.simulation.now}}, n)
	if h.behavior.acknowledgesEarly {
		h.replyToHandoff(n, shardmap.CustodyTaken)
	}
}

// countCopy counts one more copy of a webhook, of which the first may have ended.
func (h *clusterState) countCopy(n int32) {
	o := &h.simulation.requests[n]
	if o.copies == 0 {
		h.simulation.openRequests++
	}
	o.copies++
}

// acceptDuplicate notes that what another sent is here already.
func (h *clusterState) acceptDuplicate(d *dispatcher, here *webhook, by uint32) {
	d.member.handoffRecords[here.id] = handoffRecord{acceptedUpTo: by, owned: true}
	h.simulation.Bus.Emit(h.simulation.webhookEvent(event.HandoffAccepted, d, here, event.Event{}))
	d.enqueue(notification{kind: notifyOwnership})
}

func (b *memberState) admitKey(who shardmap.LocalMember, key cluster.KeyHash,
	by cluster.Version) (shardmap.Admission, shardmap.Decision) {
	if b.shardMap == nil {
		return shardmap.AdmissionMapStale, shardmap.Decision{}
	}
	return b.shardMap.AdmitKey(who, key, by)
}

// rejectHandoff notes that an offer is not taken by this try and never will be, and says so.
func (h *clusterState) rejectHandoff(n int32, reply shardmap.CustodyReply) {
	o := &h.handoffs[n]
	if o.failed = true; o.orphaned {
		h.simulation.closeCopy(o.webhook.request)
	}
	h.replyToHandoff(n, reply)
}

func (h *clusterState) replyToHandoff(n int32, reply shardmap.CustodyReply) {
	o := &h.handoffs[n]
	o.reply = reply
	if !h.isMessageLost() {
		h.simulation.schedule(h.messageDelay(h.simulation.dispatchers[o.to].zone, h.simulation.dispatchers[o.from].zone), scheduledEvent{kind: evHandoffReply, subject: n})
	}
}

// acceptPersisted is a webhook that is in the journal: its client may be told so, as the turn's end does for offers.
func (d *dispatcher) acceptPersisted(w *webhook, by int32) {
	w.persisted = true
	if by != noHandoff {
		o := &d.m.cluster.handoffs[by]
		d.member.handoffRecords[w.id] = handoffRecord{acceptedUpTo: o.sequence, owned: true}
		d.m.Bus.Emit(d.m.webhookEvent(event.HandoffAccepted, d, w, event.Event{Attempt: w.attempts}))
		w.unacknowledged = true
		d.member.acknowledgements = append(d.member.acknowledgements, by)
	}
	d.submitOrPark(w)
}

// acknowledgeHandoffs says what the turn's journal holds.
func (d *dispatcher) acknowledgeHandoffs() {
	if d.member == nil {
		return
	}
	for _, n := range d.member.acknowledgements {
		if w := d.webhooks[d.m.cluster.handoffs[n].webhook.id]; w != nil {
			w.unacknowledged = false
		}
		d.m.cluster.replyToHandoff(n, shardmap.CustodyTaken)
	}
	d.member.acknowledgements = d.member.acknowledgements[:0]
}

// dropUnaccepted is an offer that was in the inbox of a dispatcher that dies: its sender still has it.
func (h *clusterState) dropUnaccepted(d *dispatcher, n notification) {
	o := &h.handoffs[n.handoff]
	delete(d.webhooks, n.id)
	if o.accepted, o.failed = false, true; o.keptLocally || !o.fromClient || o.orphaned {
		h.simulation.closeCopy(o.webhook.request)
	}
}
