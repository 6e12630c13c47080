package shardmap

import (
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// What a member does with messages, as cluster/member must: each webhook under its own lock, one durable write at a time.

func (w *model) send(m message) {
	i := slices.IndexFunc(w.network[:], func(m message) bool { return m.kind == noMessage })
	if i < 0 {
		return // lost
	}
	w.network[i] = m
	slices.SortFunc(w.network[:], func(a, b message) int { return b.compare(a) })
}

func (w *model) hasRoom() bool { return w.network[maxMessages-1].kind == noMessage }

func (p *processState) setSteps(webhook int8, steps ...step) {
	p.steps, p.webhook = [maxSteps]step{}, webhook
	copy(p.steps[:], steps)
}

// runSteps does a member's next step, and those that follow it up to the next durable write.
func (w *model) runSteps(i int8) {
	p := &w.processes[i]
	for first := true; p.isBusy() && (first || p.steps[0] >= stepSend && p.steps[0] != stepCall); first = false {
		next, n := p.steps[0], p.webhook
		copy(p.steps[:], p.steps[1:])
		p.steps[maxSteps-1] = stepNothing
		c := &p.copies[n]
		switch next {
		case stepWriteRecord:
			p.disk[n] = p.memory[n]
		case stepJournalWebhook:
			*c = webhookCopy{present: true, firstRunAt: p.outgoing.firstRunAt, move: p.outgoing.move}
		case stepNoteRun:
			c.firstRunAt = p.outgoing.firstRunAt
		case stepDropWebhook:
			*c = webhookCopy{}
		case stepEndWebhook:
			*c, w.completed[n] = webhookCopy{}, true
		case stepConfirmStoredAndSend:
			p.memory[n].withTable(n, func(k *CustodyTable, name WebhookID) { k.ConfirmStored(name) })
			w.sendPending(i)
		case stepSend:
			w.sendPending(i)
		case stepAcceptToClient:
			w.promised[n] = true
		case stepRollback:
			p.memory[n] = p.rolledBack(n)
		case stepCall:
			w.callLands(i, n)
		}
	}
	if !p.isBusy() {
		p.outgoing, p.before, p.webhook = message{}, modelRecord{}, 0
	}
}

func (p *processState) rolledBack(n int8) modelRecord {
	e := p.memory[n]
	e.withTable(n, func(k *CustodyTable, name WebhookID) { k.Rollback(name, p.before.record(name), p.before.known) })
	return e
}

func (w *model) sendPending(i int8) {
	p := &w.processes[i]
	w.send(p.outgoing)
	if p.outgoing.kind != answerMessage {
		p.awaiting[p.webhook] = p.outgoing
	}
}

func (w *model) callLands(i, n int8) {
	p := &w.processes[i]
	w.effects[n]++
	if w.effects[n] == 1 {
		w.firstEffectAt[n] = int8(w.now)
	}
	switch again := w.effects[n] > 1; {
	case again && w.semantics == api.AtMostOnce:
		w.violation = "an at-most-once webhook was called twice"
	case again && w.semantics == api.Deduplicated && api.Micros(w.now) >= api.Micros(w.firstEffectAt[n])+window:
		w.violation = "a deduplicated webhook was called again after its window"
	}
	w.effects[n] = min(w.effects[n], 2)
	p.copies[n].calling = true
}

// receiveOffer handles an offer. With full, the webhook can't be stored.
func (w *model) receiveOffer(m message, full bool) {
	p := &w.processes[m.to]
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
		p.memory[m.webhook].withTable(m.webhook, func(k *CustodyTable, n WebhookID) {
			r.reply, _ = k.HandleOffer(n, m.handoff, ttl, 0, true)
		})
		w.replyWhileArriving(r)
		return
	}
	p.outgoing, p.before, p.webhook = r, p.memory[m.webhook], m.webhook
	if m.incarnation != p.incarnation && !w.mutation.ignoresIncarnation {
		w.sendReply(m.to, CustodyRejected)
		return
	}
	var admits bool
	if m.move != 0 {
		admits = w.mapOf(m.to).AdmitTransfer(MoveID(m.move), memberIDs[m.to]) == AdmissionAccepted
	} else {
		a, _ := w.mapOf(m.to).AdmitKey(w.localMember(m.to), 0, cluster.Version(m.version))
		admits = a == AdmissionAccepted
	}
	var outcome OfferOutcome
	p.memory[m.webhook].withTable(m.webhook, func(k *CustodyTable, n WebhookID) {
		r.reply, outcome = k.HandleOffer(n, m.handoff, ttl, api.Micros(w.now), admits)
	})
	p.outgoing.reply = r.reply
	switch c := p.copies[m.webhook]; {
	case outcome == OfferTaken && full:
		p.outgoing.reply = CustodyRejected
		p.setSteps(m.webhook, stepWriteRecord, stepRollback, stepWriteRecord, stepSend)
	case outcome == OfferTaken && w.mutation.takenBeforeRecord:
		p.setSteps(m.webhook, stepSend, stepWriteRecord, stepJournalWebhook)
		w.runSteps(m.to)
	case outcome == OfferTaken:
		p.setSteps(m.webhook, stepWriteRecord, stepJournalWebhook, stepConfirmStoredAndSend)
	case outcome == OfferReturnsCopy:
		p.outgoing.firstRunAt = earliest(p.outgoing.firstRunAt, c.firstRunAt)
		p.copies[m.webhook].move = m.move
		p.setSteps(m.webhook, stepNoteRun, stepWriteRecord, stepSend)
	case p.memory[m.webhook] != p.before:
		p.setSteps(m.webhook, stepWriteRecord, stepSend)
	default:
		w.sendReply(m.to, r.reply)
	}
}

// earliest returns the earlier of two times, of which -1 is never.
func earliest(a, b int8) int8 {
	if a < 0 || b < 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (w *model) sendReply(i int8, r CustodyReply) {
	p := &w.processes[i]
	p.outgoing.reply = r
	p.setSteps(p.webhook, stepSend)
	w.runSteps(i)
}

// replyWhileArriving answers a message about a webhook between the write of its record and that of the webhook.
func (w *model) replyWhileArriving(r message) {
	r.firstRunAt, r.move = -1, 0
	if w.mutation.takenWhileArriving && r.reply == CustodyUnknown {
		r.reply = CustodyTaken
	}
	w.send(r)
}

// receiveQuery answers whether this member has a webhook.
func (w *model) receiveQuery(m message) {
	p := &w.processes[m.to]
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
		p.memory[m.webhook].withTable(m.webhook, func(k *CustodyTable, n WebhookID) {
			r.reply, _ = k.HandleQuery(n, m.handoff, ttl)
		})
		w.replyWhileArriving(r)
		return
	}
	p.outgoing, p.webhook = r, m.webhook
	if m.incarnation != p.incarnation && !w.mutation.ignoresIncarnation {
		w.sendReply(m.to, CustodyStateLost)
		return
	}
	mustJournal := false
	p.memory[m.webhook].withTable(m.webhook, func(k *CustodyTable, n WebhookID) {
		r.reply, mustJournal = k.HandleQuery(n, m.handoff, ttl)
	})
	p.outgoing.reply = r.reply
	if mustJournal && !w.mutation.neverNotJournalled {
		p.setSteps(m.webhook, stepWriteRecord, stepSend)
		return
	}
	w.sendReply(m.to, r.reply)
}

// timeOut is what follows when an offer or a query got no reply in time.
func (w *model) timeOut(i, n int8) {
	p := &w.processes[i]
	m := p.awaiting[n]
	p.awaiting[n] = message{}
	if p.fromClient[n] {
		kept := false
		p.memory[n].withTable(n, func(k *CustodyTable, name WebhookID) {
			kept = k.RecordUnansweredForward(name, m.handoff, ttl, Offer{
				To:          memberIDs[m.to],
				Incarnation: uint64(m.incarnation),
				Range:       1,
				Epoch:       cluster.Epoch(m.epoch),
				SentAt:      api.Micros(m.sentAt),
				Uncertain:   true,
			})
		})
		p.fromClient[n], p.outgoing = false, message{firstRunAt: -1}
		w.promised[n] = w.promised[n] || !kept
		if kept {
			p.setSteps(n, stepWriteRecord, stepJournalWebhook, stepAcceptToClient)
		}
		return
	}
	w.resolveReply(i, n, m.handoff, CustodyUnknown, m.kind)
}

// resolveReply applies a reply at the member that queried or offered.
func (w *model) resolveReply(i, n int8, handoff HandoffNumber, r CustodyReply, of messageKind) {
	p := &w.processes[i]
	s, o, out := StayInDoubt, Offer{}, false
	p.memory[n].withTable(n, func(k *CustodyTable, name WebhookID) {
		if w.mutation.rejectionFinal && k.records[name] != nil && r == CustodyRejected {
			k.records[name].Offer.Uncertain = false
		}
		s = k.HandleReply(name, handoff, r)
		var h HandoffNumber
		o, h, out = k.OutstandingOffer(name)
		out = out && h == handoff
	})
	if ran := api.Micros(p.copies[n].firstRunAt); s == StayInDoubt && out && of == queryMessage {
		s = o.Resolve(r, w.rightEnded(i, o), w.eventType(), ran, ttl, api.Micros(w.now))
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
		p.memory[n].withTable(n, func(k *CustodyTable, name WebhookID) { k.HandleReply(name, handoff, CustodyTaken) })
		p.setSteps(n, stepEndWebhook, stepWriteRecord)
	case ForkCopy:
		p.memory[n].withTable(n, func(k *CustodyTable, name WebhookID) {
			k.Fork(name)
			if w.mutation.forkNotRaised {
				k.records[name].Handoff = handoff
			}
		})
		w.forked[n] = true
		p.setSteps(n, stepNoteRun, stepWriteRecord)
	}
}
