package shardmap

import (
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// ownerTransitions appends those of map, lease and coordinator.
func (w *model) ownerTransitions(all []transition) []transition {
	add := func(enabled bool, name string, target int8, faultFree bool, apply func(*model, int8, int8)) {
		if enabled {
			all = append(all, transition{name, target, 0, faultFree, apply})
		}
	}
	logged := w.loggedRange()
	add(w.leaseHeld && w.processes[w.holder].epoch != w.epoch, "the log ends the lease", 0, true,
		func(w *model, _, _ int8) { w.leaseHeld = false })
	for i := range w.members {
		p, r := &w.processes[i], w.mapOf(i).Ranges[0]
		if p.isBusy() {
			continue
		}
		add(p.epoch == 0 && r.ShouldAcquire(memberIDs[i]) && !w.leaseHeld && w.budget.grants > 0, "is granted the lease", i, true,
			func(w *model, i, _ int8) {
				w.budget.grants--
				w.epoch++
				w.leaseHeld, w.holder = true, i
				p := &w.processes[i]
				p.epoch, p.isolated, p.releasedLease = w.epoch, false, false
			})
		add(p.epoch != 0 && r.Owner == memberIDs[i] && p.epoch > uint8(r.Epoch) && r.Move.Step != StepHandoff &&
			logged.Epoch < r.Epoch+1 && p.mapID == w.mapID, "confirms ownership", i, true, func(w *model, i, _ int8) {
			r := w.mapOf(i).Ranges[0]
			w.propose(ConfirmOwner(r.ID, memberIDs[i], clusterEpoch(w.processes[i].epoch), w.mapOf(i).Version))
		})
		inHandoff := r.Move.Step == StepHandoff && logged.Move.Step == StepHandoff
		add(p.epoch != 0 && inHandoff && r.Move.To == memberIDs[i], "switches the owner", i, true, (*model).switchOwner)
		add(p.epoch != 0 && w.shouldRelease(i, r), "releases the lease", i, true, func(w *model, i, _ int8) {
			w.processes[i].epoch, w.processes[i].releasedLease, w.leaseHeld = 0, true, false
		})
		add(w.canClear(i, logged.Move) && p.mapID == w.mapID, "clears the move", i, true, func(w *model, i, _ int8) {
			w.propose(ClearMove(w.loggedRange().Move.ID, memberIDs[i]))
		})
		add(p.epoch != 0 && w.budget.expiries > 0, "its session expires", i, false, func(w *model, i, _ int8) {
			w.budget.expiries--
			w.processes[i].epoch = 0
		})
		add(p.epoch == 0 && !p.isolated && w.budget.isolations > 0, "becomes isolated", i, false, func(w *model, i, _ int8) {
			w.budget.isolations--
			w.processes[i].isolated = true
		})
		add(p.isolated, "is no longer isolated", i, true, func(w *model, i, _ int8) { w.processes[i].isolated = false })
		add(w.budget.failovers > 0 && !w.leaseHeld && logged.Owner != memberIDs[i], "the range fails over to", i, false,
			func(w *model, i, _ int8) {
				w.budget.failovers--
				w.propose(Coordinator(1).FailOver([]Takeover{{1, w.loggedRange().Owner, memberIDs[i]}}))
			})
		add(w.budget.moves > 0 && logged.IsStable() && logged.Owner != memberIDs[i], "a move is planned to", i, false,
			func(w *model, i, _ int8) {
				w.budget.moves--
				w.propose(Coordinator(1).PlanMove(1, w.loggedRange().Owner, memberIDs[i]))
				w.propose(Coordinator(1).AdvanceMove(w.loggedRange().Move.ID, StepWarming))
			})
	}
	add(logged.Move.Step == StepWarming, "the move begins its hand-off", 0, true, func(w *model, _, _ int8) {
		w.propose(Coordinator(1).AdvanceMove(w.loggedRange().Move.ID, StepHandoff))
	})
	add(w.budget.reverts > 0 && logged.Move.IsOpen() && logged.Move.Step < StepSwitched, "the move is reverted", 0, false,
		func(w *model, _, _ int8) {
			w.budget.reverts--
			w.propose(Coordinator(1).RevertMove(w.loggedRange().Move.ID))
		})
	return all
}

// shouldRelease counts each copy that is here as outstanding; one that is in doubt was not handed over.
func (w *model) shouldRelease(i int8, r Range) bool {
	inFlight, outstanding := 0, 0
	for _, c := range w.processes[i].copies {
		if c.calling {
			inFlight++
		}
		if c.present {
			outstanding++
		}
	}
	if w.mutation.releasesEarly && r.Move.Step == StepHandoff {
		return true
	}
	return r.ShouldRelease(memberIDs[i], inFlight, outstanding)
}

func (w *model) switchOwner(i, _ int8) {
	from := &w.processes[memberIndex(w.loggedRange().Move.From)]
	if !w.propose(SwitchOwner(w.loggedRange().Move.ID, 1, memberIDs[i], clusterEpoch(w.processes[i].epoch))) {
		return
	}
	if slices.ContainsFunc(from.copies[:], func(c webhookCopy) bool { return c.calling && from.releasedLease && !from.isolated }) {
		w.violation = "a call is in flight at the source when the target is the owner"
	}
}

func (w *model) canClear(i int8, v Move) bool {
	isSource, isTarget := v.From == memberIDs[i], v.To == memberIDs[i]
	if v.Step != StepSwitched || !isSource && !isTarget {
		return false
	}
	if isSource && v.SourceCleared || isTarget && v.TargetCleared {
		return false
	}
	for n := range w.webhooks {
		p := &w.processes[i]
		isOffered := p.memory[n].to > 0
		if isOffered && p.memory[n].move == uint8(v.ID) || !isOffered && p.copies[n].present {
			return false
		}
	}
	return true
}

// crash restarts a member: what was not written is lost, messages in flight remain.
func (w *model) crash(i int8) {
	p := w.processes[i]
	w.processes[i] = processState{incarnation: p.incarnation, mapID: p.mapID, disk: p.disk}
	var earlier []CustodyRecord
	for n, e := range p.disk {
		w.processes[i].copies[n] = webhookCopy{present: p.copies[n].present, firstRunAt: p.copies[n].firstRunAt}
		if e.known {
			earlier = append(earlier, e.record(webhookID(int8(n))))
		}
	}
	k := NewCustodyTable(earlier, func(n WebhookID) bool { return p.copies[n.LocalID-1].present })
	for n := range p.disk {
		w.processes[i].memory[n] = modelRecordOf(k.Lookup(webhookID(int8(n))))
		e := &w.processes[i].memory[n]
		if w.mutation.doubtNotRecovered {
			*e = modelRecord{
				handoff:      e.handoff,
				rejectedUpTo: e.rejectedUpTo,
				known:        e.known,
				present:      e.present,
				arriving:     e.arriving,
			}
		}
	}
}

func (w *model) loseFolder(i int8) {
	for n, c := range w.processes[i].copies {
		w.excused[n] = w.excused[n] || c.present
	}
	w.processes[i] = processState{incarnation: w.processes[i].incarnation + 1, mapID: w.processes[i].mapID}
}

// findViolation returns what must never happen and has, or an empty string.
func (w *model) findViolation() string {
	for n := range w.webhooks {
		custodians, copies, isUnaware := 0, 0, false
		for i := range w.members {
			if p := &w.processes[i]; p.copies[n].present {
				copies++
				if p.hasCustody(n) {
					custodians++
					isUnaware = isUnaware || p.copies[n].firstRunAt < 0
				}
			}
		}
		switch {
		case w.violation != "":
			return w.violation
		case custodians > 1 && (w.semantics == api.AtMostOnce || !w.forked[n]):
			return "two members have custody of a webhook"
		case isUnaware && w.effects[n] > 0 && w.semantics != api.Idempotent && !w.forked[n]:
			return "a custodian does not know that the webhook may have run"
		case copies == 0 && w.promised[n] && !w.completed[n] && !w.excused[n]:
			return "a webhook is lost"
		}
	}
	return ""
}

func (w *model) localMember(i int8) LocalMember {
	p := &w.processes[i]
	holds := func(cluster.Resource) (cluster.Epoch, bool) { return cluster.Epoch(p.epoch), p.epoch != 0 }
	return LocalMember{memberIDs[i], holds, p.isolated}
}

func (w *model) decision(i int8) Decision { return w.mapOf(i).DecideKey(w.localMember(i), 0) }

// rightEnded reports whether, by the member's map, the right is over by which the target of an offer could call.
func (w *model) rightEnded(i int8, o Offer) bool {
	m := w.mapOf(i)
	r := m.Ranges[0]
	if o.Move != 0 && m.OwnerByMove(o.Move) != OwnerIsTarget {
		return m.OwnerByMove(o.Move) == OwnerIsSource
	}
	return r.Owner != o.To || o.Move == 0 && r.Epoch > o.Epoch
}
