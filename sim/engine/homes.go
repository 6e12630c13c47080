package engine

import (
	"fmt"
	"math/rand/v2"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

const (
	none     = int32(-1) // no offer
	looks    = 12        // in a term: at vacant ranges, at what is parked
	hopShare = 3         // of a client's patience, which a webhook on its way to its home may take
)

// homes is what a run has where each destination is called by its home only: one keeper that is always there,
// with the real book of leases and map of ranges, and the messages between dispatchers.
type homes struct {
	m      *Model
	deeds  deeds
	chance *rand.Rand // of ways and losses between dispatchers
	keys   []cluster.KeyHash

	book      *lease.Table
	terms     *lease.ExpiryTracker
	chart     *shardmap.Map
	vacancies *shardmap.FailoverPlanner
	index     uint64
	members   []shardmap.Candidate
	numbers   map[cluster.MemberID]int32

	charts []*shardmap.Map // as published; never changed
	asks   []ask
	offers []offer
	hands  uint32

	setup bool // the fleet is being set up: nobody is told yet
}

// deeds are what dispatchers make of leases and map. Tests spoil them one by one.
type deeds struct {
	part    func(shardmap.Decision, int) float64
	calls   func(shardmap.Decision) bool
	way     func(api.Micros) api.Micros
	takes   func([]shardmap.Takeover) []shardmap.Takeover
	settles func(h *held, e *EventType, ended bool, now api.Micros) bool
	early   bool // a webhook is said to be taken before it is in the journal
}

func newHomes(m *Model) *homes {
	p := &m.plan.Homes
	h := &homes{m: m, chance: stream(m.plan.Seed, 5), book: lease.NewTable(), terms: lease.NewExpiryTracker(p.Term.us()),
		vacancies: shardmap.NewFailoverPlanner(p.Term.us()), numbers: map[cluster.MemberID]int32{}}
	h.deeds = deeds{
		part:    shardmap.Decision.RateShare,
		calls:   func(v shardmap.Decision) bool { return v.AllowsCall(false) },
		way:     func(w api.Micros) api.Micros { return api.Micros(float64(w) * p.Hop) },
		takes:   func(t []shardmap.Takeover) []shardmap.Takeover { return t },
		settles: mayGoOn,
	}
	h.chart = shardmap.New(h.book)
	for i := range m.plan.Dispatchers.Count {
		name := cluster.MemberID(fmt.Sprintf("d%d", i))
		h.members = append(h.members, shardmap.Candidate{MemberWeight: shardmap.MemberWeight{Member: name, Weight: 1}})
		h.numbers[name] = int32(i)
	}
	for i := range m.dests {
		h.keys = append(h.keys, cluster.DestinationKeyHash(api.DestinationID(i)))
	}
	return h
}

// propose has the log take a command; what comes of it is nil where it was refused.
func (h *homes) propose(c cluster.Command) []byte {
	part := cluster.Component(h.book)
	if c.Component == cluster.ShardMapComponent {
		part = h.chart
	}
	h.index++
	answer, err := part.Apply(h.index, c.Body)
	if err != nil {
		return nil
	}
	return answer
}

// lease proposes one of the book's commands; false: it was refused.
func (h *homes) lease(c cluster.Command) (lease.Result, bool) {
	raw := h.propose(c)
	if raw == nil {
		return lease.Result{}, false
	}
	a, err := lease.DecodeResult(raw)
	return a, err == nil
}

// settled begins the run with a fleet in which each range has its home.
func (h *homes) settled() {
	reign, _ := h.lease(lease.BeginLeaderEpoch())
	h.terms.StartLeading(h.m.now, reign.LeaderEpoch, nil)
	var weights []shardmap.MemberWeight
	for _, m := range h.members {
		weights = append(weights, m.MemberWeight)
	}
	h.propose(shardmap.Coordinator(1).Initialize(h.m.plan.Homes.Ranges*len(h.members), weights))
	h.publish()
	h.setup = true
	for i := range h.m.dispatchers {
		d := &h.m.dispatchers[i]
		h.starts(d)
		d.member.chartIs(h.charts[0])
		h.answer(d, h.ask(d))
	}
	h.setup = false
	h.publish()
	for i := range h.m.dispatchers {
		h.m.dispatchers[i].member.chartIs(h.charts[len(h.charts)-1])
		h.m.begin(int32(i))
	}
	h.m.after(h.m.plan.Homes.Term.us()/looks, event{kind: evKeep})
}

// publish tells each dispatcher of the map as it is now.
func (h *homes) publish() {
	snapshot, err := h.chart.Snapshot()
	next := shardmap.New(nil)
	if err == nil {
		err = next.Restore(snapshot)
	}
	if err != nil {
		panic(err) // the map's own snapshot
	}
	h.charts = append(h.charts, next)
	for i := range h.m.dispatchers {
		if d := &h.m.dispatchers[i]; d.up {
			h.m.after(h.way(h.at(), d.zone), event{kind: evChart, a: d.number, b: int32(len(h.charts) - 1)})
		}
	}
}

// at is the keeper's zone.
func (h *homes) at() api.ZoneID { return 0 }

func (h *homes) way(a, b api.ZoneID) api.Micros {
	return h.deeds.way(h.m.span(a, b, h.chance))
}

func (h *homes) lost() bool { return h.chance.Float64() < h.m.plan.Homes.Lost }

// keep ends sessions whose term is over and gives what they had to others.
func (h *homes) keep() {
	now := h.m.now
	for _, o := range h.terms.TakeExpired(now) {
		if _, ok := h.lease(lease.ExpireSession(o)); ok {
			h.terms.Remove(o.Session)
		}
	}
	alive := map[cluster.MemberID]bool{}
	for _, s := range h.book.Sessions() {
		alive[h.book.MemberOf(s)] = true
	}
	takes := h.deeds.takes(h.vacancies.PlanTakeovers(h.chart, h.book, alive, h.members, now))
	if len(takes) > 0 && h.propose(shardmap.Coordinator(1).FailOver(takes)) != nil {
		h.publish()
	}
	h.m.after(h.m.plan.Homes.Term.us()/looks, event{kind: evKeep})
}

func (h *homes) handle(e event) {
	switch e.kind {
	case evOffer:
		h.offered(e.a)
	case evTold:
		h.told(e.a)
	case evOfferOver:
		h.over(e.a)
	case evQuestion:
		h.question(e.a, shardmap.CustodyReply(e.b))
	case evAsk:
		h.asked(e.a, e.b == 1)
	case evKeep:
		h.keep()
	case evLook, evExpire, evRenew, evChart:
		d := &h.m.dispatchers[e.a]
		switch {
		case !d.up || e.kind != evChart && e.gen != d.life:
		case d.frozenUntil > h.m.now:
			h.m.queue.Add(int64(d.frozenUntil), e)
		case e.kind == evLook:
			h.look(d)
		case e.kind == evExpire:
			d.expire(api.WebhookID(uint32(e.b)))
		case e.kind == evRenew && h.m.now < d.member.tenure.NextRenewalAt():
			h.renewAgain(d)
		case e.kind == evRenew:
			h.renew(d)
		default:
			h.hears(d, h.charts[e.b])
		}
	}
}
