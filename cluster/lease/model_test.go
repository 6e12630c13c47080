package lease

import (
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// The world that the search explores: two members, each with further lives; two keepers of three that lead in
// turn, of which one may be deposed and not know it; what is in flight between them; and one who is acted on.
// Everything that decides is the real object. True time goes in steps; clocks are fast or slow. Whoever does
// nothing for a while was stopped, and goes on as if nothing had been: only time has to happen in this world.
const (
	stepSlow, stepFast api.Micros       = 3000, 5000 // what a clock shows for one step of true time: 4000 +- 25%
	worldApart                          = 0.25
	worldTerm          api.Micros       = 15000 // 3 steps of a fast clock, 5 of a slow one; used: 3 of a slow one
	worldTask          cluster.Resource = "task"
	third              cluster.MemberID = "the third keeper"
)

// wrong is how a world is spoilt, to see that the search notices.
type wrong struct {
	answerTime   bool // a term is counted from its answer
	noWholeTerm  bool // a new leader goes on with what it saw opened
	fenceLost    bool // a restart begins with an empty fence
	renewsEnding bool // a renewal is accepted after Due
	unverified   bool // a leader answers without knowing that it leads
	verifiedLate bool // an answer of another keeper counts from when it is read, as in raft's VerifyLeader
	noDrift      bool // clocks are taken to be alike
	anyReign     bool // an end is done in whatever reign it comes
	patient      bool // not a fault: look on until two members hold the task
}

// may is what can happen besides time, asks, renewals and ends by term; numbers say how often.
type may struct {
	late bool // opens and grants take time; else they are done at once

	elections, doubles, assents, lets, ends, deaths, deeds, restarts int8
}

type kind uint8

const (
	openAsk   kind = iota
	renewHeld      // at the keeper, which does not know yet whether it leads
	yes
	no
	grantAsk
	granted
	releaseAsk
	endAsk
	expireAsk
	assentSaid
	deed
)

// message is anything in flight; what a kind has no use for is zero.
type message struct {
	kind         kind
	proc, keeper int
	ask          Renewal
	life         Incarnation
	session      cluster.SessionID
	epoch        cluster.Epoch
	reign        LeaderEpoch
	term         uint64
	at           api.Micros // of the keeper's clock
}

type keeper struct {
	step     api.Micros
	believes bool // that it leads
	terms    *ExpiryTracker
	assent   *QuorumContact
	owned    bool // by this world alone; else shared with the one it was cloned from
}

type process struct {
	step   api.Micros
	life   Incarnation
	tenure *Holder
	owned  bool
}

type world struct {
	wrong  wrong
	left   may
	now    api.Micros // true steps
	index  uint64
	term   uint64 // raft's
	leader int
	book   *Table
	owned  bool // the book
	keeper [2]keeper
	proc   [2]process
	net    []message
	fence  *Fence
	kept   []byte        // of the fence, on disk
	done   cluster.Epoch // the highest epoch ever admitted
	broken string
}

func newWorld(w wrong, left may, keepers, members [2]api.Micros) *world {
	n := &world{wrong: w, left: left, book: NewTable(), owned: true, fence: NewFence()}
	n.kept = n.fence.Encode()
	for i := range n.keeper {
		n.keeper[i] = keeper{keepers[i], false, NewExpiryTracker(worldTerm), NewQuorumContact(3), true}
		if w.noWholeTerm {
			n.keeper[i].terms.StartLeading(0, 0, nil)
		}
		n.proc[i] = process{members[i], Incarnation(i), n.newTenure(), true}
	}
	n.elect(0)
	return n
}

func (w *world) newTenure() *Holder {
	if w.wrong.noDrift {
		return NewHolder(worldTerm, 0)
	}
	return NewHolder(worldTerm, worldApart)
}

func (w *world) keeperClock(k int) api.Micros { return w.now * w.keeper[k].step }
func (w *world) clock(p int) api.Micros       { return w.now * w.proc[p].step }

// clone shares what was not changed; whoever changes something takes it by ownBook, own or ownKeeper.
func (w *world) clone() *world {
	n := *w
	n.net = slices.Clone(w.net)
	n.owned = false
	for i := range n.keeper {
		n.keeper[i].owned, n.proc[i].owned = false, false
	}
	return &n
}

func (w *world) ownBook() *Table {
	if b := w.book; !w.owned {
		n := *b
		n.openSessions, n.leases, n.sessions = maps.Clone(b.openSessions), maps.Clone(b.leases), map[cluster.SessionID]*session{}
		for id, s := range b.sessions {
			n.sessions[id] = &session{s.sessionOwner, maps.Clone(s.resources)}
		}
		w.book, w.owned = &n, true
	}
	return w.book
}

// ownKeeper has the order of the terms anew: what Due names depends on the runs alone.
func (w *world) ownKeeper(i int) *keeper {
	k := &w.keeper[i]
	if t := k.terms; !k.owned {
		k.terms = &ExpiryTracker{t.ttl, t.leaderEpoch, maps.Clone(t.sessions), timerqueue.Queue[cluster.SessionID]{}}
		for _, s := range sorted(t.sessions) {
			k.terms.timers.Add(int64(t.sessions[s].expiresAt), s)
		}
		k.assent = &QuorumContact{k.assent.quorumPeers, k.assent.raftTerm, maps.Clone(k.assent.lastContact)}
		k.owned = true
	}
	return k
}

func (w *world) own(i int) *Holder {
	p := &w.proc[i]
	if !p.owned {
		n := *p.tenure
		n.epochs, n.relinquished = maps.Clone(n.epochs), maps.Clone(n.relinquished)
		p.tenure, p.owned = &n, true
	}
	return p.tenure
}

func sorted(runs map[cluster.SessionID]sessionExpiry) (all []cluster.SessionID) {
	for s := range runs {
		all = append(all, s)
	}
	slices.Sort(all)
	return all
}
