package shardmap

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Deed is what a member does with a webhook of a range.
type Deed uint8

const (
	Keep    Deed = iota // its home is not known: taken on, parked
	Serve               // home here: the whole of the destination's rate
	Forward             // its home is elsewhere
	Hold                // home here, but not yet or no more by a grant, or passing: taken on, parked
	Alone               // see Deserted: what the home, if known, can't be reached for gets an even part
)

// Verdict says what to do, by which version of the map, and with whom.
type Verdict struct {
	Do      Deed
	Range   cluster.RangeID
	Epoch   cluster.Epoch // by which the home serves; Serve: the one to check before each call
	Version cluster.Version
	To      cluster.MemberID // Forward: the home
	Passes  Move             // Hold: the move by which what is owed goes over
}

// Tenant is a member as far as its right to call goes.
type Tenant struct {
	Member cluster.MemberID
	Epoch  func(cluster.Resource) (cluster.Epoch, bool) // by which it holds a task now, by its own clock
	Alone  bool                                         // see Deserted
}

// MayServe is what a member does with webhooks of a key hash, now. A call needs Serve (or Alone) when it is
// begun and again before its last byte. It is Serve only where the map names the member by the very grant
// that it holds: a map from before a move does not name the grants given after it, so that no old map lets
// two call.
func (m *Map) MayServe(who Tenant, key cluster.KeyHash) Verdict {
	r, ok := m.Of(key)
	v := Verdict{Range: r.ID, Epoch: r.Epoch, Version: m.Version, To: r.Home}
	epoch, held := cluster.Epoch(0), false
	if ok && r.Home == who.Member {
		epoch, held = who.Epoch(cluster.RangeOwnerResource(r.ID))
	}
	switch {
	case held && r.Standing == Seated && epoch == r.Epoch && r.Move.Step != Passing:
		v.Do = Serve
	case who.Alone:
		v.Do = Alone
	case !ok:
		v.Do = Keep
	case r.Home != who.Member:
		v.Do = Forward
	default:
		if v.Do = Hold; r.Move.Step == Passing {
			v.Passes = r.Move
		}
	}
	return v
}

// Wants is whether a member asks for a range's task: as its home that holds it not, or as the target of a
// move whose source is about to let it go. It asks for no other: that would only keep the home from its seat.
func (r Range) Wants(member cluster.MemberID) bool {
	if r.Move.Step == Passing {
		return r.Move.To == member
	}
	return r.Home == member
}

// LetsGo is whether a member that holds a range's task gives it up: where it doesn't want it, and as the
// source of a move once none of its calls of the range is out and what it owed has gone over.
func (r Range) LetsGo(member cluster.MemberID, callsOut, owed int) bool {
	if r.Move.Step == Passing && r.Home == member {
		return callsOut == 0 && owed == 0
	}
	return !r.Wants(member) && callsOut == 0
}

// Shuts is whether the source of a move takes nothing more on for its range: no call of it is out, and what
// it owes goes over in one message. Guards against a move that never ends, since under load something always
// comes; what is shut waits for a message and the switch.
func (r Range) Shuts(member cluster.MemberID, callsOut, owed, atOnce int) bool {
	return r.Move.Step == Passing && r.Home == member && callsOut == 0 && owed <= atOnce
}

// Deserted is whether nobody may be home anywhere, as far as a member can tell: its own session is over since
// `over`, and in a whole term more each session that was renewed last before its own has ended too. Where
// only this member is cut off, others do have homes: then what it sends comes on top, an even part at the
// most.
func Deserted(over, now, term api.Micros) bool { return over != api.Never && now-over > term }

// Part is the share of a destination's rate that a member has, of a fleet of so many.
func (v Verdict) Part(members int) float64 {
	switch v.Do {
	case Serve:
		return 1
	case Alone:
		return 1 / float64(max(members, 1))
	}
	return 0
}

// Calls is whether a webhook may be called now. One of an ordered event type with a key is not while alone:
// an earlier one of its key may be at a home that is out of reach.
func (v Verdict) Calls(ordered bool) bool { return v.Do == Serve || v.Do == Alone && !ordered }

// Admission is what a member says to a webhook that was forwarded to it.
type Admission uint8

const (
	Take   Admission = iota + 1 // it is journalled here and owned here
	Newer                       // by a newer map it goes elsewhere
	Behind                      // this member's own map is the older: later
)

// Admit is what a member says to what was forwarded by a version of the map. The verdict tells Newer's home.
func (m *Map) Admit(who Tenant, key cluster.KeyHash, by cluster.Version) (Admission, Verdict) {
	v := m.MayServe(who, key)
	r, ok := m.Of(key)
	switch {
	case ok && r.Home == who.Member: // served or parked, it is this member's to take
		return Take, v
	case !ok || by > m.Version:
		return Behind, v
	}
	return Newer, v
}

// Hops is how often one webhook is sent on, at one go, after a refusal that named another home.
const Hops = 1

// Again is whether the sender tries the home that a refusal named, after so many hops. By a strictly newer
// map each time, and Hops bounds it: no loop. Else it keeps the webhook, until its map is as new as the one
// told.
func Again(sent, told Verdict, refusal Admission, hops int) bool {
	return refusal == Newer && told.Version > sent.Version && told.To != sent.To && hops < Hops
}
