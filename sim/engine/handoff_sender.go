package engine

import (
	"rowanlink/cluster/shardmap"
	"rowanlink/sim/event"
)

// handleHandoffReply is an answer at the sender.
func (h *clusterState) handleHandoffReply(n int32) {
	o := &h.handoffs[n]
	d := &h.simulation.dispatchers[o.from]
	if o.answered || !d.up || d.incarnation != o.senderIncarnation {
		return
	}
	if d.pausedUntil > h.simulation.now {
		h.simulation.queue.Add(int64(d.pausedUntil), scheduledEvent{kind: evHandoffReply, subject: n})
		return
	}
	o.answered = true
	delete(d.member.clientHandoffs, n)
	switch {
	case o.reply == shardmap.CustodyTaken && o.fromClient:
		h.simulation.Bus.Emit(h.simulation.webhookEvent(event.HandoffAcknowledged, d, o.webhook, event.Event{Peer: o.to}))
	case !o.fromClient && (!o.webhook.handingOff || o.webhook.handoff != n): // settled by another message
	case o.reply == shardmap.CustodyTaken:
		h.releaseWebhook(d, o.webhook, o.to)
	case shardmap.ShouldFollowRedirect(o.decision, o.redirect, o.admission, o.hops) && o.redirect.Owner != d.member.name:
		next := o.redirect
		next.Action = shardmap.Forward
		h.sendHandoff(d, o.webhook, next, o.hops+1, o.fromClient)
	case !o.fromClient:
		o.webhook.handingOff = false
		d.enqueue(notification{kind: notifyOwnership})
	case o.bufferFull: // its home's buffer is: its client is told so
		h.simulation.scheduleResubmission(o.webhook.request, 0)
	default:
		h.acceptLocally(n, noHandoff)
	}
}

// handleHandoffTimeout is a sender that waits no more: the home may have the webhook or not.
func (h *clusterState) handleHandoffTimeout(n int32) {
	o := &h.handoffs[n]
	d := &h.simulation.dispatchers[o.from]
	if o.answered || !d.up || d.incarnation != o.senderIncarnation {
		return
	}
	if d.pausedUntil > h.simulation.now {
		h.simulation.queue.Add(int64(d.pausedUntil), scheduledEvent{kind: evHandoffTimeout, subject: n})
		return
	}
	o.answered = true
	delete(d.member.clientHandoffs, n)
	if o.fromClient {
		h.acceptLocally(n, n)
	} else if d.webhooks[o.webhook.id] == o.webhook && o.webhook.handingOff && o.webhook.handoff == n {
		o.webhook.inDoubtHandoff = n
	}
}

// acceptLocally takes a client's webhook on where it came in.
func (h *clusterState) acceptLocally(n, doubt int32) {
	o := &h.handoffs[n]
	if h.simulation.dispatchers[o.from].webhooks[o.webhook.id] != nil {
		return // its home has passed it on meanwhile, to here
	}
	if o.keptLocally = true; o.accepted {
		h.countCopy(o.webhook.request)
	}
	o.webhook.inDoubtHandoff, o.webhook.handingOff = doubt, false
	h.simulation.dispatchers[o.from].enqueueAcceptance(o.webhook, noHandoff)
}
