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
		add(p.epoch == 0 && r.Wants(who[i]) && !w.held && w.left.grants > 0, "is granted the home", i, true,
			func(w *world, i, _ int8) {
				w.left.grants--
				w.epoch++
				w.held, w.holder, w.at[i].epoch, w.at[i].alone, w.at[i].let = true, i, w.epoch, false, false
			})
		add(p.epoch != 0 && r.Home == who[i] && p.epoch > uint8(r.Epoch) && r.Move.Step != Passing &&
			home.Epoch < r.Epoch+1 && p.chart == w.chart, "says home", i, true, func(w *world, i, _ int8) {
			r := w.seen(i).Ranges[0]
			w.propose(Home(r.ID, who[i], fleetEpoch(w.at[i].epoch), w.seen(i).Version))
		})
		passes := r.Move.Step == Passing && home.Move.Step == Passing
		add(p.epoch != 0 && passes && r.Move.To == who[i], "switches", i, true, (*world).switches)
		add(p.epoch != 0 && w.letsGo(i, r), "lets the home go", i, true, func(w *world, i, _ int8) {
			w.at[i].epoch, w.at[i].let, w.held = 0, true, false
		})
		add(w.clears(i, home.Move) && p.chart == w.chart, "clears the move", i, true, func(w *world, i, _ int8) {
			w.propose(Clear(w.home().Move.ID, who[i]))
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
		add(w.left.losts > 0 && !w.held && home.Home != who[i], "the home is lost to", i, false,
			func(w *world, i, _ int8) {
				w.left.losts--
				w.propose(Conductor(1).Lost([]Takeover{{1, w.home().Home, who[i]}}))
			})
		add(w.left.moves > 0 && home.Settled() && home.Home != who[i], "a move is planned to", i, false,
			func(w *world, i, _ int8) {
				w.left.moves--
				w.propose(Conductor(1).Plan(1, w.home().Home, who[i]))
				w.propose(Conductor(1).Step(w.home().Move.ID, Warming))
			})
	}
	add(home.Move.Step == Warming, "the move passes", 0, true, func(w *world, _, _ int8) {
		w.propose(Conductor(1).Step(w.home().Move.ID, Passing))
	})
	add(w.left.backs > 0 && home.Move.Open() && home.Move.Step < Switched, "the move goes back", 0, false,
		func(w *world, _, _ int8) {
			w.left.backs--
			w.propose(Conductor(1).Back(w.home().Move.ID))
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
	if w.wrong.early && r.Move.Step == Passing {
		return true
	}
	return r.LetsGo(who[i], out, owed)
}

func (w *world) switches(i, _ int8) {
	from := &w.at[member(w.home().Move.From)]
	if !w.propose(Switch(w.home().Move.ID, 1, who[i], fleetEpoch(w.at[i].epoch))) {
		return
	}
	if slices.ContainsFunc(from.copies[:], func(c held) bool { return c.calling && from.let && !from.alone }) {
		w.broken = "a call is out at the source when the target is home"
	}
}

func (w *world) clears(i int8, v Move) bool {
	if v.Step != Switched || v.From == who[i] && v.FromClear || v.To == who[i] && v.ToClear ||
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
	var earlier []Record
	for n, e := range p.disk {
		if w.at[i].copies[n] = (held{here: p.copies[n].here, ran: p.copies[n].ran}); e.known {
			earlier = append(earlier, e.record(named(int8(n))))
		}
	}
	k := NewKnown(earlier, func(n Name) bool { return p.copies[n.ID-1].here })
	for n := range p.disk {
		w.at[i].mem[n] = entryOf(k.Record(named(int8(n))))
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

func (w *world) tenant(i int8) Tenant {
	p := &w.at[i]
	holds := func(cluster.Resource) (cluster.Epoch, bool) { return cluster.Epoch(p.epoch), p.epoch != 0 }
	return Tenant{who[i], holds, p.alone}
}

func (w *world) verdict(i int8) Verdict { return w.seen(i).MayServe(w.tenant(i), 0) }

// ended is whether by its map the right is over by which the other could call.
func (w *world) ended(i int8, o Offer) bool {
	m := w.seen(i)
	r := m.Ranges[0]
	if o.Move != 0 && m.Owns(o.Move) != Target {
		return m.Owns(o.Move) == Source
	}
	return r.Home != o.To || o.Move == 0 && r.Epoch > o.Epoch
}
