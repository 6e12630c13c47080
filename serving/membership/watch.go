package membership

import (
	"strings"
	"time"

	"rowanlink/serving/state"
)

// Suspicion is a watcher's word that it no longer hears a member. It speaks of one word of the member on itself:
// a newer word of the member ends it.
type Suspicion struct {
	Member             string `cbor:"1,keyasint"`
	Incarnation        uint64 `cbor:"2,keyasint"` // of the member
	Sequence           uint64 `cbor:"3,keyasint"` // of the member
	Watcher            string `cbor:"4,keyasint"`
	WatcherIncarnation uint64 `cbor:"5,keyasint"`
	Revision           uint64 `cbor:"6,keyasint"` // rises with each word of this watcher on this member
	Withdrawn          bool   `cbor:"7,keyasint,omitempty"`
}

// Key is the suspicion's key in the spread table.
func (s Suspicion) Key() string { return s.Member + keySeparator + s.Watcher }

// keySeparator stands between the two names of a suspicion's key.
const keySeparator = "\x00"

// WatcherOfKey returns the watcher's name in the key of a suspicion.
func WatcherOfKey(key string) string {
	_, watcher, _ := strings.Cut(key, keySeparator)
	return watcher
}

type suspicionID struct{ member, watcher string }

// watch is what the own process as a watcher knows of one member.
type watch struct {
	heard     time.Time     // the last heartbeat, or when the count began
	late      time.Duration // by how much its heartbeats have lately come later than planned
	suspected bool
	word      Suspicion // the last word spread; zero: none yet
}

// renew begins the count anew.
func (w *watch) renew(now time.Time) { w.heard = now }

// hear takes a heartbeat that was planned at an interval.
func (w *watch) hear(now time.Time, interval time.Duration) {
	w.late = decayed(w.late, min(now.Sub(w.heard)-interval, lateHeartbeatMost))
	w.renew(now)
}

// Heartbeat is what a member tells its watchers of itself.
type Heartbeat struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
}

// HeartbeatAck is the answer to a heartbeat.
type HeartbeatAck struct {
	// Unknown: the watcher does not know this incarnation. The member is to send its own entry.
	Unknown bool `cbor:"1,keyasint,omitempty"`
	// Above: the member was taken for dead under a word up to this Sequence. It is to speak with a higher one.
	RefuteAbove uint64 `cbor:"2,keyasint,omitempty"`
}

// ReceiveHeartbeat takes in a heartbeat.
func (t *Table) ReceiveHeartbeat(now time.Time, beat Heartbeat) HeartbeatAck {
	found, ok := t.members[beat.Name]
	if !ok || found.member.Incarnation < beat.Incarnation || hasLeft(found.member) {
		return HeartbeatAck{Unknown: true}
	}
	if found.member.Incarnation > beat.Incarnation {
		return HeartbeatAck{} // a process that has been replaced
	}
	seen, watching := t.watched[beat.Name]
	if watching {
		seen.hear(now, t.intervalOf(found.member))
	}
	suspected := watching && seen.suspected || !found.downSince.IsZero()
	if suspected && beat.Sequence <= found.member.Sequence {
		return HeartbeatAck{RefuteAbove: max(found.member.Sequence, 1)}
	}
	return HeartbeatAck{Unknown: beat.Sequence > found.member.Sequence}
}

// DownNotice returns what a member that has answered a call is to be told: that it was taken for dead, if it was.
func (t *Table) DownNotice(name string) HeartbeatAck {
	found, ok := t.members[name]
	if !ok || found.downSince.IsZero() {
		return HeartbeatAck{}
	}
	return HeartbeatAck{RefuteAbove: max(found.member.Sequence, 1)}
}

// Refute raises the own word above a sequence under which others took the own process for dead. It returns false
// where the word is higher already or was raised just now.
func (t *Table) Refute(now time.Time, above uint64) (state.Member, bool) {
	if hasLeft(t.Self()) || t.Self().Sequence > above || now.Sub(t.refutedAt) < refuteInterval {
		return state.Member{}, false
	}
	t.refutedAt = now
	return t.UpdateSelf(now, func(member *state.Member) { member.Sequence = max(member.Sequence, above) }), true
}

// MergeSuspicion takes in a watcher's word. A word on the own member is kept like any other: whoever hears the own
// process again tells it so, see Heard.Above. Tick judges what the words amount to.
func (t *Table) MergeSuspicion(word Suspicion) {
	id := suspicionID{member: word.Member, watcher: word.Watcher}
	if known, ok := t.suspicions[id]; ok && !newerSuspicion(word, known) {
		return
	}
	t.unjudged = true
	if word.Withdrawn {
		delete(t.suspicions, id)
		return
	}
	t.suspicions[id] = word
}

// newerSuspicion orders the words of one watcher on one member.
func newerSuspicion(one, other Suspicion) bool {
	if one.WatcherIncarnation != other.WatcherIncarnation {
		return one.WatcherIncarnation > other.WatcherIncarnation
	}
	return one.Revision > other.Revision
}

// ForgetSuspicion drops the word of a watcher that is no longer known.
func (t *Table) ForgetSuspicion(word Suspicion) {
	delete(t.suspicions, suspicionID{member: word.Member, watcher: word.Watcher})
}

// IsFromEarlierIncarnation tells whether a suspicion was spoken by an earlier life of the own process.
func (t *Table) IsFromEarlierIncarnation(word Suspicion) bool {
	return word.Watcher == t.self && !word.Withdrawn && word.WatcherIncarnation < t.Self().Incarnation
}

// WithdrawSuspicion makes the own withdrawal of a suspicion.
func (t *Table) WithdrawSuspicion(word Suspicion) Suspicion {
	t.wordCount++
	word.WatcherIncarnation, word.Revision, word.Withdrawn = t.Self().Incarnation, t.wordCount, true
	t.MergeSuspicion(word)
	return word
}

// Suspicions returns the suspicions known, in no order.
func (t *Table) Suspicions() []Suspicion {
	words := make([]Suspicion, 0, len(t.suspicions))
	for _, word := range t.suspicions {
		words = append(words, word)
	}
	return words
}
