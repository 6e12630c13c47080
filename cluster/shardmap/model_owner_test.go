package shardmap

import (
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// transitionList collects the transitions that are enabled in a state.
type transitionList []transition

// add adds a transition of a member, or of a webhook at a member, if it is enabled.
func (t *transitionList) add(enabled bool, next transition) {
	if enabled {
		*t = append(*t, next)
	}
}

// addAt adds a transition of a member if it is enabled.
func (t *transitionList) addAt(enabled bool, name string, target int8, faultFree bool, apply func(*model, int8, int8)) {
	t.add(enabled, transition{name: name, target: target, faultFree: faultFree, apply: apply})
}

// ownerTransitions appends the events that concern the map, the lease and the coordinator.
func (md *model) ownerTransitions(all []transition) []transition {
	t := transitionList(all)
	t.addAt(md.leaseHeld && md.processes[md.holder].epoch != md.epoch, "the log ends the lease", 0, true,
		func(md *model, _, _ int8) { md.leaseHeld = false })
	for i := range md.members {
		if !md.processes[i].isBusy() {
			md.addLeaseTransitions(&t, i)
			md.addOwnerFaults(&t, i)
		}
	}
	md.addMoveTransitions(&t)
	return t
}

// addLeaseTransitions adds what a member does because of its map and its lease.
func (md *model) addLeaseTransitions(t *transitionList, i int8) {
	p, r, logged := &md.processes[i], md.mapOf(i).Ranges[0], md.loggedRange()
	t.addAt(p.epoch == 0 && r.ShouldAcquire(memberIDs[i]) && !md.leaseHeld && md.budget.grants > 0, "is granted the lease", i, true,
		func(md *model, i, _ int8) {
			md.budget.grants--
			md.epoch++
			md.leaseHeld, md.holder = true, i
			p := &md.processes[i]
			p.epoch, p.isolated, p.releasedLease = md.epoch, false, false
		})
	t.addAt(p.epoch != 0 && r.Owner == memberIDs[i] && p.epoch > uint8(r.Epoch) && r.Move.Step != StepHandoff &&
		logged.Epoch < r.Epoch+1 && p.mapID == md.mapID, "confirms ownership", i, true, func(md *model, i, _ int8) {
		r := md.mapOf(i).Ranges[0]
		md.propose(ConfirmOwner(r.ID, memberIDs[i], clusterEpoch(md.processes[i].epoch), md.mapOf(i).Version))
	})
	inHandoff := r.Move.Step == StepHandoff && logged.Move.Step == StepHandoff
	t.addAt(p.epoch != 0 && inHandoff && r.Move.To == memberIDs[i], "switches the owner", i, true, (*model).switchOwner)
	t.addAt(p.epoch != 0 && md.shouldRelease(i, r), "releases the lease", i, true, func(md *model, i, _ int8) {
		md.processes[i].epoch, md.processes[i].releasedLease, md.leaseHeld = 0, true, false
	})
	t.addAt(md.canClear(i, logged.Move) && p.mapID == md.mapID, "clears the move", i, true, func(md *model, i, _ int8) {
		md.propose(ClearMove(md.loggedRange().Move.ID, memberIDs[i]))
	})
}

// addOwnerFaults adds the faults of a member, and the coordinator's commands that make it the new owner.
func (md *model) addOwnerFaults(t *transitionList, i int8) {
	p, logged := &md.processes[i], md.loggedRange()
	t.addAt(p.epoch != 0 && md.budget.expiries > 0, "its session expires", i, false, func(md *model, i, _ int8) {
		md.budget.expiries--
		md.processes[i].epoch = 0
	})
	t.addAt(p.epoch == 0 && !p.isolated && md.budget.isolations > 0, "becomes isolated", i, false, func(md *model, i, _ int8) {
		md.budget.isolations--
		md.processes[i].isolated = true
	})
	t.addAt(p.isolated, "is no longer isolated", i, true, func(md *model, i, _ int8) { md.processes[i].isolated = false })
	t.addAt(md.budget.failovers > 0 && !md.leaseHeld && logged.Owner != memberIDs[i], "the range fails over to", i, false,
		func(md *model, i, _ int8) {
			md.budget.failovers--
			md.propose(Coordinator(1).FailOver([]Takeover{{1, md.loggedRange().Owner, memberIDs[i]}}))
		})
	t.addAt(md.budget.moves > 0 && logged.IsStable() && logged.Owner != memberIDs[i], "a move is planned to", i, false,
		func(md *model, i, _ int8) {
			md.budget.moves--
			md.propose(Coordinator(1).PlanMove(1, md.loggedRange().Owner, memberIDs[i]))
			md.propose(Coordinator(1).AdvanceMove(md.loggedRange().Move.ID, StepWarming))
		})
}

// addMoveTransitions adds the steps of a running move.
func (md *model) addMoveTransitions(t *transitionList) {
	logged := md.loggedRange()
	t.addAt(logged.Move.Step == StepWarming, "the move begins its hand-off", 0, true, func(md *model, _, _ int8) {
		md.propose(Coordinator(1).AdvanceMove(md.loggedRange().Move.ID, StepHandoff))
	})
	t.addAt(md.budget.reverts > 0 && logged.Move.IsOpen() && logged.Move.Step < StepSwitched, "the move is reverted", 0, false,
		func(md *model, _, _ int8) {
			md.budget.reverts--
			md.propose(Coordinator(1).RevertMove(md.loggedRange().Move.ID))
		})
}

// shouldRelease reports whether a member should release the lease. Each copy that is here counts as outstanding: one
// that is in doubt was not handed over.
func (md *model) shouldRelease(i int8, r Range) bool {
	inFlight, outstanding := 0, 0
	for _, c := range md.processes[i].copies {
		if c.calling {
			inFlight++
		}
		if c.present {
			outstanding++
		}
	}
	if md.mutation.releasesEarly && r.Move.Step == StepHandoff {
		return true
	}
	return r.ShouldRelease(memberIDs[i], inFlight, outstanding)
}

func (md *model) switchOwner(i, _ int8) {
	from := &md.processes[memberIndex(md.loggedRange().Move.From)]
	if !md.propose(SwitchOwner(md.loggedRange().Move.ID, 1, memberIDs[i], clusterEpoch(md.processes[i].epoch))) {
		return
	}
	isCalling := slices.ContainsFunc(from.copies[:], func(c webhookCopy) bool { return c.calling })
	if isCalling && from.releasedLease && !from.isolated {
		md.violation = "a call is in flight at the source when the target is the owner"
	}
}

func (md *model) canClear(i int8, move Move) bool {
	isSource, isTarget := move.From == memberIDs[i], move.To == memberIDs[i]
	if move.Step != StepSwitched || !isSource && !isTarget {
		return false
	}
	if isSource && move.SourceCleared || isTarget && move.TargetCleared {
		return false
	}
	for n := range md.webhooks {
		p := &md.processes[i]
		isOffered := p.memory[n].to > 0
		if isOffered && p.memory[n].move == uint8(move.ID) || !isOffered && p.copies[n].present {
			return false
		}
	}
	return true
}

// crash restarts a member. What it had not written is lost; messages in flight remain.
func (md *model) crash(i int8) {
	p := md.processes[i]
	md.processes[i] = processState{incarnation: p.incarnation, mapID: p.mapID, disk: p.disk}
	var earlier []CustodyRecord
	for n, e := range p.disk {
		md.processes[i].copies[n] = webhookCopy{present: p.copies[n].present, firstRunAt: p.copies[n].firstRunAt}
		if e.known {
			earlier = append(earlier, e.record(webhookID(int8(n))))
		}
	}
	table := NewCustodyTable(earlier, func(id WebhookID) bool { return p.copies[id.LocalID-1].present })
	for n := range p.disk {
		md.processes[i].memory[n] = modelRecordOf(table.Lookup(webhookID(int8(n))))
		e := &md.processes[i].memory[n]
		if md.mutation.doubtNotRecovered {
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

func (md *model) loseFolder(i int8) {
	for n, c := range md.processes[i].copies {
		md.lossAllowed[n] = md.lossAllowed[n] || c.present
	}
	md.processes[i] = processState{incarnation: md.processes[i].incarnation + 1, mapID: md.processes[i].mapID}
}

// findViolation returns the invariant that this state violates, or an empty string.
func (md *model) findViolation() string {
	for n := range md.webhooks {
		custodians, copies, isUnaware := 0, 0, false
		for i := range md.members {
			if p := &md.processes[i]; p.copies[n].present {
				copies++
				if p.hasCustody(n) {
					custodians++
					isUnaware = isUnaware || p.copies[n].firstRunAt < 0
				}
			}
		}
		switch {
		case md.violation != "":
			return md.violation
		case custodians > 1 && (md.semantics == api.AtMostOnce || !md.forked[n]):
			return "two members have custody of a webhook"
		case isUnaware && md.effects[n] > 0 && md.semantics != api.Idempotent && !md.forked[n]:
			return "a custodian does not know that the webhook may have run"
		case copies == 0 && md.acknowledged[n] && !md.completed[n] && !md.lossAllowed[n]:
			return "a webhook is lost"
		}
	}
	return ""
}

func (md *model) localMember(i int8) LocalMember {
	p := &md.processes[i]
	holds := func(cluster.Resource) (cluster.Epoch, bool) { return cluster.Epoch(p.epoch), p.epoch != 0 }
	return LocalMember{memberIDs[i], holds, p.isolated}
}

func (md *model) decision(i int8) Decision { return md.mapOf(i).DecideKey(md.localMember(i), 0) }

// rightEnded reports whether, by the member's map, the target of an offer no longer has the right by which it could
// call.
func (md *model) rightEnded(i int8, o Offer) bool {
	m := md.mapOf(i)
	r := m.Ranges[0]
	if o.Move != 0 && m.OwnerByMove(o.Move) != OwnerIsTarget {
		return m.OwnerByMove(o.Move) == OwnerIsSource
	}
	return r.Owner != o.To || o.Move == 0 && r.Epoch > o.Epoch
}
