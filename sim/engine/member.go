package engine

import (
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// fellow is a dispatcher's part in a fleet with homes.
type fellow struct {
	name    cluster.MemberID
	tenure  *lease.Holder
	life    lease.Incarnation
	chart   *shardmap.Map // nil: not heard of yet
	over    api.Micros
	parts   []float64 // of each destination's rate, as the module was told
	parked  map[api.WebhookID]*held
	known   map[api.WebhookID]hand // by its folder: outlasts its process
	out     map[int32]bool         // offers whose clients wait
	says    []int32                // offers taken in this turn
	folder  uint32                 // counts the folders that it lost
	looks   bool
	renewAt api.Micros

	mine []shardmap.Range // of the map of version read
	read cluster.Version
}

// chartIs takes a newer map; false: it was an older one.
func (b *fellow) chartIs(c *shardmap.Map) bool {
	if b.chart != nil && b.chart.Version >= c.Version {
		return false
	}
	b.chart = c
	return true
}

// starts gives a dispatcher's new process nothing but what its folder holds.
func (h *homes) starts(d *dispatcher) {
	was := d.member
	p := &h.m.plan.Homes
	d.member = &fellow{name: h.members[d.number].Member, life: 1, over: h.m.now,
		tenure: lease.NewHolder(p.Term.us(), p.Apart),
		parts:  make([]float64, len(h.m.dests)), parked: map[api.WebhookID]*held{},
		known: map[api.WebhookID]hand{}, out: map[int32]bool{}}
	if was != nil {
		d.member.life, d.member.known, d.member.folder = was.life+1, was.known, was.folder
	}
}

// joins is a dispatcher's start: the first one finds the fleet settled.
func (h *homes) joins(d *dispatcher) {
	if d.life > 1 {
		h.starts(d)
		h.renew(d)
	} else {
		h.m.after(d.member.tenure.NextRenewalAt()-h.m.now, event{kind: evRenew, a: d.number, gen: d.life})
	}
	d.setParts()
}

func (d *dispatcher) tenant() shardmap.LocalMember {
	b, now := d.member, d.m.now
	return shardmap.LocalMember{Member: b.name, Isolated: shardmap.IsolationSuspected(b.over, now, d.m.plan.Homes.Term.us()),
		HeldEpoch: func(t cluster.Resource) (cluster.Epoch, bool) { return b.tenure.Epoch(t, now) }}
}

// verdict is what this dispatcher does with webhooks of a destination, now.
func (d *dispatcher) verdict(dest api.DestinationID) shardmap.Decision {
	if d.member.chart == nil {
		return shardmap.Decision{Action: shardmap.ParkUnmapped}
	}
	return d.member.chart.DecideKey(d.tenant(), d.m.homes.keys[dest])
}

// serves is whether a webhook may be called from here, now.
func (d *dispatcher) serves(h *held) bool {
	if d.member == nil {
		return true
	}
	return h.doubt == none && !h.offered && d.m.homes.deeds.calls(d.verdict(d.m.origins[h.origin].dest))
}

// setParts notes what part of each rate is this dispatcher's, and tells of which that is new.
func (d *dispatcher) setParts() (changed map[api.DestinationID]bool) {
	b := d.member
	for i := range b.parts {
		dest := api.DestinationID(i)
		if part := d.m.homes.deeds.part(d.verdict(dest), len(d.m.dispatchers)); part != b.parts[i] {
			if b.parts[i] = part; changed == nil {
				changed = map[api.DestinationID]bool{}
			}
			changed[dest] = true
		}
	}
	return changed
}

// parted is a list with the rates of which an even part is this dispatcher's.
func (d *dispatcher) parted(list []api.EndpointEntry) []api.EndpointEntry {
	if d.member == nil {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		list[i].Rate *= d.member.parts[list[i].Destination] * float64(len(d.m.dispatchers))
	}
	return list
}

// regateIfDue has a dispatcher look at its session before it acts.
func (d *dispatcher) regateIfDue() {
	if b := d.member; b != nil && b.tenure.IsValid(d.m.now) != (b.over == never) {
		d.regate()
	}
}

// regate follows the map and the session: rates, what may be called from here, what may not.
func (d *dispatcher) regate() {
	b, m := d.member, d.m
	switch holds := b.tenure.IsValid(m.now); {
	case holds:
		b.over = never
	case b.over == never:
		b.over = m.now
		d.unsure()
	}
	if changed := d.setParts(); changed != nil {
		var anew []api.EndpointEntry
		for i := range m.endpoints {
			if e := &m.endpoints[i]; changed[e.dest] && !e.gone && !e.drains {
				anew = append(anew, m.entry(int32(i), api.EndpointActive))
			}
		}
		d.module.UpdateEndpoints(d.parted(anew), false)
	}
	for _, id := range slices.Sorted(maps.Keys(d.held)) {
		if h := d.held[id]; b.parked[id] != nil && d.serves(h) {
			delete(b.parked, id)
			d.resume(h)
		} else {
			d.gate(h)
		}
	}
}

// gate parks what the module has and may not call any more; what is out ends first.
func (d *dispatcher) gate(h *held) {
	if !h.ended && h.call < 0 && d.member.parked[h.id] == nil && !d.serves(h) {
		d.module.Withdraw(h.id)
		d.park(h)
	}
}

func (d *dispatcher) park(h *held) {
	d.member.parked[h.id] = h
	in := max(d.m.origins[h.origin].ttl-2*d.m.plan.Dispatchers.Tick.us()-d.m.now, 0)
	d.m.after(in, event{kind: evExpire, a: d.number, b: int32(h.id), gen: d.life})
	d.m.homes.lookAt(d, d.m.plan.Homes.Term.us()/looks)
}

// expire ends a parked webhook in time: nobody else does.
func (d *dispatcher) expire(id api.WebhookID) {
	h := d.member.parked[id]
	switch {
	case h == nil:
	case h.mayRun != never || h.doubt != none || h.offered:
		d.DeadLetter(id)
	default:
		d.Reject(id, 0)
	}
}

// begins hands a webhook that is held here to the module, or parks it.
func (d *dispatcher) begins(h *held) {
	if d.serves(h) {
		d.resume(h)
	} else {
		d.park(h)
	}
}

func (d *dispatcher) resume(h *held) {
	o := &d.m.origins[h.origin]
	if h.attempts == 0 && h.mayRun == never {
		d.module.Submit(o.webhook(h.id))
	} else {
		d.module.Recover(o.webhook(h.id), h.priorAttempts())
	}
}

// dies is a process that ends: what its clients wait for they hand in again, elsewhere.
func (h *homes) dies(d *dispatcher, t *Trouble) {
	b := d.member
	for _, n := range slices.Sorted(maps.Keys(b.out)) {
		o := &h.offers[n]
		o.orphan = true
		h.second(o.h.origin)
		h.m.after(answerWithin, event{kind: evHandIn, a: o.h.origin})
		if o.gone && !o.taken {
			h.m.close(o.h.origin)
		}
	}
	if !t.Journal && t.Kind != "restart" {
		b.known = map[api.WebhookID]hand{}
		b.folder++
	}
	for _, w := range d.held {
		if w.offered && w.doubt == none {
			w.doubt = w.offer
		}
	}
	if s := b.tenure.EndSession(); t.Kind == "restart" && s != 0 { // it says so before it goes
		if _, ok := h.lease(lease.EndSession(s)); ok {
			h.terms.Remove(s)
		}
	}
}
