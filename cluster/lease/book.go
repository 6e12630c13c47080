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

// Book is the replicated part: sessions, what hangs on them, and the last epoch of each task. It knows no
// time. Its index rises with the log's; were that to begin anew, session ids and epochs go on rising all the
// same.
type Book struct {
	last     uint64 // the highest id or epoch given out: the next is above it
	reign    Reign
	sessions map[cluster.SessionID]*session
	opened   map[opener]cluster.SessionID // sessions that have not ended
	tasks    map[cluster.Task]grant
}

type opener struct {
	member      cluster.MemberID
	incarnation Incarnation
}

type session struct {
	opener
	tasks map[cluster.Task]struct{}
}

type grant struct {
	session cluster.SessionID // 0: free
	epoch   cluster.Epoch     // the last, also while it is free
}

// NewBook has no sessions.
func NewBook() *Book {
	return &Book{sessions: map[cluster.SessionID]*session{}, opened: map[opener]cluster.SessionID{},
		tasks: map[cluster.Task]grant{}}
}

// Apply does one order. Refusals: ErrUnreadable; fleet.ErrUnknown where the session has ended or never was;
// fleet.ErrFenced for a release of what this session no longer holds with that epoch; fleet.ErrStale for the
// end that a keeper found in an earlier reign. Each changes nothing.
func (b *Book) Apply(index uint64, body []byte) ([]byte, error) {
	o, err := readOrder(body)
	if err != nil {
		return nil, err
	}
	if o.Session != 0 && b.sessions[o.Session] == nil {
		return nil, cluster.ErrUnknown
	}
	answer := Answer{Session: o.Session}
	switch o.Kind {
	case OpenKind:
		answer.Session = b.open(index, opener{o.Member, o.Incarnation})
	case ReignKind:
		b.reign = Reign(b.next(index))
		answer.Reign = b.reign
	case ExpireKind:
		if o.Reign != b.reign {
			return nil, cluster.ErrStale
		}
		b.end(o.Session)
	case EndKind:
		b.end(o.Session)
	case GrantKind:
		answer.Granted = b.grant(index, o.Session, o.Tasks)
	case ReleaseKind:
		if b.tasks[o.Tasks[0]] != (grant{o.Session, o.Epoch}) {
			return nil, cluster.ErrFenced
		}
		b.free(o.Tasks[0])
		delete(b.sessions[o.Session].tasks, o.Tasks[0])
	}
	return encode(answer), nil
}

// open leaves sessions of the member's earlier lives to end by their terms: the old process may be stopped,
// or another that runs from a copied folder, and still believe what it was told.
func (b *Book) open(index uint64, who opener) cluster.SessionID {
	if s := b.opened[who]; s != 0 {
		return s
	}
	s := cluster.SessionID(b.next(index))
	b.opened[who], b.sessions[s] = s, &session{who, map[cluster.Task]struct{}{}}
	return s
}

func (b *Book) end(s cluster.SessionID) {
	for t := range b.sessions[s].tasks {
		b.free(t)
	}
	delete(b.opened, b.sessions[s].opener)
	delete(b.sessions, s)
}

func (b *Book) free(t cluster.Task) { b.tasks[t] = grant{epoch: b.tasks[t].epoch} }

func (b *Book) grant(index uint64, s cluster.SessionID, tasks []cluster.Task) (answers []Granted) {
	var epoch cluster.Epoch
	for _, t := range tasks {
		g := b.tasks[t]
		if g.session == 0 {
			if epoch == 0 {
				epoch = cluster.Epoch(b.next(index))
			}
			g = grant{s, epoch}
			b.tasks[t], b.sessions[s].tasks[t] = g, struct{}{}
		}
		if g.session != s {
			g.epoch = 0
		}
		answers = append(answers, Granted{t, g.epoch})
	}
	return answers
}

func (b *Book) next(index uint64) uint64 {
	b.last = max(index, b.last+1)
	return b.last
}

// Holder tells who holds a task and by which epoch; false while it is free.
func (b *Book) Holder(t cluster.Task) (cluster.SessionID, cluster.MemberID, cluster.Epoch, bool) {
	g := b.tasks[t]
	if g.session == 0 {
		return 0, "", 0, false
	}
	return g.session, b.sessions[g.session].member, g.epoch, true
}

// Holds is whether the task's last grant was this one and still stands.
func (b *Book) Holds(t cluster.Task, e cluster.Epoch) bool {
	g := b.tasks[t]
	return g.session != 0 && g.epoch == e
}

// Epoch is the task's last granted one, also while the task is free; 0: never granted.
func (b *Book) Epoch(t cluster.Task) cluster.Epoch { return b.tasks[t].epoch }

// Sessions are those that have not ended, oldest first.
func (b *Book) Sessions() []cluster.SessionID { return slices.Sorted(maps.Keys(b.sessions)) }

// Reign is the last that began.
func (b *Book) Reign() Reign { return b.reign }

// MemberOf is whose session it is; "": ended, or never was.
func (b *Book) MemberOf(s cluster.SessionID) cluster.MemberID {
	if s := b.sessions[s]; s != nil {
		return s.member
	}
	return ""
}

// TasksOf is what a session holds, sorted; nothing where it has ended.
func (b *Book) TasksOf(s cluster.SessionID) []cluster.Task {
	if s := b.sessions[s]; s != nil {
		return slices.Sorted(maps.Keys(s.tasks))
	}
	return nil
}

// HeldBy is what a session holds, sorted.
func (b *Book) HeldBy(s cluster.SessionID) (all []Granted) {
	for _, t := range b.TasksOf(s) {
		all = append(all, Granted{t, b.tasks[t].epoch})
	}
	return all
}

// Tally is one number for all that a session holds, for comparison with Tenure.Tally.
func (b *Book) Tally(s cluster.SessionID) (sum Tally) {
	if s := b.sessions[s]; s != nil {
		for t := range s.tasks {
			sum += tallyOf(t, b.tasks[t].epoch)
		}
	}
	return sum
}
