package engine

import (
	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/shardmap"
)

// ask is a message to the keeper and its answer.
type ask struct {
	from    int32
	life    lease.Incarnation
	asked   lease.Renewal
	session cluster.SessionID // 0: to be opened
	tasks   []cluster.Resource
	seats   []shardmap.Range // of which it says that it is home
	epochs  []cluster.Epoch

	refused bool
	granted []lease.Grant
}

// ask puts together what a dispatcher says to the keeper now.
func (h *homes) ask(d *dispatcher) int32 {
	a := h.wants(d)
	a.asked = d.member.tenure.StartRenewal(h.m.now)
	h.asks = append(h.asks, a)
	return int32(len(h.asks) - 1)
}

func (h *homes) wants(d *dispatcher) ask {
	b, now := d.member, h.m.now
	a := ask{from: d.number, life: b.life, session: b.tenure.Session()}
	for _, r := range b.homes() {
		switch epoch, held := b.tenure.Epoch(cluster.RangeOwnerResource(r.ID), now); {
		case !held:
			a.tasks = append(a.tasks, cluster.RangeOwnerResource(r.ID))
		case epoch > r.Epoch:
			a.seats, a.epochs = append(a.seats, r), append(a.epochs, epoch)
		}
	}
	return a
}

// homes are the ranges that the map names a member home of.
func (b *fellow) homes() (mine []shardmap.Range) {
	if b.chart == nil {
		return nil
	}
	if b.read != b.chart.Version {
		b.read, b.mine = b.chart.Version, nil
		for _, r := range b.chart.Ranges {
			if r.ShouldAcquire(b.name) {
				b.mine = append(b.mine, r)
			}
		}
	}
	return b.mine
}

// hears has a dispatcher take a newer map, and act on it.
func (h *homes) hears(d *dispatcher, c *shardmap.Map) {
	if !d.member.chartIs(c) {
		return
	}
	d.put(news{kind: newsGate})
	h.lookAt(d, 0)
	if a := h.wants(d); len(a.tasks)+len(a.seats) > 0 {
		h.renew(d)
	}
}

// renew asks the keeper, and again when that is due.
func (h *homes) renew(d *dispatcher) {
	n := h.ask(d)
	if !h.lost() {
		h.m.after(h.way(d.zone, h.at()), event{kind: evAsk, a: n})
	}
	h.renewAgain(d)
}

func (h *homes) renewAgain(d *dispatcher) {
	b := d.member
	in := max(b.tenure.NextRenewalAt()-h.m.now, 1)
	if b.renewAt <= h.m.now || h.m.now+in < b.renewAt {
		b.renewAt = h.m.now + in
		h.m.after(in, event{kind: evRenew, a: d.number, gen: d.life})
	}
}

// asked is an ask at the keeper, or its answer at the dispatcher.
func (h *homes) asked(n int32, back bool) {
	a := &h.asks[n]
	d, granted := &h.m.dispatchers[a.from], len(a.granted) > 0
	switch {
	case !back:
		h.serve(a)
		if !h.lost() {
			h.m.after(h.way(h.at(), d.zone), event{kind: evAsk, a: n, b: 1})
		}
	case !d.up || a.life != d.member.life:
	case d.frozenUntil > h.m.now:
		h.m.queue.Add(int64(d.frozenUntil), event{kind: evAsk, a: n, b: 1})
	default:
		h.heard(d, a)
		h.hears(d, h.charts[len(h.charts)-1])
		if granted { // it may say so at once
			h.renew(d)
		}
		h.renewAgain(d)
	}
}

// answer is an ask, its answer and the grants' seats at one moment: the fleet's start.
func (h *homes) answer(d *dispatcher, n int32) {
	for range 2 {
		a := &h.asks[n]
		h.serve(a)
		h.heard(d, a)
		n = h.ask(d)
	}
	h.serve(&h.asks[n])
	h.heard(d, &h.asks[n])
}

// serve is the keeper's part. A session is opened or renewed, tasks are granted, seats noted.
func (h *homes) serve(a *ask) {
	name, now := h.members[a.from].Member, h.m.now
	if a.session == 0 {
		o, _ := h.lease(lease.OpenSession(name, a.life))
		a.session = o.Session
		a.refused = !h.terms.AddOrRenew(a.session, now)
	} else {
		a.refused = !h.terms.Renew(a.session, now)
	}
	if a.refused {
		return
	}
	if len(a.tasks) > 0 {
		g, _ := h.lease(lease.AcquireLeases(a.session, a.tasks...))
		a.granted = g.Grants
	}
	changed := false
	for i, r := range a.seats {
		changed = h.propose(shardmap.ConfirmOwner(r.ID, name, a.epochs[i], h.chart.Version)) != nil || changed
	}
	if changed && !h.setup {
		h.publish()
	}
}

func (h *homes) heard(d *dispatcher, a *ask) {
	b := d.member
	if a.refused {
		b.tenure.HandleRejection(a.session)
	} else if b.tenure.ConfirmRenewal(a.asked, a.session) {
		for _, g := range a.granted {
			b.tenure.AddGrant(a.session, g)
		}
	}
	if b.tenure.IsValid(h.m.now) != (b.over == never) {
		if b.over = h.m.now; b.tenure.IsValid(h.m.now) {
			b.over = never
		}
		if d.up {
			d.put(news{kind: newsGate})
		}
	}
}
