package shardmap

import (
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// Hand counts a webhook's way from member to member: each offer of it to another carries a higher one than
// all before, whoever made them. The upper half counts forks: see Forked.
type Hand uint64

const fork Hand = 1 << 32

// Known is a member's record of webhooks by their names: who has each, as far as it can tell. It outlasts
// what they name, until nothing by that name can be on its way any more.
//
// A webhook belongs to one member. Its owner offers it to another, and calls for it no more until it knows
// who has it: Has ends its own right, a Never is bound to last. So no two own it at once, whatever is lost,
// late or said twice, and a member that was offered it is its owner from its own record on.
type Known struct {
	names map[Name]*Record
	dues  timerqueue.Queue[Name]
}

// NewKnown has the records of an earlier life, the last of each name. held tells what that life still owes.
func NewKnown(earlier []Record, held func(Name) bool) *Known {
	k := &Known{names: map[Name]*Record{}}
	for _, r := range earlier {
		if r.Out.To != "" {
			r.Out.Unsure = true
			if !held(r.Name) { // its end was written before this record was: it has gone on, or ended
				r.Out, r.Here = Offer{}, false
			}
		}
		if r.Comes { // see Came
			if r.Comes = false; !held(r.Name) {
				r.Here = false
				r.Hand = max(r.Hand, 1) - 1 // not by this one
			}
		}
		*k.of(r.Name, r.TTL) = r
	}
	return k
}

func (k *Known) of(n Name, ttl api.Micros) *Record {
	r := k.names[n]
	if r == nil {
		r = &Record{Name: n, TTL: ttl}
		k.names[n] = r
		k.dues.Add(int64(ttl), n)
	}
	return r
}

// Taking is what a member does with a webhook that it was offered.
type Taking uint8

const (
	Leaves Taking = iota // nothing: the reply says why
	Takes                // takes it on, with its record, before Has is said; then Came, or Undo
	Back                 // it is held here in doubt and has come back: this member's again
)

// Offered is a webhook that was sent here. admits: by the map it is this member's to take. Silent: that can't
// be told yet, or not at all; Refuses: not by this try.
func (k *Known) Offered(n Name, hand Hand, ttl, now api.Micros, admits bool) (Reply, Taking) {
	r := k.names[n]
	switch {
	case r != nil && r.Comes:
		return Silent, Leaves // guards against a Has that is taken back
	case r != nil && hand == r.Hand && r.doubted(): // another branch of a fork, its hand spent here too
		return Refuses, Leaves
	case r != nil && hand <= r.Hand:
		return Has, Leaves
	case r != nil && r.Here && r.Out.To == "":
		r.Hand = hand // another branch of a fork: one owner is enough
		return Has, Leaves
	case r != nil && hand <= r.Not || now >= ttl:
		return Never, Leaves
	case !admits:
		return Refuses, Leaves
	case r != nil && r.Here:
		r.Hand, r.Out = hand, Offer{}
		return Has, Back
	}
	r = k.of(n, ttl)
	r.Hand, r.Here, r.Comes = hand, true, true
	return Has, Takes
}

// Returns is whether an offer by that hand brings back what is held here in doubt: what it brings along is
// journalled before Offered is called.
func (k *Known) Returns(n Name, hand Hand) bool {
	r := k.names[n]
	return r != nil && r.doubted() && hand > r.Hand
}

// Came notes that what was taken on is in the journal of webhooks. The record is journalled again before the
// webhook can be called for: a life that finds it coming, and no webhook, knows that it never came.
func (k *Known) Came(n Name) {
	if r := k.names[n]; r != nil {
		r.Comes = false
	}
}

// Asked is whether a webhook came by that hand. Where fresh the record is new, and journalled before it is
// said: by a no what is still on its way comes in vain; by a yes hands go on from there.
func (k *Known) Asked(n Name, hand Hand, ttl api.Micros) (reply Reply, fresh bool) {
	r := k.of(n, ttl)
	switch {
	case r.Comes:
		return Silent, false
	case hand < r.Hand, hand == r.Hand && !r.doubted():
		return Has, false
	case r.Here && !r.doubted(): // as in Offered
		r.Hand = hand
		return Has, true
	}
	fresh = hand > r.Not // also in doubt: who asks may be the one to have it
	r.Not = max(r.Not, hand)
	return Never, fresh
}

// Offers notes that a webhook that is held here is about to be offered, and by which hand; the same one as
// before where it goes again to whom it may have reached. false: another may have it, who has to be asked
// first.
func (k *Known) Offers(n Name, ttl api.Micros, o Offer) (Hand, bool) {
	r := k.of(n, ttl)
	if r.Out.To != "" {
		return r.Hand, r.Out.To == o.To && r.Out.Life == o.Life
	}
	r.Hand, r.Here, r.Out = k.Next(n), true, o
	return r.Hand, true
}

// Sent notes that a client's webhook went from its entry by a hand, before it had a record, and that no
// answer came. false: it has come back since, so that it was taken there, and the entry keeps nothing. Guards
// against a hand that a question raised meanwhile: by another one nobody could tell.
func (k *Known) Sent(n Name, hand Hand, ttl api.Micros, o Offer) bool {
	r := k.of(n, ttl)
	if r.Hand >= hand {
		return false
	}
	o.Unsure = true
	r.Hand, r.Here, r.Out = hand, true, o
	return true
}

// Next is the hand by which a webhook is offered next.
func (k *Known) Next(n Name) Hand {
	if r := k.names[n]; r != nil {
		return max(r.Hand, r.Not) + 1
	}
	return 1
}

// Out is to whom a webhook is on its way, and by which hand.
func (k *Known) Out(n Name) (Offer, Hand, bool) {
	if r := k.names[n]; r != nil && r.Out.To != "" {
		return r.Out, r.Hand, true
	}
	return Offer{}, 0, false
}

// Heard is what came of an offer by a hand: whose the webhook is. Wait: it stays in doubt. An answer that is
// behind what has happened since says nothing.
func (k *Known) Heard(n Name, hand Hand, reply Reply) Settled {
	r := k.names[n]
	if r == nil || r.Out.To == "" || r.Hand != hand {
		return Wait
	}
	switch {
	case reply == Has:
		r.Here, r.Out = false, Offer{}
		return Drop
	case reply == Never, reply == Refuses && !r.Out.Unsure: // refused, an earlier try may still arrive
		r.Out = Offer{}
		return Own
	}
	r.Out.Unsure = true
	return Wait
}

// Forked ends a doubt without knowing who has the webhook: it goes on from here too, by hands that are above
// all that the other branch can reach, so that whoever meets both keeps one.
func (k *Known) Forked(n Name) {
	if r := k.names[n]; r != nil {
		r.Out, r.Hand = Offer{}, (r.Hand/fork+1)*fork
	}
}

// By counts what is on its way by a move.
func (k *Known) By(move MoveID) (n int) {
	for _, r := range k.names {
		if r.Out.To != "" && r.Out.Move == move {
			n++
		}
	}
	return n
}
