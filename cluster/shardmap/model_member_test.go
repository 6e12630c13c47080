package shardmap

import (
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// This file models what a member does with messages. As in cluster/member, each webhook is handled under its own lock,
// with one durable write at a time.

func (md *model) send(m message) {
	i := slices.IndexFunc(md.network[:], func(m message) bool { return m.kind == noMessage })
	if i < 0 {
		return // lost
	}
	md.network[i] = m
	slices.SortFunc(md.network[:], func(a, b message) int { return b.compare(a) })
}

func (md *model) hasRoom() bool { return md.network[maxMessages-1].kind == noMessage }

func (p *processState) setSteps(webhook int8, steps ...step) {
	p.steps, p.webhook = [maxSteps]step{}, webhook
	copy(p.steps[:], steps)
}

// runSteps performs a member's next step, and those after it up to the next durable write or call.
func (md *model) runSteps(i int8) {
	p := &md.processes[i]
	for first := true; p.isBusy() && (first || p.steps[0] >= stepSend && p.steps[0] != stepCall); first = false {
		next, n := p.steps[0], p.webhook
		copy(p.steps[:], p.steps[1:])
		p.steps[maxSteps-1] = stepNone
		c := &p.copies[n]
		switch next {
		case stepWriteRecord:
			p.disk[n] = p.memory[n]
		case stepJournalWebhook:
			*c = webhookCopy{present: true, firstRunAt: p.outgoing.firstRunAt, move: p.outgoing.move}
		case stepJournalFirstRun:
			c.firstRunAt = p.outgoing.firstRunAt
		case stepDropWebhook:
			*c = webhookCopy{}
		case stepEndWebhook:
			*c, md.completed[n] = webhookCopy{}, true
		case stepConfirmStoredAndSend:
			p.memory[n].withTable(n, func(table *CustodyTable, id WebhookID) { table.ConfirmStored(id) })
			md.sendPending(i)
		case stepSend:
			md.sendPending(i)
		case stepAcceptToClient:
			md.acknowledged[n] = true
		case stepRollback:
			p.memory[n] = p.rolledBack(n)
		case stepCall:
			md.performCall(i, n)
		}
	}
	if !p.isBusy() {
		p.outgoing, p.before, p.webhook = message{}, modelRecord{}, 0
	}
}

func (p *processState) rolledBack(n int8) modelRecord {
	e := p.memory[n]
	e.withTable(n, func(table *CustodyTable, id WebhookID) { table.Rollback(id, p.before.record(id), p.before.known) })
	return e
}

func (md *model) sendPending(i int8) {
	p := &md.processes[i]
	md.send(p.outgoing)
	if p.outgoing.kind != answerMessage {
		p.awaiting[p.webhook] = p.outgoing
	}
}

func (md *model) performCall(i, n int8) {
	p := &md.processes[i]
	md.effects[n]++
	if md.effects[n] == 1 {
		md.firstEffectAt[n] = int8(md.now)
	}
	switch isRepeated := md.effects[n] > 1; {
	case isRepeated && md.semantics == api.AtMostOnce:
		md.violation = "an at-most-once webhook was called twice"
	case isRepeated && md.semantics == api.Deduplicated && api.Micros(md.now) >= api.Micros(md.firstEffectAt[n])+window:
		md.violation = "a deduplicated webhook was called again after its window"
	}
	md.effects[n] = min(md.effects[n], 2)
	p.copies[n].calling = true
}

// receiveOffer handles an offer. If full is set, the webhook can't be stored.
func (md *model) receiveOffer(m message, full bool) {
	p := &md.processes[m.to]
	r := message{
		kind:       answerMessage,
		answerTo:   m.kind,
		from:       m.to,
		to:         m.from,
		webhook:    m.webhook,
		handoff:    m.handoff,
		firstRunAt: m.firstRunAt,
		move:       m.move,
	}
	if p.isBusy() {
		p.memory[m.webhook].withTable(m.webhook, func(table *CustodyTable, id WebhookID) {
			r.reply, _ = table.HandleOffer(id, m.handoff, ttl, 0, true)
		})
		md.replyWhileArriving(r)
		return
	}
	p.outgoing, p.before, p.webhook = r, p.memory[m.webhook], m.webhook
	if m.incarnation != p.incarnation && !md.mutation.ignoresIncarnation {
		md.sendReply(m.to, CustodyRejected)
		return
	}
	var admits bool
	if m.move != 0 {
		admits = md.mapOf(m.to).AdmitTransfer(MoveID(m.move), memberIDs[m.to]) == AdmissionAccepted
	} else {
		a, _ := md.mapOf(m.to).AdmitKey(md.localMember(m.to), 0, cluster.Version(m.version))
		admits = a == AdmissionAccepted
	}
	var outcome OfferOutcome
	p.memory[m.webhook].withTable(m.webhook, func(table *CustodyTable, id WebhookID) {
		r.reply, outcome = table.HandleOffer(id, m.handoff, ttl, api.Micros(md.now), admits)
	})
	p.outgoing.reply = r.reply
	switch c := p.copies[m.webhook]; {
	case outcome == OfferTaken && full:
		p.outgoing.reply = CustodyRejected
		p.setSteps(m.webhook, stepWriteRecord, stepRollback, stepWriteRecord, stepSend)
	case outcome == OfferTaken && md.mutation.takenBeforeRecord:
		p.setSteps(m.webhook, stepSend, stepWriteRecord, stepJournalWebhook)
		md.runSteps(m.to)
	case outcome == OfferTaken:
		p.setSteps(m.webhook, stepWriteRecord, stepJournalWebhook, stepConfirmStoredAndSend)
	case outcome == OfferReturnsCopy:
		p.outgoing.firstRunAt = earliest(p.outgoing.firstRunAt, c.firstRunAt)
		p.copies[m.webhook].move = m.move
		p.setSteps(m.webhook, stepJournalFirstRun, stepWriteRecord, stepSend)
	case p.memory[m.webhook] != p.before:
		p.setSteps(m.webhook, stepWriteRecord, stepSend)
	default:
		md.sendReply(m.to, r.reply)
	}
}

// earliest returns the earlier of two times, where -1 means never.
func earliest(a, b int8) int8 {
	if a < 0 || b < 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (md *model) sendReply(i int8, r CustodyReply) {
	p := &md.processes[i]
	p.outgoing.reply = r
	p.setSteps(p.webhook, stepSend)
	md.runSteps(i)
}

// replyWhileArriving answers a message about a webhook whose record has been written, but which has not been stored
// itself.
func (md *model) replyWhileArriving(r message) {
	r.firstRunAt, r.move = -1, 0
	if md.mutation.takenWhileArriving && r.reply == CustodyUnknown {
		r.reply = CustodyTaken
	}
	md.send(r)
}

// receiveQuery answers whether this member has taken a webhook.
func (md *model) receiveQuery(m message) {
	p := &md.processes[m.to]
	r := message{
		kind:       answerMessage,
		answerTo:   queryMessage,
		from:       m.to,
		to:         m.from,
		webhook:    m.webhook,
		handoff:    m.handoff,
		firstRunAt: -1,
	}
	if p.isBusy() {
		p.memory[m.webhook].withTable(m.webhook, func(table *CustodyTable, id WebhookID) {
			r.reply, _ = table.HandleQuery(id, m.handoff, ttl)
		})
		md.replyWhileArriving(r)
		return
	}
	p.outgoing, p.webhook = r, m.webhook
	if m.incarnation != p.incarnation && !md.mutation.ignoresIncarnation {
		md.sendReply(m.to, CustodyStateLost)
		return
	}
	mustJournal := false
	p.memory[m.webhook].withTable(m.webhook, func(table *CustodyTable, id WebhookID) {
		r.reply, mustJournal = table.HandleQuery(id, m.handoff, ttl)
	})
	p.outgoing.reply = r.reply
	if mustJournal && !md.mutation.neverNotJournalled {
		p.setSteps(m.webhook, stepWriteRecord, stepSend)
		return
	}
	md.sendReply(m.to, r.reply)
}

// timeOut does what a member does when an offer or a query got no reply in time.
func (md *model) timeOut(i, n int8) {
	p := &md.processes[i]
	m := p.awaiting[n]
	p.awaiting[n] = message{}
	if p.fromClient[n] {
		kept := false
		p.memory[n].withTable(n, func(table *CustodyTable, id WebhookID) {
			kept = table.RecordUnansweredForward(id, m.handoff, ttl, Offer{
				To:          memberIDs[m.to],
				Incarnation: uint64(m.incarnation),
				Range:       1,
				Epoch:       cluster.Epoch(m.epoch),
				SentAt:      api.Micros(m.sentAt),
				Uncertain:   true,
			})
		})
		p.fromClient[n], p.outgoing = false, message{firstRunAt: -1}
		md.acknowledged[n] = md.acknowledged[n] || !kept
		if kept {
			p.setSteps(n, stepWriteRecord, stepJournalWebhook, stepAcceptToClient)
		}
		return
	}
	md.resolveReply(i, n, m.handoff, CustodyUnknown, m.kind)
}

// resolveReply processes the reply to an offer or a query at the member that sent it.
func (md *model) resolveReply(i, n int8, handoff HandoffNumber, r CustodyReply, of messageKind) {
	p := &md.processes[i]
	s, o, out := StayInDoubt, Offer{}, false
	p.memory[n].withTable(n, func(table *CustodyTable, id WebhookID) {
		if md.mutation.rejectionFinal && table.records[id] != nil && r == CustodyRejected {
			table.records[id].Offer.Uncertain = false
		}
		s = table.HandleReply(id, handoff, r)
		var h HandoffNumber
		o, h, out = table.OutstandingOffer(id)
		out = out && h == handoff
	})
	if ran := api.Micros(p.copies[n].firstRunAt); s == StayInDoubt && out && of == queryMessage {
		s = o.Resolve(r, md.rightEnded(i, o), md.eventType(), ran, ttl, api.Micros(md.now))
	}
	p.outgoing = message{firstRunAt: earliest(p.copies[n].firstRunAt, int8(o.SentAt))}
	switch s {
	case StayInDoubt:
		p.outgoing = message{}
	case DropCopy:
		p.setSteps(n, stepDropWebhook, stepWriteRecord)
	case KeepCopy:
		p.setSteps(n, stepWriteRecord)
	case DeadLetterCopy:
		p.memory[n].withTable(n, func(table *CustodyTable, id WebhookID) { table.HandleReply(id, handoff, CustodyTaken) })
		p.setSteps(n, stepEndWebhook, stepWriteRecord)
	case ForkCopy:
		p.memory[n].withTable(n, func(table *CustodyTable, id WebhookID) {
			table.Fork(id)
			if md.mutation.forkNotRaised {
				table.records[id].Handoff = handoff
			}
		})
		md.forked[n] = true
		p.setSteps(n, stepJournalFirstRun, stepWriteRecord)
	}
}
