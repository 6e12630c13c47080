package membership

import (
	"time"

	"rowanlink/serving/state"
)

// Suspicion is a watcher's statement that it no longer receives a member's heartbeats. It refers to one version of the
// member, by incarnation and sequence; a newer version refutes it.
type Suspicion struct {
	Member             string `cbor:"1,keyasint"`
	Incarnation        uint64 `cbor:"2,keyasint"` // of the member
	Sequence           uint64 `cbor:"3,keyasint"` // of the member
	Watcher            string `cbor:"4,keyasint"`
	WatcherIncarnation uint64 `cbor:"5,keyasint"`
	Revision           uint64 `cbor:"6,keyasint"` // increases with each suspicion or withdrawal that the watcher issues
	Withdrawn          bool   `cbor:"7,keyasint,omitempty"`
}

// keySeparator separates the names of the member and the watcher in a suspicion's key.
const keySeparator = "\x00"

// Key returns the suspicion's key in the gossip table.
func (s Suspicion) Key() string { return s.Member + keySeparator + s.Watcher }

// suspicionID identifies the suspicions of one watcher about one member, of which only the newest counts.
type suspicionID struct{ member, watcher string }

func (s Suspicion) id() suspicionID { return suspicionID{member: s.Member, watcher: s.Watcher} }

// Refute raises the local member's sequence above the given one, under which other members suspect it or have marked it
// as down, and returns the new version for gossip. It returns false if the member has left, if its sequence is already
// higher, or if it refuted less than refuteInterval ago.
func (t *Table) Refute(now time.Time, above uint64) (state.Member, bool) {
	if hasLeft(t.Self()) || t.Self().Sequence > above || now.Sub(t.refutedAt) < refuteInterval {
		return state.Member{}, false
	}
	t.refutedAt = now
	refuted := t.UpdateSelf(now, func(member *state.Member) {
		member.Sequence = max(member.Sequence, above)
	})
	return refuted, true
}

// MergeSuspicion applies a watcher's suspicion or withdrawal; the next Tick evaluates it. A suspicion about the local
// member is only stored, not refuted here: the members that receive its heartbeats ask it to refute, see
// HeartbeatAck.RefuteAbove.
func (t *Table) MergeSuspicion(suspicion Suspicion) {
	id := suspicion.id()
	if stored, ok := t.suspicions[id]; ok && !isNewerSuspicion(suspicion, stored) {
		return
	}
	t.needsEvaluation = true
	if suspicion.Withdrawn {
		delete(t.suspicions, id)
		return
	}
	t.suspicions[id] = suspicion
}

// isNewerSuspicion reports whether one statement of a watcher about a member is newer than the other: by the watcher's
// incarnation, then by revision.
func isNewerSuspicion(one, other Suspicion) bool {
	if one.WatcherIncarnation != other.WatcherIncarnation {
		return one.WatcherIncarnation > other.WatcherIncarnation
	}
	return one.Revision > other.Revision
}

// RemoveSuspicion removes a suspicion whose member or watcher has been removed.
func (t *Table) RemoveSuspicion(suspicion Suspicion) {
	delete(t.suspicions, suspicion.id())
}

// IsFromEarlierIncarnation reports whether a suspicion was issued by an earlier incarnation of the local member and
// therefore must be withdrawn.
func (t *Table) IsFromEarlierIncarnation(suspicion Suspicion) bool {
	return suspicion.Watcher == t.self &&
		!suspicion.Withdrawn &&
		suspicion.WatcherIncarnation < t.Self().Incarnation
}

// WithdrawSuspicion withdraws a suspicion that the local member has issued and returns the withdrawal for gossip.
func (t *Table) WithdrawSuspicion(suspicion Suspicion) Suspicion {
	t.revision++
	suspicion.WatcherIncarnation = t.Self().Incarnation
	suspicion.Revision = t.revision
	suspicion.Withdrawn = true
	t.MergeSuspicion(suspicion)
	return suspicion
}

// Suspicions returns all suspicions, in no order.
func (t *Table) Suspicions() []Suspicion {
	suspicions := make([]Suspicion, 0, len(t.suspicions))
	for _, suspicion := range t.suspicions {
		suspicions = append(suspicions, suspicion)
	}
	return suspicions
}
