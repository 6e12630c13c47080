package engine

import (
	"rowanlink/cluster/shardmap"
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

const noHandoff = int32(-1)

// handoff is one attempt to hand a webhook off to the owner of its destination.
type handoff struct {
	webhook           *webhook // at the sender
	from, to          int32
	senderIncarnation uint32
	sequence          uint32 // of all handoffs of the run, from 1
	decision          shardmap.Decision
	sentAt            api.Micros
	receiverStateID   uint32 // of the receiver when it was sent; see memberState.stateID
	hops              int
	fromClient        bool // the client waits for the response; the sender hasn't accepted the webhook

	answered    bool // the sender has a reply, or waits no longer
	failed      bool // the receiver won't accept it any more
	accepted    bool
	keptLocally bool // the sender accepted the webhook instead
	orphaned    bool // the sender died while its client waited

	reply      shardmap.CustodyReply
	admission  shardmap.Admission
	redirect   shardmap.Decision
	bufferFull bool
}

// forwardSubmission forwards a client's webhook to the owner. It returns false if the dispatcher is to accept it.
func (c *clusterState) forwardSubmission(d *dispatcher, w *webhook) bool {
	w.custodyState = custodyState{inDoubtHandoff: noHandoff, receivedAt: never}
	decision := d.decide(c.sim.requests[w.request].destination)
	if decision.Action != shardmap.Forward || c.behavior.mayCall(decision) {
		return false
	}
	if c.postponeIfPaused(d, scheduledEvent{kind: evSubmit, subject: w.request}) {
		return true
	}
	c.sendHandoff(d, w, decision, 0, true)
	return true
}

func (c *clusterState) sendHandoff(d *dispatcher, w *webhook, decision shardmap.Decision, hops int, fromClient bool) {
	c.handoffCount++
	n := int32(len(c.handoffs))
	receiver := &c.sim.dispatchers[c.dispatcherOf[decision.Owner]]
	w.handingOff = true
	w.handoff = n
	if fromClient {
		d.member.clientHandoffs[n] = true
	}
	arrives := c.send(d.zone, receiver.zone, scheduledEvent{kind: evHandoffArrival, subject: n})
	c.handoffs = append(c.handoffs, handoff{
		webhook:           w,
		from:              d.number,
		to:                receiver.number,
		senderIncarnation: d.incarnation,
		sequence:          c.handoffCount,
		decision:          decision,
		sentAt:            c.sim.now,
		receiverStateID:   receiver.member.stateID,
		hops:              hops,
		fromClient:        fromClient,
		failed:            !arrives,
	})
	c.sim.schedule(clientTimeout/handoffTimeoutDivisor, scheduledEvent{kind: evHandoffTimeout, subject: n})
}

// handleHandoffReply handles the receiver's reply at the sender.
func (c *clusterState) handleHandoffReply(n int32) {
	h := &c.handoffs[n]
	d := &c.sim.dispatchers[h.from]
	if !c.isAwaited(h) || c.postponeIfPaused(d, scheduledEvent{kind: evHandoffReply, subject: n}) {
		return
	}
	h.answered = true
	delete(d.member.clientHandoffs, n)
	switch {
	case h.reply == shardmap.CustodyTaken && h.fromClient:
		acknowledged := event.Event{Peer: h.to}
		c.sim.Bus.Emit(c.sim.webhookEvent(event.HandoffAcknowledged, d, h.webhook, acknowledged))
	case !h.fromClient && (!h.webhook.handingOff || h.webhook.handoff != n): // resolved by another message
	case h.reply == shardmap.CustodyTaken:
		c.releaseWebhook(d, h.webhook, h.to)
	case c.shouldFollowRedirect(d, h):
		next := h.redirect
		next.Action = shardmap.Forward
		c.sendHandoff(d, h.webhook, next, h.hops+1, h.fromClient)
	case !h.fromClient:
		h.webhook.handingOff = false
		d.enqueue(notification{kind: notifyOwnership})
	case h.bufferFull: // passed on to the client
		c.sim.scheduleResubmission(h.webhook.request, 0)
	default:
		c.acceptLocally(n, noHandoff)
	}
}

// isAwaited reports whether the sender still waits for a reply.
func (c *clusterState) isAwaited(h *handoff) bool {
	sender := &c.sim.dispatchers[h.from]
	return !h.answered && sender.up && sender.incarnation == h.senderIncarnation
}

func (c *clusterState) shouldFollowRedirect(d *dispatcher, h *handoff) bool {
	return shardmap.ShouldFollowRedirect(h.decision, h.redirect, h.admission, h.hops) &&
		h.redirect.Owner != d.member.name
}

// handleHandoffTimeout handles a missing reply at the sender: the receiver may have the webhook or not.
func (c *clusterState) handleHandoffTimeout(n int32) {
	h := &c.handoffs[n]
	d := &c.sim.dispatchers[h.from]
	if !c.isAwaited(h) || c.postponeIfPaused(d, scheduledEvent{kind: evHandoffTimeout, subject: n}) {
		return
	}
	h.answered = true
	delete(d.member.clientHandoffs, n)
	switch {
	case h.fromClient:
		c.acceptLocally(n, n)
	case d.webhooks[h.webhook.id] == h.webhook && h.webhook.handingOff && h.webhook.handoff == n:
		h.webhook.inDoubtHandoff = n
	}
}

// acceptLocally accepts a client's webhook where it was submitted. inDoubt is the handoff with an unknown outcome, or
// noHandoff.
func (c *clusterState) acceptLocally(n, inDoubt int32) {
	h := &c.handoffs[n]
	d := &c.sim.dispatchers[h.from]
	if d.webhooks[h.webhook.id] != nil {
		return // its owner has handed it off to here since
	}
	h.keptLocally = true
	if h.accepted {
		c.countCopy(h.webhook.request)
	}
	h.webhook.inDoubtHandoff = inDoubt
	h.webhook.handingOff = false
	d.enqueueAcceptance(h.webhook, noHandoff)
}
