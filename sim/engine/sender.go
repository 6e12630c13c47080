package engine

import (
	"rowanlink/cluster/shardmap"
	eventpkg "rowanlink/sim/event"
)

// told is an answer at the sender.
func (h *homes) told(n int32) {
	o := &h.offers[n]
	d := &h.m.dispatchers[o.from]
	if o.over || !d.up || d.life != o.life {
		return
	}
	if d.frozenUntil > h.m.now {
		h.m.queue.Add(int64(d.frozenUntil), event{kind: evTold, a: n})
		return
	}
	o.over = true
	delete(d.member.out, n)
	switch {
	case o.reply == shardmap.CustodyTaken && o.fresh:
		h.m.Bus.Emit(h.m.about(eventpkg.HandoffAcknowledged, d, o.h, eventpkg.Event{Peer: o.to}))
	case !o.fresh && (!o.h.offered || o.h.offer != n): // settled by another message
	case o.reply == shardmap.CustodyTaken:
		h.drop(d, o.h, o.to)
	case shardmap.ShouldFollowRedirect(o.by, o.told, o.refused, o.hops) && o.told.Owner != d.member.name:
		next := o.told
		next.Action = shardmap.Forward
		h.send(d, o.h, next, o.hops+1, o.fresh)
	case !o.fresh:
		o.h.offered = false
		d.put(news{kind: newsGate})
	case o.full: // its home's buffer is: its client is told so
		h.m.comeAgain(o.h.origin, 0)
	default:
		h.keepsHere(n, none)
	}
}

// over is a sender that waits no more: the home may have the webhook or not.
func (h *homes) over(n int32) {
	o := &h.offers[n]
	d := &h.m.dispatchers[o.from]
	if o.over || !d.up || d.life != o.life {
		return
	}
	if d.frozenUntil > h.m.now {
		h.m.queue.Add(int64(d.frozenUntil), event{kind: evOfferOver, a: n})
		return
	}
	o.over = true
	delete(d.member.out, n)
	if o.fresh {
		h.keepsHere(n, n)
	} else if d.held[o.h.id] == o.h && o.h.offered && o.h.offer == n {
		o.h.doubt = n
	}
}

// keepsHere takes a client's webhook on where it came in.
func (h *homes) keepsHere(n, doubt int32) {
	o := &h.offers[n]
	if h.m.dispatchers[o.from].held[o.h.id] != nil {
		return // its home has passed it on meanwhile, to here
	}
	if o.kept = true; o.taken {
		h.second(o.h.origin)
	}
	o.h.doubt, o.h.offered = doubt, false
	h.m.dispatchers[o.from].take(o.h, none)
}
