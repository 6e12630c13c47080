package shardmap

import (
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// homeMoves are those of map, lease and conductor.
func (w *world) homeMoves(all []move) []move {
	add := func(may bool, name string, i int8, calm bool, do func(*world, int8, int8)) {
		if may {
			all = append(all, move{name, i, 0, calm, do})
		}
	}
	home := w.home()
	add(w.held && w.at[w.holder].epoch != w.epoch, "the log ends the grant", 0, true, func(w *world, _, _ int8) {
		w.held = false
	})
	for i := range w.members {
		p, r := &w.at[i], w.seen(i).Ranges[0]
		if p.busy() {
			continue
		}
		add(p.epoch == 0 && r.ShouldAcquire(who[i]) && !w.held && w.left.grants > 0, "is granted the home", i, true,
			func(w *world, i, _ int8) {
				w.left.grants--
				w.epoch++
				w.held, w.holder, w.at[i].epoch, w.at[i].alone, w.at[i].let = true, i, w.epoch, false, false
			})
		add(p.epoch != 0 && r.Owner == who[i] && p.epoch > uint8(r.Epoch) && r.Move.Step != StepHandoff &&
			home.Epoch < r.Epoch+1 && p.chart == w.chart, "says home", i, true, func(w *world, i, _ int8) {
			r := w.seen(i).Ranges[0]
			w.propose(ConfirmOwner(r.ID, who[i], fleetEpoch(w.at[i].epoch), w.seen(i).Version))
		})
		passes := r.Move.Step == StepHandoff && home.Move.Step == StepHandoff
		add(p.epoch != 0 && passes && r.Move.To == who[i], "switches", i, true, (*world).switches)
		add(p.epoch != 0 && w.letsGo(i, r), "lets the home go", i, true, func(w *world, i, _ int8) {
			w.at[i].epoch, w.at[i].let, w.held = 0, true, false
		})
		add(w.clears(i, home.Move) && p.chart == w.chart, "clears the move", i, true, func(w *world, i, _ int8) {
			w.propose(ClearMove(w.home().Move.ID, who[i]))
		})
		add(p.epoch != 0 && w.left.ends > 0, "its session ends", i, false, func(w *world, i, _ int8) {
			w.left.ends--
			w.at[i].epoch = 0
		})
		add(p.epoch == 0 && !p.alone && w.left.alone > 0, "is alone", i, false, func(w *world, i, _ int8) {
			w.left.alone--
			w.at[i].alone = true
		})
		add(p.alone, "is alone no more", i, true, func(w *world, i, _ int8) { w.at[i].alone = false })
		add(w.left.losts > 0 && !w.held && home.Owner != who[i], "the home is lost to", i, false,
			func(w *world, i, _ int8) {
				w.left.losts--
				w.propose(Coordinator(1).FailOver([]Takeover{{1, w.home().Owner, who[i]}}))
			})
		add(w.left.moves > 0 && home.IsStable() && home.Owner != who[i], "a move is planned to", i, false,
			func(w *world, i, _ int8) {
				w.left.moves--
				w.propose(Coordinator(1).PlanMove(1, w.home().Owner, who[i]))
				w.propose(Coordinator(1).AdvanceMove(w.home().Move.ID, StepWarming))
			})
	}
	add(home.Move.Step == StepWarming, "the move passes", 0, true, func(w *world, _, _ int8) {
		w.propose(Coordinator(1).AdvanceMove(w.home().Move.ID, StepHandoff))
	})
	add(w.left.backs > 0 && home.Move.IsOpen() && home.Move.Step < StepSwitched, "the move goes back", 0, false,
		func(w *world, _, _ int8) {
			w.left.backs--
			w.propose(Coordinator(1).RevertMove(w.home().Move.ID))
		})
	return all
}

// letsGo counts as owed what is here of the range; what is in doubt has not gone over.
func (w *world) letsGo(i int8, r Range) bool {
	out, owed := 0, 0
	for _, c := range w.at[i].copies {
		if c.calling {
			out++
		}
		if c.here {
			owed++
		}
	}
	if w.wrong.early && r.Move.Step == StepHandoff {
		return true
	}
	return r.ShouldRelease(who[i], out, owed)
}

func (w *world) switches(i, _ int8) {
	from := &w.at[member(w.home().Move.From)]
	if !w.propose(SwitchOwner(w.home().Move.ID, 1, who[i], fleetEpoch(w.at[i].epoch))) {
		return
	}
	if slices.ContainsFunc(from.copies[:], func(c held) bool { return c.calling && from.let && !from.alone }) {
		w.broken = "a call is out at the source when the target is home"
	}
}

func (w *world) clears(i int8, v Move) bool {
	if v.Step != StepSwitched || v.From == who[i] && v.SourceCleared || v.To == who[i] && v.TargetCleared ||
		v.From != who[i] && v.To != who[i] {
		return false
	}
	for n := range w.webhooks {
		if p := &w.at[i]; p.mem[n].to > 0 && p.mem[n].move == uint8(v.ID) || p.copies[n].here && p.mem[n].to == 0 {
			return false
		}
	}
	return true
}

// crashes: what was not written is gone, and what is in flight stays.
func (w *world) crashes(i int8) {
	p := w.at[i]
	w.at[i] = process{life: p.life, chart: p.chart, disk: p.disk}
	var earlier []CustodyRecord
	for n, e := range p.disk {
		if w.at[i].copies[n] = (held{here: p.copies[n].here, ran: p.copies[n].ran}); e.known {
			earlier = append(earlier, e.record(named(int8(n))))
		}
	}
	k := NewCustodyTable(earlier, func(n WebhookID) bool { return p.copies[n.LocalID-1].here })
	for n := range p.disk {
		w.at[i].mem[n] = entryOf(k.Lookup(named(int8(n))))
		if e := &w.at[i].mem[n]; w.wrong.doubtLost {
			*e = entry{hand: e.hand, not: e.not, known: e.known, here: e.here, comes: e.comes}
		}
	}
}

func (w *world) losesFolder(i int8) {
	for n, c := range w.at[i].copies {
		w.excused[n] = w.excused[n] || c.here
	}
	w.at[i] = process{life: w.at[i].life + 1, chart: w.at[i].chart}
}

// broke is what must never be.
func (w *world) broke() string {
	for n := range w.webhooks {
		owners, copies, unknowing := 0, 0, false
		for i := range w.members {
			if p := &w.at[i]; p.copies[n].here {
				if copies++; p.owns(n) {
					owners++
					unknowing = unknowing || p.copies[n].ran < 0
				}
			}
		}
		switch {
		case w.broken != "":
			return w.broken
		case owners > 1 && (w.repeat == api.AtMostOnce || !w.forked[n]):
			return "two members own a webhook"
		case unknowing && w.effects[n] > 0 && w.repeat != api.Idempotent && !w.forked[n]:
			return "an owner does not know that it may have run"
		case copies == 0 && w.promised[n] && !w.told[n] && !w.excused[n]:
			return "a webhook is lost"
		}
	}
	return ""
}

func (w *world) tenant(i int8) LocalMember {
	p := &w.at[i]
	holds := func(cluster.Resource) (cluster.Epoch, bool) { return cluster.Epoch(p.epoch), p.epoch != 0 }
	return LocalMember{who[i], holds, p.alone}
}

func (w *world) verdict(i int8) Decision { return w.seen(i).DecideKey(w.tenant(i), 0) }

// ended is whether by its map the right is over by which the other could call.
func (w *world) ended(i int8, o Offer) bool {
	m := w.seen(i)
	r := m.Ranges[0]
	if o.Move != 0 && m.OwnerByMove(o.Move) != OwnerIsTarget {
		return m.OwnerByMove(o.Move) == OwnerIsSource
	}
	return r.Owner != o.To || o.Move == 0 && r.Epoch > o.Epoch
}
