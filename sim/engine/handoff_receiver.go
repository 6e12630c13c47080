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
func (c *clusterState) forwardSubmission(d *dispatcher, w *webhook) bool {
	w.custodyState = custodyState{inDoubtHandoff: noHandoff, receivedAt: never}
	decision := d.decide(c.sim.requests[w.request].destination)
	if decision.Action != shardmap.Forward || c.behavior.mayCall(decision) {
		return false
	}
	if d.pausedUntil > c.sim.now { // it is heard when the dispatcher goes on
		c.sim.schedule(d.pausedUntil-c.sim.now, scheduledEvent{kind: evSubmit, subject: w.request})
		return true
	}
	c.sendHandoff(d, w, decision, 0, true)
	return true
}

func (c *clusterState) sendHandoff(d *dispatcher, w *webhook, decision shardmap.Decision, hops int, fromClient bool) {
	c.handoffCount++
	n := int32(len(c.handoffs))
	to := &c.sim.dispatchers[c.dispatcherOf[decision.Owner]]
	c.handoffs = append(c.handoffs, handoff{webhook: w, from: d.number, to: to.number, senderIncarnation: d.incarnation, sequence: c.handoffCount, decision: decision,
		sentAt: c.sim.now, receiverStateID: to.member.stateID, hops: hops, fromClient: fromClient})
	if w.handingOff, w.handoff = true, n; fromClient {
		d.member.clientHandoffs[n] = true
	}
	if c.handoffs[n].failed = c.isMessageLost(); !c.handoffs[n].failed {
		c.sim.schedule(c.messageDelay(d.zone, to.zone), scheduledEvent{kind: evHandoffArrival, subject: n})
	}
	c.sim.schedule(clientTimeout/handoffTimeoutDivisor, scheduledEvent{kind: evHandoffTimeout, subject: n})
}

// receiveHandoff is an offer at whom it was sent to.
func (c *clusterState) receiveHandoff(n int32) {
	h := &c.handoffs[n]
	d := &c.sim.dispatchers[h.to]
	switch {
	case !d.up: // its connection is refused: surely it is not there
		c.rejectHandoff(n, shardmap.CustodyNever)
		return
	case d.pausedUntil > c.sim.now:
		c.sim.queue.Add(int64(d.pausedUntil), scheduledEvent{kind: evHandoffArrival, subject: n})
		return
	}
	dest, id := c.sim.requests[h.webhook.request].destination, h.webhook.id
	record, existing := d.member.handoffRecords[id], d.webhooks[id]
	switch {
	case existing != nil && !existing.persisted:
		return // in its inbox from elsewhere: no answer yet
	case existing != nil && (existing.inDoubtHandoff != noHandoff || existing.handingOff): // it is this one's: whoever has it lets it go
		existing.inDoubtHandoff, existing.handingOff, existing.attempts = noHandoff, false, max(existing.attempts, h.webhook.attempts)
		if existing.mayHaveRunAt == never {
			existing.mayHaveRunAt, existing.zone = h.webhook.mayHaveRunAt, h.webhook.zone
		}
		c.acceptDuplicate(d, existing, h.sequence)
		c.replyToHandoff(n, shardmap.CustodyTaken)
		return
	case existing != nil && !record.owned: // it came to both, and is this one's own
		c.acceptDuplicate(d, existing, h.sequence)
		c.replyToHandoff(n, shardmap.CustodyTaken)
		return
	case record.acceptedUpTo >= h.sequence || record.owned:
		c.replyToHandoff(n, shardmap.CustodyTaken)
		return
	case record.deniedUpTo >= h.sequence:
		c.rejectHandoff(n, shardmap.CustodyNever)
		return
	}
	admission, told := d.member.admitKey(d.localMember(), c.keyHashes[dest], h.decision.Version)
	h.admission, h.redirect = admission, told
	h.bufferFull = admission == shardmap.AdmissionAccepted && d.openWebhooks >= c.sim.scenario.Dispatchers.BufferSize
	if admission != shardmap.AdmissionAccepted || h.bufferFull || c.sim.now >= c.sim.requests[h.webhook.request].deadline {
		if h.bufferFull && h.fromClient {
			c.sim.Bus.Emit(event.Event{At: c.sim.now, Kind: event.BufferFull, Dispatcher: d.number,
				Request: event.RequestID(h.webhook.request), Destination: dest, EventType: c.sim.requests[h.webhook.request].eventType})
		}
		c.rejectHandoff(n, shardmap.CustodyNever)
		return
	}
	h.admission = 0
	if h.accepted = true; !h.fromClient || h.keptLocally {
		c.countCopy(h.webhook.request)
	}
	d.enqueueAcceptance(&webhook{id: id, request: h.webhook.request, attempts: h.webhook.attempts, mayHaveRunAt: h.webhook.mayHaveRunAt, zone: h.webhook.zone,
		call: -1, custodyState: custodyState{inDoubtHandoff: noHandoff, receivedAt: c.sim.now}}, n)
	if c.behavior.acknowledgesEarly {
		c.replyToHandoff(n, shardmap.CustodyTaken)
	}
}

// countCopy counts one more copy of a webhook, of which the first may have ended.
func (c *clusterState) countCopy(n int32) {
	request := &c.sim.requests[n]
	if request.copies == 0 {
		c.sim.openRequests++
	}
	request.copies++
}

// acceptDuplicate notes that what another sent is here already.
func (c *clusterState) acceptDuplicate(d *dispatcher, existing *webhook, by uint32) {
	d.member.handoffRecords[existing.id] = handoffRecord{acceptedUpTo: by, owned: true}
	c.sim.Bus.Emit(c.sim.webhookEvent(event.HandoffAccepted, d, existing, event.Event{}))
	d.enqueue(notification{kind: notifyOwnership})
}

func (ms *memberState) admitKey(who shardmap.LocalMember, key cluster.KeyHash,
	by cluster.Version) (shardmap.Admission, shardmap.Decision) {
	if ms.shardMap == nil {
		return shardmap.AdmissionMapStale, shardmap.Decision{}
	}
	return ms.shardMap.AdmitKey(who, key, by)
}

// rejectHandoff notes that an offer is not taken by this try and never will be, and says so.
func (c *clusterState) rejectHandoff(n int32, reply shardmap.CustodyReply) {
	h := &c.handoffs[n]
	if h.failed = true; h.orphaned {
		c.sim.closeCopy(h.webhook.request)
	}
	c.replyToHandoff(n, reply)
}

func (c *clusterState) replyToHandoff(n int32, reply shardmap.CustodyReply) {
	h := &c.handoffs[n]
	h.reply = reply
	if !c.isMessageLost() {
		c.sim.schedule(c.messageDelay(c.sim.dispatchers[h.to].zone, c.sim.dispatchers[h.from].zone), scheduledEvent{kind: evHandoffReply, subject: n})
	}
}

// acceptPersisted is a webhook that is in the journal: its client may be told so, as the turn's end does for offers.
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

// acknowledgeHandoffs says what the turn's journal holds.
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

// dropUnaccepted is an offer that was in the inbox of a dispatcher that dies: its sender still has it.
func (c *clusterState) dropUnaccepted(d *dispatcher, n notification) {
	h := &c.handoffs[n.handoff]
	delete(d.webhooks, n.id)
	if h.accepted, h.failed = false, true; h.keptLocally || !h.fromClient || h.orphaned {
		c.sim.closeCopy(h.webhook.request)
	}
}
