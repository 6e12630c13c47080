package stream

import (
	"slices"

	"pgregory.net/rapid"

	"rowanlink/webhook/api"
)

// run is a call that takes effect, at the relay or beside it.
func (w *world) run(d Delivery, i *Item) {
	calls := append(w.ran[d], w.now)
	w.ran[d] = calls
	switch t := types[i.EventType]; {
	case t.Semantics == api.AtMostOnce && len(calls) > 1:
		w.Fatalf("%v took effect twice", d)
	case t.Semantics == api.Deduplicated && w.now >= calls[0]+t.DedupWindow:
		w.Fatalf("%v ran again when its token was forgotten", d)
	}
	if i.Key != 0 {
		k := keyed{d.Destination, i.Key}
		w.trace[k] = append(w.trace[k], w.number(d))
	}
}

func (w *world) number(d Delivery) int {
	return slices.IndexFunc(w.all, func(o *owned) bool { return o.is() == d })
}

// serve has the relay's module call for one that is first of its key, or end one.
func (w *world) serve() {
	if len(w.held) == 0 {
		return
	}
	n := rapid.IntRange(0, len(w.held)-1).Draw(w.T, "held")
	h := w.held[n]
	first := slices.IndexFunc(w.held, func(o *atRelay) bool {
		return o.Destinations[0] == h.Destinations[0] && o.Key == h.Key && (h.Key != 0 || o == h)
	})
	if first != n {
		return
	}
	how := Delivered
	twice := h.called && types[h.EventType].Semantics == api.AtMostOnce
	switch late := w.now+skew >= h.TTL; {
	case late && !h.called:
		how = Rejected
	case late || twice:
		how = DeadLettered
	default:
		h.called = true
		w.run(h.is(), &h.Item)
		if rapid.Bool().Draw(w.T, "answer lost") {
			return
		}
	}
	e := Result{Delivery: h.is(), Outcome: how, MayHaveRun: h.called}
	w.held = slices.Delete(w.held, n, n+1)
	w.owed = append(w.owed, e)
	w.r.RecordResult(e)
}

// aside has this dispatcher's module end one that goes beside the stream.
func (w *world) aside() {
	for _, o := range w.all {
		if w.open[o.is()] != o || !o.beside || rapid.Bool().Draw(w.T, "another") {
			continue
		}
		earlier := func(p *owned) bool {
			return w.open[p.is()] == p && p.beside && p.no < o.no && p.Destinations[0] == o.Destinations[0] && p.Key == o.Key
		}
		switch {
		case o.Key != 0 && slices.ContainsFunc(w.all, earlier):
			continue
		case w.now >= o.TTL || o.TokenWindow > 0 && o.FirstAttemptAt != api.Never && w.now >= o.FirstAttemptAt+o.TokenWindow:
			o.late = true
			w.end(o.is(), DeadLettered)
		default:
			w.run(o.is(), &o.Item)
			w.end(o.is(), Delivered)
		}
		return
	}
}

// tick is some time; what is past its time ends.
func (w *world) tick() {
	w.now += api.Micros(rapid.IntRange(1, 4000).Draw(w.T, "ms")) * 1000
	for _, d := range w.s.DropExpired(w.now) {
		w.end(d, Rejected)
	}
	if w.s.gone {
		w.gone()
	}
}

// startSender is the next life of the owner's process, by what it has on disk.
func (w *world) startSender() {
	w.epoch++
	w.s = NewSender(w.epoch, 0)
	for _, o := range w.all {
		switch {
		case w.open[o.is()] != o:
		case o.beside:
			w.s.RestoreBypassing(o.Item)
		case o.life != 0:
			w.s.RestoreSent(o.Item, o.life, o.sentAt)
		default:
			w.s.Add(o.Item, api.Second, w.now)
		}
	}
	w.free()
}

func (w *world) startRelay(lost bool) {
	if lost {
		w.life++
		w.mark, w.held, w.owed = Checkpoint{Incarnation: w.life}, nil, nil
	}
	var held []Delivery
	for _, h := range w.held {
		held = append(held, h.is())
	}
	w.r = NewReceiver(w.mark, held, w.owed)
}

// arrive has one message come, which may come again later.
func (w *world) arrive(from *[]func()) {
	if len(*from) == 0 {
		return
	}
	n := rapid.IntRange(0, min(len(*from)-1, 3)).Draw(w.T, "which")
	what := (*from)[n]
	if !rapid.Bool().Draw(w.T, "doubled") || len(*from) > 20 {
		*from = slices.Delete(*from, n, n+1)
	}
	what()
}

func (w *world) arrived() {
	w.arrive(&w.up)
	w.arrive(&w.down)
}

// round is what happens where nothing breaks: sent, served, told and heard, last come first.
func (w *world) round() {
	for _, step := range []func(){w.send, w.serve, w.tell} {
		step()
		for _, from := range []*[]func(){&w.up, &w.down, &w.up} {
			if n := len(*from); n > 0 {
				(*from)[n-1]()
				if rapid.IntRange(0, 3).Draw(w.T, "once more") > 0 {
					*from = (*from)[:n-1]
				}
			}
		}
	}
}

func (w *world) lose(from *[]func()) {
	if len(*from) > 0 {
		n := rapid.IntRange(0, len(*from)-1).Draw(w.T, "lost")
		*from = slices.Delete(*from, n, n+1)
	}
}

func play(t *rapid.T) {
	w := &world{T: t, open: map[Delivery]*owned{}, ends: map[Delivery]Outcome{}, life: 1, mark: Checkpoint{Incarnation: 1},
		ran: map[Delivery][]api.Micros{}, trace: map[keyed][]int{}}
	w.startRelay(false)
	w.startSender()
	folders := rapid.IntRange(0, 3).Draw(t, "folders lost at the most")
	lose := func() {
		if folders--; folders >= 0 {
			w.startRelay(true)
		}
	}
	work := []func(){w.add, w.add, w.send, w.arrived, w.arrived, w.serve, w.serve, w.tell,
		w.aside, w.round, w.round, w.ask}
	faults := []func(){func() { w.s.Retransmit() }, w.gone, w.startSender, func() { w.startRelay(false) },
		func() { w.fails = true },
		lose, w.tick, w.tick, func() { w.lose(&w.up) }, func() { w.lose(&w.down) }, func() { w.now += window }}
	often := rapid.SampledFrom([]int{2, 5, 15}).Draw(t, "a fault in so many steps")
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		of := work
		if rapid.IntRange(1, often).Draw(t, "fault") == 1 {
			of = faults
		}
		of[rapid.IntRange(0, len(of)-1).Draw(t, "step")]()
	}
	w.drain()
	for _, o := range w.all {
		if w.ends[o.is()] == 0 {
			t.Fatalf("%v never ended: %+v", o.is(), o)
		}
		if w.ends[o.is()] == Rejected && len(w.ran[o.is()]) > 0 {
			t.Fatalf("%v was rejected and had run", o.is())
		}
		if w.ends[o.is()] == Delivered && len(w.ran[o.is()]) == 0 {
			t.Fatalf("%v was told as delivered and never ran", o.is())
		}
	}
	for k, ran := range w.trace {
		sure := slices.DeleteFunc(slices.Clone(ran), func(n int) bool { return w.all[n].late })
		if !slices.IsSorted(firsts(ran)) || !slices.IsSorted(reversed(firsts(reversed(sure)))) {
			t.Fatalf("%v ran in the order %v", k, ran)
		}
	}
}

// drain lets all faults end and time pass until nothing is owed.
func (w *world) drain() {
	w.fails = false
	for n := 0; n < 400 && (len(w.open) > 0 || n < 4); n++ {
		w.s.Retransmit()
		for _, step := range []func(){w.ask, w.send, w.send, w.send, w.tell, w.aside, w.tick} {
			step()
			for _, from := range []*[]func(){&w.up, &w.down} {
				for len(*from) > 0 {
					what := (*from)[0]
					*from = (*from)[1:]
					what()
				}
			}
		}
		for range 2 * len(w.held) {
			w.serve()
		}
	}
}

func reversed(of []int) []int {
	of = slices.Clone(of)
	slices.Reverse(of)
	return of
}

// firsts is the first time of each.
func firsts(of []int) (all []int) {
	for _, n := range of {
		if !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}
