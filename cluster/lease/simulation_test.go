package lease

import (
	"fmt"
	"math/rand/v2"

	"rowanlink/cluster"
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// hall is members and keepers that talk by messages: while it is faulty they are lost, doubled and late,
// members stop, start anew and wish for something else, and the lead changes. It is played by a seed.
type hall struct {
	rng     *rand.Rand
	now     api.Micros
	queue   timerqueue.Queue[func()]
	faulty  bool
	spoilt  spoilt
	entries [][]byte
	desks   [3]*desk
	lead    int
	idle    api.Micros // until then nobody leads
	terms   *ExpiryTracker
	members []*guest
	broken  string
}

// spoilt is what a hall leaves out.
type spoilt struct{ holdsUntold, neverAgain bool }

// desk is one keeper: a copy of the log's book, as far as it has come.
type desk struct {
	book *Table
	at   int
	lags api.Micros // until then it takes no entries
}

// guest is one member, as cluster/member goes about it.
type guest struct {
	*hall
	id       cluster.MemberID
	life     Incarnation
	tenure   *Holder
	wishes   *Reconciler
	stopped  api.Micros
	deaf     bool // no keeper's word of free tasks reaches it
	proposes api.Micros
	polls    api.Micros
	asks     int // keeper
}

const (
	hallTerm = 3 * api.Second
	beat     = hallTerm / 40
)

var hallTasks = []cluster.Resource{"conduct", "home/1", "home/2"}

func newHall(seed uint64, s spoilt) *hall {
	h := &hall{rng: rand.New(rand.NewPCG(seed, 35)), faulty: true, spoilt: s, terms: NewExpiryTracker(hallTerm)}
	for i := range h.desks {
		h.desks[i] = &desk{book: NewTable()}
	}
	h.elect()
	for i := range 3 {
		g := &guest{hall: h, id: cluster.MemberID(fmt.Sprint("m", i)), deaf: s.neverAgain && i == 0}
		g.begin(nil)
		h.members = append(h.members, g)
		h.at(0, g.beat)
	}
	h.at(0, h.beat)
	return h
}

func (h *hall) at(wait api.Micros, f func()) { h.queue.Add(int64(h.now+wait), f) }

func (h *hall) upTo(most api.Micros) api.Micros {
	return 1 + api.Micros(h.rng.Int64N(int64(most)))
}

// send has a message arrive, or not, or late, or twice.
func (h *hall) send(f func()) {
	wait := h.upTo(hallTerm / 60)
	if h.faulty {
		switch h.rng.IntN(10) {
		case 0, 1:
			return
		case 2:
			wait = h.upTo(hallTerm)
		case 3:
			h.at(h.upTo(hallTerm), f)
		}
	}
	h.at(wait, f)
}

// run plays until a moment, and looks at each step that no two hold one task.
func (h *hall) run(until api.Micros) {
	for h.broken == "" {
		at, _ := h.queue.Next()
		if api.Micros(at) >= until {
			return
		}
		f, _ := h.queue.PopDue(at)
		h.now = api.Micros(at)
		f()
		for _, t := range hallTasks {
			if all := h.holders(t); len(all) > 1 {
				h.broken = fmt.Sprintf("%d us: %s held by %s and %s", h.now, t, all[0].id, all[1].id)
			}
		}
	}
}

func (h *hall) holders(t cluster.Resource) (all []*guest) {
	for _, g := range h.members {
		if _, held := g.tenure.Epoch(t, h.now); held {
			all = append(all, g)
		}
	}
	return all
}

// apply commits an order, by the keeper that leads.
func (h *hall) apply(c cluster.Command) (a Result, err error) {
	h.entries = append(h.entries, c.Body)
	raw, err := h.caught(h.lead).Apply(uint64(len(h.entries)), c.Body)
	if h.desks[h.lead].at++; err == nil {
		a, err = DecodeResult(raw)
	}
	return a, err
}

// caught is a keeper's book, as far as it can have it.
func (h *hall) caught(k int) *Table {
	d := h.desks[k]
	most := len(h.entries)
	if k == h.lead {
		most, d.lags = most-1, 0 // the last is being applied
	}
	for ; d.at < most && d.lags <= h.now; d.at++ {
		d.book.Apply(uint64(d.at+1), h.entries[d.at])
	}
	return d.book
}

// elect has another keeper lead; the former does not know it for a while.
func (h *hall) elect() {
	h.desks[h.lead].lags = h.now + h.upTo(hallTerm)
	if h.lead = h.rng.IntN(len(h.desks)); h.faulty {
		h.idle = h.now + h.upTo(hallTerm/2)
	}
	a, _ := h.apply(BeginLeaderEpoch())
	h.terms.StartLeading(h.now, a.LeaderEpoch, h.desks[h.lead].book.Sessions())
}

// beat ends what is due and has faults befall the hall.
func (h *hall) beat() {
	h.at(beat, h.beat)
	for _, o := range h.terms.TakeExpired(h.now) {
		if _, err := h.apply(ExpireSession(o)); err == nil {
			h.terms.Remove(o.Session)
		}
	}
	if !h.faulty {
		return
	}
	if h.rng.IntN(200) == 0 {
		h.elect()
	}
	for i := range h.desks {
		if i != h.lead && h.rng.IntN(80) == 0 {
			h.desks[i].lags = h.now + h.upTo(2*hallTerm)
		}
	}
	for _, g := range h.members {
		switch task := hallTasks[h.rng.IntN(len(hallTasks))]; h.rng.IntN(150) {
		case 0:
			g.stopped = h.now + hallTerm/2 + h.upTo(5*hallTerm/2)
		case 1:
			g.begin(g.wishes.Requested())
		case 2, 3, 4, 5, 6:
			g.wishes.Request(task)
		case 7, 8, 9, 10, 11:
			g.wishes.Release(task)
		}
	}
}

// leads is whether a keeper can have something put in the log.
func (h *hall) leads(k int) bool { return k == h.lead && h.idle <= h.now }

// asked is whom a member takes for the leader: mostly the one that is.
func (h *hall) asked() int {
	if h.faulty && h.rng.IntN(3) == 0 {
		return h.rng.IntN(len(h.desks))
	}
	return h.lead
}
