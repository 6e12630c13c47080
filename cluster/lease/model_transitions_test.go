package lease

import (
	"slices"

	"rowanlink/cluster"
)

// move is one thing that may happen next: i is whose, or which message's.
type move struct {
	name string
	i    int
	do   func(w *world, i int)
}

const mostInFlight = 3

var asksToRenew = [2]string{"a member asks keeper 0 to renew", "a member asks keeper 1 to renew"}

func (w *world) send(m message) { w.net = append(w.net, m) }

func (w *world) inFlight(proc int, kinds ...kind) (n int) {
	for _, m := range w.net {
		if m.proc == proc && slices.Contains(kinds, m.kind) {
			n++
		}
	}
	return n
}

// moves are all that may happen in this state.
func (w *world) moves(all []move) []move {
	all = append(all, move{"time goes on", 0, func(w *world, _ int) { w.now++ }})
	for i, m := range w.net {
		if m.kind != renewHeld || w.answers(m) {
			all = append(all, move{"arrives", i, func(w *world, i int) { w.deliver(i, false) }})
		}
		if m.kind == yes || m.kind == no || m.kind == granted { // to lose an ask is not to have asked
			all = append(all, move{"is lost", i, func(w *world, i int) { w.net = slices.Delete(w.net, i, i+1) }})
		}
		if w.left.doubles > 0 && m.kind != renewHeld && m.kind < expireAsk {
			all = append(all, move{"arrives, and will again", i, func(w *world, i int) {
				w.left.doubles--
				w.deliver(i, true)
			}})
		}
	}
	if w.left.restarts > 0 && w.done > 0 {
		all = append(all, move{"who is acted on restarts", 0, (*world).restart})
	}
	for k := range w.keeper {
		all = w.keeperMoves(k, all)
	}
	if len(w.net) < mostInFlight {
		for p := range w.proc {
			all = w.memberMoves(p, all)
		}
	}
	return all
}

func (w *world) keeperMoves(k int, all []move) []move {
	n := &w.keeper[k]
	if w.left.elections > 0 {
		all = append(all, move{"a keeper is elected", k, func(w *world, k int) {
			w.left.elections--
			w.elect(k)
		}})
	}
	if k == w.leader && slices.ContainsFunc(w.net, func(m message) bool {
		return m.kind == renewHeld && m.keeper == k && !n.assent.HasQuorumSince(m.at)
	}) {
		all = append(all, move{"a keeper hears another's assent", k, func(w *world, k int) {
			w.heard(k, w.term, w.keeperClock(k))
		}})
	}
	if k == w.leader && w.left.assents > 0 {
		all = append(all, move{"a keeper is sent another's assent", k, (*world).assentOut})
	}
	if n.believes && k != w.leader {
		all = append(all, move{"a keeper follows", k, func(w *world, k int) {
			n := w.ownKeeper(k)
			n.believes = false
			n.terms.StopLeading()
		}})
	}
	if n.believes && w.someDue(k) {
		all = append(all, move{"a keeper looks at what is due", k, func(w *world, k int) {
			for _, o := range w.ownKeeper(k).terms.TakeExpired(w.keeperClock(k)) {
				w.send(message{kind: expireAsk, proc: -1, keeper: k, session: o.Session, reign: o.LeaderEpoch})
			}
		}})
	}
	return all
}

func (w *world) assentOut(k int) {
	w.left.assents--
	w.send(message{kind: assentSaid, proc: -1, keeper: k, term: w.term, at: w.keeperClock(k)})
}

// someDue leaves out ends that are on their way: to find them again changes nothing.
func (w *world) someDue(k int) bool {
	for s, r := range w.keeper[k].terms.sessions {
		if w.keeperClock(k) >= r.expiresAt && !slices.ContainsFunc(w.net, func(m message) bool {
			return m.kind == expireAsk && m.keeper == k && m.session == s && m.reign == w.keeper[k].terms.leaderEpoch
		}) {
			return true
		}
	}
	return false
}

func (w *world) memberMoves(p int, all []move) []move {
	t := w.proc[p].tenure
	s := t.Session()
	asking := w.inFlight(p, openAsk, renewHeld, yes) > 0
	if s == 0 && !asking {
		all = append(all, move{"a member asks to open", p, func(w *world, p int) {
			w.ask(p, openAsk, w.leader)
			if !w.left.late {
				w.deliver(len(w.net)-1, false)
				w.deliver(len(w.net)-1, false)
			}
		}})
	}
	for k := range w.keeper {
		if s != 0 && !asking && w.keeper[k].believes {
			all = append(all, move{asksToRenew[k], p, func(w *world, p int) { w.ask(p, renewHeld, k) }})
		}
	}
	if s != 0 && t.epochs[worldTask] == 0 && w.inFlight(p, grantAsk, granted) == 0 {
		all = append(all, move{"a member asks for the task", p, func(w *world, p int) {
			before := len(w.net)
			w.send(message{kind: grantAsk, proc: p, session: w.proc[p].tenure.Session()})
			for !w.left.late && len(w.net) > before {
				w.deliver(before, false)
			}
		}})
	}
	if _, acts := t.Epoch(worldTask, w.clock(p)); acts && w.left.deeds > 0 {
		all = append(all, move{"a member acts", p, func(w *world, p int) {
			w.left.deeds--
			e, _ := w.proc[p].tenure.Epoch(worldTask, w.clock(p))
			w.send(message{kind: deed, proc: -1, epoch: e})
		}})
	}
	if t.epochs[worldTask] != 0 && w.left.lets > 0 {
		all = append(all, move{"a member lets the task go", p, func(w *world, p int) {
			w.left.lets--
			e, _ := w.own(p).Relinquish(worldTask)
			w.send(message{kind: releaseAsk, proc: p, session: w.proc[p].tenure.Session(), epoch: e})
		}})
	}
	if s != 0 && w.left.ends > 0 {
		all = append(all, move{"a member ends its session", p, func(w *world, p int) {
			w.left.ends--
			w.send(message{kind: endAsk, proc: p, session: w.own(p).EndSession()})
			w.proc[p].life += 2
		}})
	}
	if w.left.deaths > 0 {
		all = append(all, move{"a member dies and begins another life", p, (*world).reborn})
	}
	return all
}

// ask goes to the leader's log or, for a renewal, to a keeper at once: on the way it could only become harder
// to assent to.
func (w *world) ask(p int, what kind, k int) {
	t := w.own(p)
	m := message{kind: what, proc: p, keeper: k, session: t.Session()}
	m.ask, m.life = t.StartRenewal(w.clock(p)), w.proc[p].life
	if what == renewHeld {
		m.at = w.keeperClock(k)
	}
	w.send(m)
}

// reborn: what was asked may still arrive, answers don't.
func (w *world) reborn(p int) {
	w.left.deaths--
	w.proc[p].tenure, w.proc[p].owned = w.newTenure(), true
	w.proc[p].life += 2
	w.net = slices.DeleteFunc(w.net, func(m message) bool {
		return m.proc == p && (m.kind == yes || m.kind == no || m.kind == granted || m.kind == renewHeld)
	})
	for i := range w.net {
		if w.net[i].proc == p {
			w.net[i].proc = -1
		}
	}
}

func (w *world) restart(int) {
	w.left.restarts--
	var err error
	if w.fence, err = DecodeFence(w.kept); err != nil {
		panic(err)
	}
	if w.wrong.fenceLost {
		w.fence = NewFence()
	}
}

func (w *world) acted(e cluster.Epoch) {
	f, err := DecodeFence(w.fence.Encode())
	if err != nil {
		panic(err)
	}
	w.fence = f
	risen, err := f.Admit(worldTask, e)
	if risen {
		w.kept = f.Encode()
	}
	if err == nil && e < w.done {
		w.broken = "a deed came in after one of a later epoch"
	}
	if err == nil {
		w.done = max(w.done, e)
	}
}
