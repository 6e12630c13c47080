package shardmap

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Action is what a member does with a webhook of a range.
type Action uint8

const (
	ParkUnmapped  Action = iota // its home is not known: taken on, parked
	Serve                       // home here: the whole of the destination's rate
	Forward                     // its home is elsewhere
	ParkOwned                   // home here, but not yet or no more by a grant, or passing: taken on, parked
	ServeIsolated               // see Deserted: what the home, if known, can't be reached for gets an even part
)

// Decision says what to do, by which version of the map, and with whom.
type Decision struct {
	Action  Action           `cbor:"Do"`
	Range   cluster.RangeID  `cbor:"Range"`
	Epoch   cluster.Epoch    `cbor:"Epoch"` // by which the home serves; Serve: the one to check before each call
	Version cluster.Version  `cbor:"Version"`
	Owner   cluster.MemberID `cbor:"To"`     // Forward: the home
	Move    Move             `cbor:"Passes"` // Hold: the move by which what is owed goes over
}

// LocalMember is a member as far as its right to call goes.
type LocalMember struct {
	Member    cluster.MemberID
	HeldEpoch func(cluster.Task) (cluster.Epoch, bool) // by which it holds a task now, by its own clock
	Isolated  bool                                     // see Deserted
}

// DecideKey is what a member does with webhooks of a key hash, now. A call needs Serve (or Alone) when it is
// begun and again before its last byte. It is Serve only where the map names the member by the very grant
// that it holds: a map from before a move does not name the grants given after it, so that no old map lets
// two call.
func (m *Map) DecideKey(who LocalMember, key cluster.KeyHash) Decision {
	r, ok := m.RangeOf(key)
	v := Decision{Range: r.ID, Epoch: r.Epoch, Version: m.Version, Owner: r.Owner}
	epoch, held := cluster.Epoch(0), false
	if ok && r.Owner == who.Member {
		epoch, held = who.HeldEpoch(cluster.HomeOf(r.ID))
	}
	switch {
	case held && r.Status == OwnerServing && epoch == r.Epoch && r.Move.Step != StepHandoff:
		v.Action = Serve
	case who.Isolated:
		v.Action = ServeIsolated
	case !ok:
		v.Action = ParkUnmapped
	case r.Owner != who.Member:
		v.Action = Forward
	default:
		if v.Action = ParkOwned; r.Move.Step == StepHandoff {
			v.Move = r.Move
		}
	}
	return v
}

// ShouldAcquire is whether a member asks for a range's task: as its home that holds it not, or as the target of a
// move whose source is about to let it go. It asks for no other: that would only keep the home from its seat.
func (r Range) ShouldAcquire(member cluster.MemberID) bool {
	if r.Move.Step == StepHandoff {
		return r.Move.To == member
	}
	return r.Owner == member
}

// ShouldRelease is whether a member that holds a range's task gives it up: where it doesn't want it, and as the
// source of a move once none of its calls of the range is out and what it owed has gone over.
func (r Range) ShouldRelease(member cluster.MemberID, callsOut, owed int) bool {
	if r.Move.Step == StepHandoff && r.Owner == member {
		return callsOut == 0 && owed == 0
	}
	return !r.ShouldAcquire(member) && callsOut == 0
}

// ShouldCloseIntake is whether the source of a move takes nothing more on for its range: no call of it is out, and what
// it owes goes over in one message. Guards against a move that never ends, since under load something always
// comes; what is shut waits for a message and the switch.
func (r Range) ShouldCloseIntake(member cluster.MemberID, callsOut, owed, atOnce int) bool {
	return r.Move.Step == StepHandoff && r.Owner == member && callsOut == 0 && owed <= atOnce
}

// IsolationSuspected is whether nobody may be home anywhere, as far as a member can tell: its own session is over since
// `over`, and in a whole term more each session that was renewed last before its own has ended too. Where
// only this member is cut off, others do have homes: then what it sends comes on top, an even part at the
// most.
func IsolationSuspected(over, now, term api.Micros) bool { return over != api.Never && now-over > term }

// RateShare is the share of a destination's rate that a member has, of a fleet of so many.
func (v Decision) RateShare(members int) float64 {
	switch v.Action {
	case Serve:
		return 1
	case ServeIsolated:
		return 1 / float64(max(members, 1))
	}
	return 0
}

// AllowsCall is whether a webhook may be called now. One of an ordered event type with a key is not while alone:
// an earlier one of its key may be at a home that is out of reach.
func (v Decision) AllowsCall(ordered bool) bool {
	return v.Action == Serve || v.Action == ServeIsolated && !ordered
}

// Admission is what a member says to a webhook that was forwarded to it.
type Admission uint8

const (
	AdmissionAccepted   Admission = iota + 1 // it is journalled here and owned here
	AdmissionRedirected                      // by a newer map it goes elsewhere
	AdmissionMapStale                        // this member's own map is the older: later
)

// AdmitKey is what a member says to what was forwarded by a version of the map. The verdict tells Newer's home.
func (m *Map) AdmitKey(who LocalMember, key cluster.KeyHash, by cluster.Version) (Admission, Decision) {
	v := m.DecideKey(who, key)
	r, ok := m.RangeOf(key)
	switch {
	case ok && r.Owner == who.Member: // served or parked, it is this member's to take
		return AdmissionAccepted, v
	case !ok || by > m.Version:
		return AdmissionMapStale, v
	}
	return AdmissionRedirected, v
}

// MaxRedirects is how often one webhook is sent on, at one go, after a refusal that named another home.
const MaxRedirects = 1

// ShouldFollowRedirect is whether the sender tries the home that a refusal named, after so many hops. By a strictly newer
// map each time, and Hops bounds it: no loop. Else it keeps the webhook, until its map is as new as the one
// told.
func ShouldFollowRedirect(sent, told Decision, refusal Admission, hops int) bool {
	return refusal == AdmissionRedirected && told.Version > sent.Version && told.Owner != sent.Owner && hops < MaxRedirects
}
