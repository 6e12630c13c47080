package engine

import (
	"rowanlink/cluster/shardmap"
	"rowanlink/sim/event"
)

// handleHandoffReply is an answer at the sender.
func (c *clusterState) handleHandoffReply(n int32) {
	h := &c.handoffs[n]
	d := &c.sim.dispatchers[h.from]
	if h.answered || !d.up || d.incarnation != h.senderIncarnation {
		return
	}
	if d.pausedUntil > c.sim.now {
		c.sim.queue.Add(int64(d.pausedUntil), scheduledEvent{kind: evHandoffReply, subject: n})
		return
	}
	h.answered = true
	delete(d.member.clientHandoffs, n)
	switch {
	case h.reply == shardmap.CustodyTaken && h.fromClient:
		c.sim.Bus.Emit(c.sim.webhookEvent(event.HandoffAcknowledged, d, h.webhook, event.Event{Peer: h.to}))
	case !h.fromClient && (!h.webhook.handingOff || h.webhook.handoff != n): // settled by another message
	case h.reply == shardmap.CustodyTaken:
		c.releaseWebhook(d, h.webhook, h.to)
	case shardmap.ShouldFollowRedirect(h.decision, h.redirect, h.admission, h.hops) && h.redirect.Owner != d.member.name:
		next := h.redirect
		next.Action = shardmap.Forward
		c.sendHandoff(d, h.webhook, next, h.hops+1, h.fromClient)
	case !h.fromClient:
		h.webhook.handingOff = false
		d.enqueue(notification{kind: notifyOwnership})
	case h.bufferFull: // its home's buffer is: its client is told so
		c.sim.scheduleResubmission(h.webhook.request, 0)
	default:
		c.acceptLocally(n, noHandoff)
	}
}

// handleHandoffTimeout is a sender that waits no more: the home may have the webhook or not.
func (c *clusterState) handleHandoffTimeout(n int32) {
	h := &c.handoffs[n]
	d := &c.sim.dispatchers[h.from]
	if h.answered || !d.up || d.incarnation != h.senderIncarnation {
		return
	}
	if d.pausedUntil > c.sim.now {
		c.sim.queue.Add(int64(d.pausedUntil), scheduledEvent{kind: evHandoffTimeout, subject: n})
		return
	}
	h.answered = true
	delete(d.member.clientHandoffs, n)
	if h.fromClient {
		c.acceptLocally(n, n)
	} else if d.webhooks[h.webhook.id] == h.webhook && h.webhook.handingOff && h.webhook.handoff == n {
		h.webhook.inDoubtHandoff = n
	}
}

// acceptLocally takes a client's webhook on where it came in.
func (c *clusterState) acceptLocally(n, doubt int32) {
	h := &c.handoffs[n]
	if c.sim.dispatchers[h.from].webhooks[h.webhook.id] != nil {
		return // its home has passed it on meanwhile, to here
	}
	if h.keptLocally = true; h.accepted {
		c.countCopy(h.webhook.request)
	}
	h.webhook.inDoubtHandoff, h.webhook.handingOff = doubt, false
	c.sim.dispatchers[h.from].enqueueAcceptance(h.webhook, noHandoff)
}
