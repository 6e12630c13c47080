package lease

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Holder is a member's own view of its session: until when it may act, and by which epochs. It is begun anew
// with each process. Its times are of the member's own clock; it must be asked, not remembered: Holds or
// Epoch before an act and again before the act's last byte.
type Holder struct {
	use     api.Micros // of a term, by this clock, even if it is slow and the keeper's fast
	session cluster.SessionID
	until   api.Micros
	high    cluster.SessionID // the highest ever answered
	gone    cluster.SessionID // sessions up to this one were ended by the member: none is heeded again
	asks    uint64            // made so far
	void    uint64            // asks up to this one were made before a refusal: their answers count no more
	asked   api.Micros
	waiting bool // the last ask has no answer yet
	epochs  map[cluster.Resource]cluster.Epoch
	let     map[cluster.Resource]cluster.Epoch // given up by the member: an answer that comes late gives none back
}

// Renewal is one ask for a session to be opened or to go on: its answer counts from when it was made.
type Renewal struct {
	no uint64
	at api.Micros
}

// NewHolder holds nothing. apart is by how much, as a share, a clock may run off true time, or two clocks off
// each other: 0 to below 1. The term must be the keepers'.
//
// A slow clock that shows `use` has let use/(1-apart) go by, a keeper's fast one ends the session after
// term/(1+apart): the former must be the lesser, and each of both readings may lack up to a microsecond.
func NewHolder(term api.Micros, apart float64) *Holder {
	return &Holder{use: api.Micros(float64(term)*(1-apart)/(1+apart)) - 2}
}

// StartRenewal is called before each ask is sent, with the time read before.
func (t *Holder) StartRenewal(now api.Micros) Renewal {
	t.asks++
	t.asked, t.waiting = now, true
	return Renewal{t.asks, now}
}

// ConfirmRenewal is a keeper's yes to an ask: this session was opened or goes on. Answers may come late, doubled or
// out of order; none gives more than a term from its own ask. False: it was not heeded.
func (t *Holder) ConfirmRenewal(a Renewal, s cluster.SessionID) bool {
	if a.no <= t.void || s < t.high || s <= t.gone {
		return false
	}
	if s > t.high { // the one before has ended, or this one would not have been opened
		t.high, t.until = s, 0
		t.epochs, t.let = map[cluster.Resource]cluster.Epoch{}, map[cluster.Resource]cluster.Epoch{}
	}
	t.session, t.until = s, max(t.until, a.at+t.use)
	if a.no == t.asks {
		t.waiting = false
	}
	return true
}

// HandleRejection is a keeper's no for a session, also to a grant: it has ended or is being ended. All is given up at
// once, and only an ask made from now on gives a session. A no about an earlier session changes nothing.
func (t *Holder) HandleRejection(s cluster.SessionID) {
	if s == t.session {
		t.session, t.until, t.void = 0, 0, t.asks
		clear(t.epochs)
	}
}

// EndSession gives everything up, before the member asks for this session to be ended. A process that goes on draws
// another incarnation for its next open: were it given the same session again, the end could come after that.
func (t *Holder) EndSession() cluster.SessionID {
	s := t.session
	t.gone = max(t.gone, s)
	t.HandleRejection(s)
	return s
}

// Session is the one that was last answered, still held or not; 0: none, ask for one to be opened.
func (t *Holder) Session() cluster.SessionID { return t.session }

// IsValid is whether the session surely stands: no keeper has let it end, whatever the clocks do within apart.
func (t *Holder) IsValid(now api.Micros) bool { return t.session != 0 && now < t.until }

// Deadline is when Holds becomes false, unless an answer comes before; 0 without a session.
func (t *Holder) Deadline() api.Micros { return t.until }

// NextRenewalAt is when the next ask is due: a third of the term after one that was answered, half of that after
// one that was not, so that three may be lost before the session is. At once where none was made.
func (t *Holder) NextRenewalAt() api.Micros {
	switch {
	case t.asks == 0:
		return 0
	case t.waiting || t.session == 0:
		return t.asked + t.use/6
	default:
		return t.asked + t.use/3
	}
}

// AddGrant notes a grant as the answer to this session's ask has it. False: another holds the task, or the answer
// is an old one, for an earlier session or of a grant that was given up since; where that one is answered
// again and again its release was lost: ask for it anew. Epoch says when to act on it.
func (t *Holder) AddGrant(s cluster.SessionID, g Grant) bool {
	if s == 0 || s != t.session || g.Epoch < max(t.let[g.Resource]+1, t.epochs[g.Resource]) {
		return false
	}
	t.epochs[g.Resource] = g.Epoch
	return true
}

// Relinquish gives one task up, before its release is asked for with the epoch told here.
func (t *Holder) Relinquish(task cluster.Resource) (cluster.Epoch, bool) {
	e, ok := t.epochs[task]
	if ok {
		delete(t.epochs, task)
		t.let[task] = e
	}
	return e, ok
}

// Epoch is by which epoch the task may be acted on at this moment; false: not at all.
func (t *Holder) Epoch(task cluster.Resource, now api.Micros) (cluster.Epoch, bool) {
	e, ok := t.epochs[task]
	return e, ok && t.IsValid(now)
}

// Digest is one number for all grants that are known here, in whatever order they came.
func (t *Holder) Digest() (sum Digest) {
	for task, e := range t.epochs {
		sum += tallyOf(task, e)
	}
	return sum
}

// Digest stands for a set of grants: two that differ have the same one by mere chance only.
type Digest uint64

func tallyOf(t cluster.Resource, e cluster.Epoch) Digest {
	return Digest(xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, uint64(e)), t...)))
}
