// Package lease decides who may do a task that only one member may do. Book is the replicated truth, Terms
// the leading keeper's clock over sessions, Tenure the holder's own, Fence the memory of whoever is acted on.
// None has a clock: times are handed in, each of one machine's clock only. docs/cluster.md, "Leases", has the
// argument.
package lease

import (
	"maps"
	"slices"

	"rowanlink/cluster"
)

// Table is the replicated part: sessions, what hangs on them, and the last epoch of each task. It knows no
// time. Its index rises with the log's; were that to begin anew, session ids and epochs go on rising all the
// same.
type Table struct {
	last     uint64 // the highest id or epoch given out: the next is above it
	reign    LeaderEpoch
	sessions map[cluster.SessionID]*session
	opened   map[opener]cluster.SessionID // sessions that have not ended
	tasks    map[cluster.Resource]leaseState
}

type opener struct {
	member      cluster.MemberID
	incarnation Incarnation
}

type session struct {
	opener
	tasks map[cluster.Resource]struct{}
}

type leaseState struct {
	session cluster.SessionID // 0: free
	epoch   cluster.Epoch     // the last, also while it is free
}

// NewTable has no sessions.
func NewTable() *Table {
	return &Table{sessions: map[cluster.SessionID]*session{}, opened: map[opener]cluster.SessionID{},
		tasks: map[cluster.Resource]leaseState{}}
}

// Apply does one order. Refusals: ErrUnreadable; cluster.ErrNotFound where the session has ended or never was;
// cluster.ErrFenced for a release of what this session no longer holds with that epoch; cluster.ErrStale for the
// end that a keeper found in an earlier reign. Each changes nothing.
func (b *Table) Apply(index uint64, body []byte) ([]byte, error) {
	o, err := readOrder(body)
	if err != nil {
		return nil, err
	}
	if o.Session != 0 && b.sessions[o.Session] == nil {
		return nil, cluster.ErrNotFound
	}
	answer := Result{Session: o.Session}
	switch o.Kind {
	case OpOpenSession:
		answer.Session = b.open(index, opener{o.Member, o.Incarnation})
	case OpBeginLeaderEpoch:
		b.reign = LeaderEpoch(b.next(index))
		answer.LeaderEpoch = b.reign
	case OpExpireSession:
		if o.LeaderEpoch != b.reign {
			return nil, cluster.ErrStale
		}
		b.end(o.Session)
	case OpEndSession:
		b.end(o.Session)
	case OpAcquire:
		answer.Grants = b.grant(index, o.Session, o.Resources)
	case OpRelease:
		if b.tasks[o.Resources[0]] != (leaseState{o.Session, o.Epoch}) {
			return nil, cluster.ErrFenced
		}
		b.free(o.Resources[0])
		delete(b.sessions[o.Session].tasks, o.Resources[0])
	}
	return encode(answer), nil
}

// open leaves sessions of the member's earlier lives to end by their terms: the old process may be stopped,
// or another that runs from a copied folder, and still believe what it was told.
func (b *Table) open(index uint64, who opener) cluster.SessionID {
	if s := b.opened[who]; s != 0 {
		return s
	}
	s := cluster.SessionID(b.next(index))
	b.opened[who], b.sessions[s] = s, &session{who, map[cluster.Resource]struct{}{}}
	return s
}

func (b *Table) end(s cluster.SessionID) {
	for t := range b.sessions[s].tasks {
		b.free(t)
	}
	delete(b.opened, b.sessions[s].opener)
	delete(b.sessions, s)
}

func (b *Table) free(t cluster.Resource) { b.tasks[t] = leaseState{epoch: b.tasks[t].epoch} }

func (b *Table) grant(index uint64, s cluster.SessionID, tasks []cluster.Resource) (answers []Grant) {
	var epoch cluster.Epoch
	for _, t := range tasks {
		g := b.tasks[t]
		if g.session == 0 {
			if epoch == 0 {
				epoch = cluster.Epoch(b.next(index))
			}
			g = leaseState{s, epoch}
			b.tasks[t], b.sessions[s].tasks[t] = g, struct{}{}
		}
		if g.session != s {
			g.epoch = 0
		}
		answers = append(answers, Grant{t, g.epoch})
	}
	return answers
}

func (b *Table) next(index uint64) uint64 {
	b.last = max(index, b.last+1)
	return b.last
}

// Holder tells who holds a task and by which epoch; false while it is free.
func (b *Table) Holder(t cluster.Resource) (cluster.SessionID, cluster.MemberID, cluster.Epoch, bool) {
	g := b.tasks[t]
	if g.session == 0 {
		return 0, "", 0, false
	}
	return g.session, b.sessions[g.session].member, g.epoch, true
}

// IsCurrent is whether the task's last grant was this one and still stands.
func (b *Table) IsCurrent(t cluster.Resource, e cluster.Epoch) bool {
	g := b.tasks[t]
	return g.session != 0 && g.epoch == e
}

// LastEpoch is the task's last granted one, also while the task is free; 0: never granted.
func (b *Table) LastEpoch(t cluster.Resource) cluster.Epoch { return b.tasks[t].epoch }

// Sessions are those that have not ended, oldest first.
func (b *Table) Sessions() []cluster.SessionID { return slices.Sorted(maps.Keys(b.sessions)) }

// LeaderEpoch is the last that began.
func (b *Table) LeaderEpoch() LeaderEpoch { return b.reign }

// MemberOf is whose session it is; "": ended, or never was.
func (b *Table) MemberOf(s cluster.SessionID) cluster.MemberID {
	if s := b.sessions[s]; s != nil {
		return s.member
	}
	return ""
}

// ResourcesOf is what a session holds, sorted; nothing where it has ended.
func (b *Table) ResourcesOf(s cluster.SessionID) []cluster.Resource {
	if s := b.sessions[s]; s != nil {
		return slices.Sorted(maps.Keys(s.tasks))
	}
	return nil
}

// GrantsOf is what a session holds, sorted.
func (b *Table) GrantsOf(s cluster.SessionID) (all []Grant) {
	for _, t := range b.ResourcesOf(s) {
		all = append(all, Grant{t, b.tasks[t].epoch})
	}
	return all
}

// Digest is one number for all that a session holds, for comparison with Tenure.Digest.
func (b *Table) Digest(s cluster.SessionID) (sum Digest) {
	if s := b.sessions[s]; s != nil {
		for t := range s.tasks {
			sum += tallyOf(t, b.tasks[t].epoch)
		}
	}
	return sum
}
