package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// The world that the search explores: members with what they know of webhooks and what their journals have,
// one range with its map and lease in the log, messages between members. All that decides is the real code;
// around it stands what a member does, one durable write at a time, so that a crash can come between any two.
const (
	mostMembers, mostWebhooks, mostMessages, mostActs = 3, 2, 4, 5

	window, ttl api.Micros = 1, 2 // a token's, and the webhook's: time goes 0, 1, 2
)

var who = [mostMembers]cluster.MemberID{"a", "b", "c"}

func member(id cluster.MemberID) int8 { return int8(slices.Index(who[:], id)) }

func named(webhook int8) WebhookID {
	return WebhookID{Origin: who[0], Incarnation: 1, LocalID: uint64(webhook) + 1}
}

// entry is a Record, small and without pointers; to: 0 is nobody.
type entry struct {
	hand, not                  HandoffNumber
	known, here, comes, unsure bool
	to                         int8
	life, epoch, move, sent    uint8
}

func entryOf(r CustodyRecord, known bool) entry {
	if !known {
		return entry{}
	}
	return entry{r.Handoff, r.RejectedUpTo, true, r.Present, r.Arriving, r.Offer.Uncertain, member(r.Offer.To) + 1, uint8(r.Offer.Incarnation),
		uint8(r.Offer.Epoch), uint8(r.Offer.Move), uint8(r.Offer.SentAt)}
}

func (e entry) record(n WebhookID) CustodyRecord {
	r := CustodyRecord{ID: n, Handoff: e.hand, RejectedUpTo: e.not, Present: e.here, Arriving: e.comes, TTL: ttl}
	if e.to > 0 {
		r.Offer = Offer{who[e.to-1], uint64(e.life), MoveID(e.move), 1, cluster.Epoch(e.epoch),
			api.Micros(e.sent), e.unsure}
	}
	return r
}

// in lets the real object act on one record.
func (e *entry) in(webhook int8, do func(*CustodyTable, WebhookID)) {
	k, n := &CustodyTable{records: map[WebhookID]*CustodyRecord{}}, named(webhook)
	if e.known {
		r := e.record(n)
		k.records[n] = &r
	}
	do(k, n)
	*e = entryOf(k.Lookup(n))
}

// held is a copy in the journal of webhooks. ran: when it may have run first, -1: never.
type held struct {
	here    bool
	ran     int8
	calling bool  // only in memory, as what follows
	came    uint8 // by which move
}

type kind uint8

const (
	none kind = iota
	offer
	ask
	answer
)

// message is on its way. A try arrives once at the most, as it does by TCP where nobody repeats it
// (cluster/transport). Another try doubles it, and is lost, late or doubled as any other message.
type message struct {
	again                 bool // another try
	kind, of              kind // answer: of what
	from, to, w           int8
	hand                  HandoffNumber
	life, move, ver, sent uint8
	ran                   int8
	reply                 CustodyReply
	epoch                 uint8
}

func (m message) compare(o message) int {
	return cmp.Or(cmp.Compare(m.kind, o.kind), cmp.Compare(m.of, o.of), cmp.Compare(m.from, o.from),
		cmp.Compare(m.w, o.w), cmp.Compare(m.to, o.to), cmp.Compare(m.hand, o.hand), cmp.Compare(m.life, o.life),
		cmp.Compare(m.move, o.move), cmp.Compare(m.ver, o.ver), cmp.Compare(m.ran, o.ran),
		cmp.Compare(m.reply, o.reply), cmp.Compare(m.sent, o.sent), cmp.Compare(m.epoch, o.epoch))
}

type act uint8

const (
	rests       act = iota
	writes          // the record
	journals        // the webhook
	notes           // when it may have run first
	drops           // the webhook is another's
	ends            // the webhook's end, which is told
	goes            // from here on nothing is written: a message goes out
	promises        // the client is told that it was taken
	calls           // the call lands
	cameAndGoes     // Came, then goes
	undoes          // it can't be taken on
)

type process struct {
	life, epoch uint8  // epoch: by which it holds the home, 0: not
	chart       uint16 // of its copy of the map
	alone, let  bool   // let: it gave the home up of its own will
	mem, disk   [mostWebhooks]entry
	copies      [mostWebhooks]held
	entered     [mostWebhooks]bool    // a client waits for the answer
	waits       [mostWebhooks]message // for the answer to this
	todo        [mostActs]act
	of          int8 // the webhook that todo is about
	out         message
	before      entry // to undo
}

func (p *process) busy() bool { return p.todo[0] != rests }

func (p *process) doubts(w int8) bool { return p.copies[w].here && p.mem[w].to > 0 }

// owns: nothing but the map keeps it from calling.
func (p *process) owns(w int8) bool {
	return p.copies[w].here && p.mem[w].to == 0 && !(p.busy() && p.of == w && p.todo[0] != calls)
}

type may struct {
	crashes, folders, doubles, fulls, moves, backs, losts, ends, grants, alone, unknowns, times, clients int8
}

// wrong is how a world is spoilt, to see that the search notices.
type wrong struct {
	hasFirst, hasComing, neverLost, refusesFinal, handStays, doubtLost, otherLife, callsInDoubt, early, ranLost,
	forkLow, cameLate bool
}

type world struct {
	maps              *charts
	members, webhooks int8
	repeat            api.Semantics
	wrong             wrong
	left              may
	now               uint8
	chart             uint16 // the log's
	holder            int8
	epoch             uint8
	held              bool
	at                [mostMembers]process
	net               [mostMessages]message
	promised, told    [mostWebhooks]bool // told: its end
	excused, forked   [mostWebhooks]bool
	effects, first    [mostWebhooks]int8
	broken            string
}

func (w *world) event() api.EventType {
	return api.EventType{Semantics: w.repeat, TTL: ttl, DedupWindow: window}
}

// Holder is the lease as the log has it, for the one task.
func (w *world) Holder(cluster.Resource) (cluster.SessionID, cluster.MemberID, cluster.Epoch, bool) {
	if !w.held {
		return 0, "", 0, false
	}
	return 1, who[w.holder], cluster.Epoch(w.epoch), true
}

// charts are all maps that the worlds of one search have had, by their bytes.
type charts struct {
	all []*Map
	ids map[string]uint16
}

func (c *charts) id(m *Map) uint16 {
	b, err := m.Snapshot()
	if err != nil {
		panic(err)
	}
	id, known := c.ids[string(b)]
	if !known {
		if id = uint16(len(c.all)); int(id) != len(c.all) {
			panic("more maps than a world counts")
		}
		own := New(nil)
		if err := own.Restore(b); err != nil {
			panic(err)
		}
		c.ids[string(b)], c.all = id, append(c.all, own)
	}
	return id
}

func (w *world) home() Range      { return w.maps.all[w.chart].Ranges[0] }
func (w *world) seen(i int8) *Map { return w.maps.all[w.at[i].chart] }

// newWorld has a seated home at a; a webhook is its own, or is yet to come in anywhere.
func newWorld(members, webhooks int8, r api.Semantics, left may, spoilt wrong) *world {
	w := &world{maps: &charts{ids: map[string]uint16{}}, members: members, webhooks: webhooks, repeat: r,
		left:  left,
		wrong: spoilt, held: true, epoch: 1}
	m := New(w)
	for i, c := range []cluster.Command{Coordinator(1).Initialize(1, []MemberWeight{{who[0], 1}}), ConfirmOwner(1, who[0], 1, 1)} {
		if _, err := m.Apply(uint64(i+1), c.Body); err != nil {
			panic(err)
		}
	}
	w.chart = w.maps.id(m)
	for i := range w.at {
		w.at[i].life, w.at[i].chart = 1, w.chart
	}
	w.at[0].epoch = 1
	for i := range webhooks {
		if left.clients == 0 {
			w.at[0].copies[i], w.promised[i] = held{here: true, ran: -1}, true
		}
	}
	return w
}

// propose gives the log a command.
func (w *world) propose(c cluster.Command) bool {
	if c.FencedBy == cluster.RangeOwnerResource(1) && (!w.held || c.Epoch != cluster.Epoch(w.epoch)) {
		return false // cluster.ErrFenced
	}
	m := *w.maps.all[w.chart]
	m.Ranges, m.DetachedMoves, m.holders = slices.Clone(m.Ranges), slices.Clone(m.DetachedMoves), w
	if _, err := m.Apply(uint64(m.Version)+1, c.Body); err != nil {
		return false
	}
	w.chart = w.maps.id(&m)
	return true
}
