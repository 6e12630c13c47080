package shardmap

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// transition is one thing that may happen next. target is the index of a member or of a message. faultFree transitions
// also happen without faults; then the first one in the list is done first.
type transition struct {
	name            string
	target, webhook int8
	faultFree       bool
	apply           func(w *model, i, n int8)
}

func (m transition) String() string { return fmt.Sprintf("%s: %d %d", m.name, m.target, m.webhook) }

// transitions appends all that may happen in this state.
func (w *model) transitions(all []transition) []transition {
	add := func(enabled bool, name string, target int8, faultFree bool, apply func(*model, int8, int8)) {
		if enabled {
			all = append(all, transition{name, target, 0, faultFree, apply})
		}
	}
	for i := range w.members {
		add(w.processes[i].isBusy(), "performs its next step", i, true, func(w *model, i, _ int8) { w.runSteps(i) })
	}
	for i, m := range w.network {
		to := &w.processes[m.to]
		if m.kind == noMessage || to.isBusy() && (m.kind == answerMessage || !to.memory[m.webhook].arriving) {
			continue
		}
		add(true, "is delivered", int8(i), true, func(w *model, i, _ int8) { w.receiveMessage(i, false, false) })
		again := w.budget.duplicates > 0 && w.hasRoom() && (m.kind == queryMessage || m.isRetry)
		add(again, "is delivered and duplicated", int8(i), false,
			func(w *model, i, _ int8) {
				w.budget.duplicates--
				w.receiveMessage(i, true, false)
			})
		add(w.budget.rejections > 0 && m.kind == offerMessage && !to.isBusy(), "is delivered and can't be stored", int8(i), false,
			func(w *model, i, _ int8) {
				w.budget.rejections--
				w.receiveMessage(i, false, true)
			})
	}
	for i := range w.network {
		add(w.network[i].kind != noMessage, "is lost", int8(i), false, func(w *model, i, _ int8) { w.dropMessage(i) })
	}
	for i := range w.members {
		add(w.processes[i].mapID != w.mapID, "receives the map", i, true, func(w *model, i, _ int8) {
			w.processes[i].mapID = w.mapID
		})
	}
	all = w.ownerTransitions(all)
	for i := range w.members {
		for n := range w.webhooks {
			all = w.webhookTransitions(i, n, all)
		}
	}
	for i := range w.members {
		add(w.budget.crashes > 0, "crashes and restarts", i, false, func(w *model, i, _ int8) {
			w.budget.crashes--
			w.crash(i)
		})
		add(w.budget.folderLosses > 0, "crashes and loses its folder", i, false, func(w *model, i, _ int8) {
			w.budget.folderLosses--
			w.loseFolder(i)
		})
	}
	add(w.budget.clockTicks > 0 && !w.callIsPending(), "the clock advances", 0, false, func(w *model, _, _ int8) {
		w.budget.clockTicks--
		w.now++
	})
	return all
}

// callIsPending reports whether a member is about to call: in the model no time passes between the last check and the
// call. docs/cluster.md treats that gap.
func (w *model) callIsPending() bool {
	return slices.ContainsFunc(w.processes[:], func(p processState) bool { return slices.Contains(p.steps[:], stepCall) })
}

func (w *model) dropMessage(i int8) {
	copy(w.network[i:], w.network[i+1:])
	w.network[maxMessages-1] = message{}
}

func (w *model) receiveMessage(i int8, again, full bool) {
	m := w.network[i]
	if !again {
		w.dropMessage(i)
	}
	switch m.kind {
	case offerMessage:
		w.receiveOffer(m, full)
	case queryMessage:
		w.receiveQuery(m)
	case answerMessage:
		w.receiveAnswer(m)
	}
}

func (w *model) receiveAnswer(m message) {
	p := &w.processes[m.to]
	asked := p.awaiting[m.webhook]
	mine := asked.kind == m.answerTo && asked.to == m.from && asked.handoff == m.handoff
	switch {
	case p.fromClient[m.webhook] && !mine: // nobody waits for it
	case p.fromClient[m.webhook] && m.reply == CustodyUnknown:
		w.timeOut(m.to, m.webhook)
	case p.fromClient[m.webhook] && m.reply == CustodyTaken:
		p.fromClient[m.webhook], p.awaiting[m.webhook], w.promised[m.webhook] = false, message{}, true
	case p.fromClient[m.webhook]:
		p.awaiting[m.webhook] = message{}
		w.acceptFromClient(m.to, m.webhook)
	default:
		if mine {
			p.awaiting[m.webhook] = message{}
		}
		w.resolveReply(m.to, m.webhook, m.handoff, m.reply, m.answerTo)
	}
}

// acceptFromClient has the member that a client submitted a webhook to accept it itself.
func (w *model) acceptFromClient(i, n int8) {
	p := &w.processes[i]
	p.fromClient[n], p.outgoing = false, message{firstRunAt: -1}
	p.setSteps(n, stepJournalWebhook, stepAcceptToClient)
}

func (w *model) webhookTransitions(i, n int8, all []transition) []transition {
	p := &w.processes[i]
	add := func(enabled bool, name string, faultFree bool, apply func(*model, int8, int8)) {
		if enabled {
			all = append(all, transition{name, i, n, faultFree, apply})
		}
	}
	if p.isBusy() {
		return all
	}
	decision, c := w.decision(i), p.copies[n]
	waits := p.awaiting[n].kind != noMessage
	add(w.budget.clients&(1<<n) != 0, "a client submits", true, func(w *model, i, n int8) {
		w.budget.clients &^= 1 << n
		w.processes[i].fromClient[n] = true
		if w.decision(i).Action != Forward {
			w.acceptFromClient(i, n)
			return
		}
		w.sendOffer(i, n, 0, w.decision(i).Owner)
	})
	add(waits && !slices.ContainsFunc(w.network[:], func(m message) bool {
		return m.kind != noMessage && m.webhook == n && (m.from == i || m.to == i)
	}), "gets no reply", true, (*model).timeOut)
	add(waits, "times out", false, (*model).timeOut)
	if !c.present || waits && !w.mutation.callsInDoubt {
		return all
	}
	inDoubt := p.memory[n].to > 0
	parked := c.move != 0 && w.mapOf(i).OwnerByMove(MoveID(c.move)) == OwnerUndecided
	if !inDoubt || w.mutation.callsInDoubt {
		add(c.calling, "its call completes", true, func(w *model, i, n int8) { w.endWebhook(i, n) })
		add(c.calling && w.budget.unknownOutcomes > 0, "its call ends with an unknown outcome", false, func(w *model, i, n int8) {
			w.budget.unknownOutcomes--
			w.processes[i].copies[n].calling = false
		})
		transfer := w.transferred(i, n).DecideTransfer(w.eventType(), 0, 9, api.Micros(w.now))
		add(!c.calling && transfer != TransferWebhook, "ends the webhook", true, (*model).endWebhook)
		add(!c.calling && transfer == TransferWebhook && !parked && decision.AllowsCall(false), "begins a call", true, (*model).beginCall)
		to, id := decision.Owner, MoveID(0)
		if decision.Action == ParkOwned && decision.Move.From == memberIDs[i] {
			to, id = decision.Move.To, decision.Move.ID
		}
		away := decision.Action == Forward || id != 0
		add(!inDoubt && !c.calling && transfer == TransferWebhook && !parked && away && w.hasRoom(), "offers the webhook", true,
			func(w *model, i, n int8) { w.sendOffer(i, n, id, to) })
		return all
	}
	o := p.memory[n].record(webhookID(n)).Offer
	add(w.hasRoom(), "queries", true, func(w *model, i, n int8) {
		e := w.processes[i].memory[n]
		w.processes[i].awaiting[n] = message{
			kind:        queryMessage,
			from:        i,
			to:          e.to - 1,
			webhook:     n,
			handoff:     e.handoff,
			incarnation: e.incarnation,
		}
		w.send(w.processes[i].awaiting[n])
	})
	add(w.hasRoom(), "repeats the offer", false, func(w *model, i, n int8) { w.sendOffer(i, n, o.Move, o.To) })
	return all
}

func (w *model) beginCall(i, n int8) {
	p := &w.processes[i]
	p.outgoing.firstRunAt = earliest(p.copies[n].firstRunAt, int8(w.now))
	if p.disk[n].arriving && !w.mutation.storedNotJournalled {
		p.setSteps(n, stepWriteRecord, stepNoteRun, stepCall)
		return
	}
	p.setSteps(n, stepNoteRun, stepCall)
}

func (w *model) endWebhook(i, n int8) {
	if p := &w.processes[i]; p.disk[n].arriving && !w.mutation.storedNotJournalled {
		p.setSteps(n, stepWriteRecord, stepEndWebhook)
		return
	}
	w.processes[i].setSteps(n, stepEndWebhook)
}

func (w *model) transferred(i, n int8) TransferredWebhook {
	return TransferredWebhook{ID: webhookID(n), TTL: ttl, FirstRunAt: api.Micros(w.processes[i].copies[n].firstRunAt)}
}

// sendOffer offers a webhook to another member. One that a client is submitting has no record yet.
func (w *model) sendOffer(i, n int8, id MoveID, to cluster.MemberID) {
	p, shards := &w.processes[i], w.mapOf(i)
	m := message{
		kind:        offerMessage,
		from:        i,
		to:          memberIndex(to),
		webhook:     n,
		firstRunAt:  -1,
		move:        uint8(id),
		version:     uint8(shards.Version),
		epoch:       uint8(shards.Ranges[0].Epoch),
		sentAt:      w.now,
		incarnation: w.processes[memberIndex(to)].incarnation,
	}
	if p.fromClient[n] {
		p.memory[n].withTable(n, func(k *CustodyTable, name WebhookID) { m.handoff = k.NextHandoff(name) })
		p.awaiting[n] = m
		w.send(m)
		return
	}
	if c := p.copies[n]; !w.mutation.forgetsFirstRun {
		m.firstRunAt = c.firstRunAt
	}
	ok, isRetry := false, p.memory[n].to > 0
	if isRetry {
		m.incarnation = p.memory[n].incarnation
	}
	p.memory[n].withTable(n, func(k *CustodyTable, name WebhookID) {
		next := k.NextHandoff(name)
		m.handoff, ok = k.BeginOffer(name, ttl, Offer{
			To:          to,
			Incarnation: uint64(m.incarnation),
			Move:        id,
			Range:       1,
			Epoch:       cluster.Epoch(m.epoch),
			SentAt:      api.Micros(w.now),
		})
		if w.mutation.handoffNotRaised && !isRetry && next > 1 {
			m.handoff = next - 1
			k.records[name].Handoff = m.handoff
		}
	})
	m.isRetry = isRetry
	p.outgoing = m
	if ok && isRetry {
		p.webhook = n
		p.setSteps(n, stepSend)
		w.runSteps(i)
	} else if ok {
		p.setSteps(n, stepWriteRecord, stepSend)
	}
}
