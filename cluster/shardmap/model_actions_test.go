package shardmap

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// transition is one event that may happen next. target is the index of a member or of a message; apply is called with
// target and webhook. faultFree marks the transitions that are not faults: once faults have stopped, only these
// happen, and always the first one in the list.
type transition struct {
	name            string
	target, webhook int8
	faultFree       bool
	apply           func(md *model, i, n int8)
}

func (m transition) String() string { return fmt.Sprintf("%s: %d %d", m.name, m.target, m.webhook) }

// transitions appends all events that may happen in this state.
func (md *model) transitions(all []transition) []transition {
	add := func(enabled bool, name string, target int8, faultFree bool, apply func(*model, int8, int8)) {
		if enabled {
			all = append(all, transition{
				name:      name,
				target:    target,
				faultFree: faultFree,
				apply:     apply,
			})
		}
	}
	for i := range md.members {
		add(md.processes[i].isBusy(), "performs its next step", i, true, func(md *model, i, _ int8) { md.runSteps(i) })
	}
	all = md.networkTransitions(all)
	for i := range md.members {
		add(md.processes[i].mapID != md.mapID, "receives the map", i, true, func(md *model, i, _ int8) {
			md.processes[i].mapID = md.mapID
		})
	}
	all = md.ownerTransitions(all)
	for i := range md.members {
		for n := range md.webhooks {
			all = md.webhookTransitions(i, n, all)
		}
	}
	for i := range md.members {
		add(md.budget.crashes > 0, "crashes and restarts", i, false, func(md *model, i, _ int8) {
			md.budget.crashes--
			md.crash(i)
		})
		add(md.budget.folderLosses > 0, "crashes and loses its folder", i, false, func(md *model, i, _ int8) {
			md.budget.folderLosses--
			md.loseFolder(i)
		})
	}
	add(md.budget.clockTicks > 0 && !md.callIsPending(), "the clock advances", 0, false, func(md *model, _, _ int8) {
		md.budget.clockTicks--
		md.now++
	})
	return all
}

// networkTransitions appends the events that may happen to messages in flight.
func (md *model) networkTransitions(all []transition) []transition {
	add := func(enabled bool, name string, target int, faultFree bool, apply func(*model, int8, int8)) {
		if enabled {
			all = append(all, transition{
				name:      name,
				target:    int8(target),
				faultFree: faultFree,
				apply:     apply,
			})
		}
	}
	for i, m := range md.network {
		to := &md.processes[m.to]
		if m.kind == noMessage || to.isBusy() && (m.kind == answerMessage || !to.memory[m.webhook].arriving) {
			continue
		}
		add(true, "is delivered", i, true, func(md *model, i, _ int8) { md.receiveMessage(i, false, false) })
		mayDuplicate := md.budget.duplicates > 0 && md.hasRoom() && (m.kind == queryMessage || m.isRetry)
		add(mayDuplicate, "is delivered and duplicated", i, false,
			func(md *model, i, _ int8) {
				md.budget.duplicates--
				md.receiveMessage(i, true, false)
			})
		mayFail := md.budget.rejections > 0 && m.kind == offerMessage && !to.isBusy()
		add(mayFail, "is delivered and can't be stored", i, false,
			func(md *model, i, _ int8) {
				md.budget.rejections--
				md.receiveMessage(i, false, true)
			})
	}
	for i := range md.network {
		isInFlight := md.network[i].kind != noMessage
		add(isInFlight, "is lost", i, false, func(md *model, i, _ int8) { md.dropMessage(i) })
	}
	return all
}

// callIsPending reports whether a member is about to call. In the model no time passes between the last check and the
// call. docs/cluster.md discusses the gap that there is in reality.
func (md *model) callIsPending() bool {
	return slices.ContainsFunc(md.processes[:], func(p processState) bool { return slices.Contains(p.steps[:], stepCall) })
}

func (md *model) dropMessage(i int8) {
	copy(md.network[i:], md.network[i+1:])
	md.network[maxMessages-1] = message{}
}

func (md *model) receiveMessage(i int8, duplicated, full bool) {
	m := md.network[i]
	if !duplicated {
		md.dropMessage(i)
	}
	switch m.kind {
	case offerMessage:
		md.receiveOffer(m, full)
	case queryMessage:
		md.receiveQuery(m)
	case answerMessage:
		md.receiveAnswer(m)
	}
}

func (md *model) receiveAnswer(m message) {
	p := &md.processes[m.to]
	awaited := p.awaiting[m.webhook]
	isAwaited := awaited.kind == m.answerTo && awaited.to == m.from && awaited.handoff == m.handoff
	switch {
	case p.fromClient[m.webhook] && !isAwaited:
	case p.fromClient[m.webhook] && m.reply == CustodyUnknown:
		md.timeOut(m.to, m.webhook)
	case p.fromClient[m.webhook] && m.reply == CustodyTaken:
		p.fromClient[m.webhook], p.awaiting[m.webhook], md.acknowledged[m.webhook] = false, message{}, true
	case p.fromClient[m.webhook]:
		p.awaiting[m.webhook] = message{}
		md.acceptFromClient(m.to, m.webhook)
	default:
		if isAwaited {
			p.awaiting[m.webhook] = message{}
		}
		md.resolveReply(m.to, m.webhook, m.handoff, m.reply, m.answerTo)
	}
}

// acceptFromClient accepts a webhook at the member that a client submitted it to.
func (md *model) acceptFromClient(i, n int8) {
	p := &md.processes[i]
	p.fromClient[n], p.outgoing = false, message{firstRunAt: -1}
	p.setSteps(n, stepJournalWebhook, stepAcceptToClient)
}

// addFor adds a transition of a webhook at a member if it is enabled.
func (t *transitionList) addFor(
	i, n int8, enabled bool, name string, faultFree bool, apply func(*model, int8, int8),
) {
	t.add(enabled, transition{name: name, target: i, webhook: n, faultFree: faultFree, apply: apply})
}

// webhookTransitions appends the events that concern one webhook at one member.
func (md *model) webhookTransitions(i, n int8, all []transition) []transition {
	p := &md.processes[i]
	if p.isBusy() {
		return all
	}
	t := transitionList(all)
	md.addClientTransitions(&t, i, n)
	waits := p.awaiting[n].kind != noMessage
	if !p.copies[n].present || waits && !md.mutation.callsInDoubt {
		return t
	}
	if p.memory[n].to <= 0 || md.mutation.callsInDoubt {
		md.addOwnedTransitions(&t, i, n)
	} else {
		md.addInDoubtTransitions(&t, i, n)
	}
	return t
}

// addClientTransitions adds the submission of a webhook, and the wait for the reply to a message about it.
func (md *model) addClientTransitions(t *transitionList, i, n int8) {
	waits := md.processes[i].awaiting[n].kind != noMessage
	t.addFor(i, n, md.budget.clients&(1<<n) != 0, "a client submits", true, func(md *model, i, n int8) {
		md.budget.clients &^= 1 << n
		md.processes[i].fromClient[n] = true
		if md.decision(i).Action != Forward {
			md.acceptFromClient(i, n)
			return
		}
		md.sendOffer(i, n, 0, md.decision(i).Owner)
	})
	t.addFor(i, n, waits && !slices.ContainsFunc(md.network[:], func(m message) bool {
		return m.kind != noMessage && m.webhook == n && (m.from == i || m.to == i)
	}), "gets no reply", true, (*model).timeOut)
	t.addFor(i, n, waits, "times out", false, (*model).timeOut)
}

// addOwnedTransitions adds what a member does with a copy that is not in doubt.
func (md *model) addOwnedTransitions(t *transitionList, i, n int8) {
	p, decision := &md.processes[i], md.decision(i)
	c := p.copies[n]
	inDoubt := p.memory[n].to > 0
	parked := c.move != 0 && md.mapOf(i).OwnerByMove(MoveID(c.move)) == OwnerUndecided
	t.addFor(i, n, c.calling, "its call completes", true, func(md *model, i, n int8) { md.endWebhook(i, n) })
	t.addFor(i, n, c.calling && md.budget.unknownOutcomes > 0, "its call ends with an unknown outcome", false, func(md *model, i, n int8) {
		md.budget.unknownOutcomes--
		md.processes[i].copies[n].calling = false
	})
	transfer := md.transferred(i, n).DecideTransfer(md.eventType(), 0, 9, api.Micros(md.now))
	t.addFor(i, n, !c.calling && transfer != TransferWebhook, "ends the webhook", true, (*model).endWebhook)
	isReady := !c.calling && transfer == TransferWebhook && !parked
	t.addFor(i, n, isReady && decision.AllowsCall(false), "begins a call", true, (*model).beginCall)
	to, id := decision.Owner, MoveID(0)
	if decision.Action == ParkOwned && decision.Move.From == memberIDs[i] {
		to, id = decision.Move.To, decision.Move.ID
	}
	away := decision.Action == Forward || id != 0
	t.addFor(i, n, isReady && !inDoubt && away && md.hasRoom(), "offers the webhook", true,
		func(md *model, i, n int8) { md.sendOffer(i, n, id, to) })
}

// addInDoubtTransitions adds what a member does with a copy of a webhook that another member may have too.
func (md *model) addInDoubtTransitions(t *transitionList, i, n int8) {
	p := &md.processes[i]
	o := p.memory[n].record(webhookID(n)).Offer
	t.addFor(i, n, md.hasRoom(), "queries", true, func(md *model, i, n int8) {
		e := md.processes[i].memory[n]
		md.processes[i].awaiting[n] = message{
			kind:        queryMessage,
			from:        i,
			to:          e.to - 1,
			webhook:     n,
			handoff:     e.handoff,
			incarnation: e.incarnation,
		}
		md.send(md.processes[i].awaiting[n])
	})
	t.addFor(i, n, md.hasRoom(), "repeats the offer", false, func(md *model, i, n int8) { md.sendOffer(i, n, o.Move, o.To) })
}

func (md *model) beginCall(i, n int8) {
	p := &md.processes[i]
	p.outgoing.firstRunAt = earliest(p.copies[n].firstRunAt, int8(md.now))
	if p.disk[n].arriving && !md.mutation.storedNotJournalled {
		p.setSteps(n, stepWriteRecord, stepJournalFirstRun, stepCall)
		return
	}
	p.setSteps(n, stepJournalFirstRun, stepCall)
}

func (md *model) endWebhook(i, n int8) {
	if p := &md.processes[i]; p.disk[n].arriving && !md.mutation.storedNotJournalled {
		p.setSteps(n, stepWriteRecord, stepEndWebhook)
		return
	}
	md.processes[i].setSteps(n, stepEndWebhook)
}

func (md *model) transferred(i, n int8) TransferredWebhook {
	return TransferredWebhook{ID: webhookID(n), Deadline: ttl, FirstRunAt: api.Micros(md.processes[i].copies[n].firstRunAt)}
}

// sendOffer offers a webhook to another member. A webhook that a client is submitting has no record yet.
func (md *model) sendOffer(i, n int8, move MoveID, to cluster.MemberID) {
	p, shards := &md.processes[i], md.mapOf(i)
	m := message{
		kind:        offerMessage,
		from:        i,
		to:          memberIndex(to),
		webhook:     n,
		firstRunAt:  -1,
		move:        uint8(move),
		version:     uint8(shards.Version),
		epoch:       uint8(shards.Ranges[0].Epoch),
		sentAt:      md.now,
		incarnation: md.processes[memberIndex(to)].incarnation,
	}
	if p.fromClient[n] {
		p.memory[n].withTable(n, func(table *CustodyTable, id WebhookID) { m.handoff = table.NextHandoff(id) })
		p.awaiting[n] = m
		md.send(m)
		return
	}
	if c := p.copies[n]; !md.mutation.forgetsFirstRun {
		m.firstRunAt = c.firstRunAt
	}
	ok, isRetry := false, p.memory[n].to > 0
	if isRetry {
		m.incarnation = p.memory[n].incarnation
	}
	p.memory[n].withTable(n, func(table *CustodyTable, id WebhookID) {
		next := table.NextHandoff(id)
		m.handoff, ok = table.BeginOffer(id, ttl, Offer{
			To:          to,
			Incarnation: uint64(m.incarnation),
			Move:        move,
			Range:       1,
			Epoch:       cluster.Epoch(m.epoch),
			SentAt:      api.Micros(md.now),
		})
		if md.mutation.handoffNotRaised && !isRetry && next > 1 {
			m.handoff = next - 1
			table.records[id].Handoff = m.handoff
		}
	})
	m.isRetry = isRetry
	p.outgoing = m
	if ok && isRetry {
		p.webhook = n
		p.setSteps(n, stepSend)
		md.runSteps(i)
	} else if ok {
		p.setSteps(n, stepWriteRecord, stepSend)
	}
}
