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
	noHandoff             = int32(-1) // no offer
	reviewsPerTTL         = 12        // in a term: at vacant ranges, at what is parked
	handoffTimeoutDivisor = 3         // of a client's patience, which a webhook on its way to its home may take
)

// clusterState is what a run has where each destination is called by its home only: one keeper that is always there,
// with the real book of leases and map of ranges, and the messages between dispatchers.
type clusterState struct {
	simulation *Simulation
	behavior   clusterBehavior
	random     *rand.Rand // of ways and losses between dispatchers
	keyHashes  []cluster.KeyHash

	leases       *lease.Table
	expiry       *lease.ExpiryTracker
	shardMap     *shardmap.Map
	failover     *shardmap.FailoverPlanner
	logIndex     uint64
	candidates   []shardmap.Candidate
	dispatcherOf map[cluster.MemberID]int32

	publishedMaps []*shardmap.Map // as published; never changed
	leaseMessages []leaseMessage
	handoffs      []handoff
	handoffCount  uint32

	settingUp bool // the fleet is being set up: nobody is told yet
}

// clusterBehavior are what dispatchers make of leases and map. Tests spoil them one by one.
type clusterBehavior struct {
	rateShare         func(shardmap.Decision, int) float64
	mayCall           func(shardmap.Decision) bool
	messageDelay      func(api.Micros) api.Micros
	takeovers         func([]shardmap.Takeover) []shardmap.Takeover
	mayReclaim        func(h *webhook, e *EventType, ended bool, now api.Micros) bool
	acknowledgesEarly bool // a webhook is said to be taken before it is in the journal
}

func newClusterState(m *Simulation) *clusterState {
	p := &m.scenario.Ownership
	h := &clusterState{simulation: m, random: newRandom(m.scenario.Seed, 5), leases: lease.NewTable(), expiry: lease.NewExpiryTracker(p.LeaseTTL.micros()),
		failover: shardmap.NewFailoverPlanner(p.LeaseTTL.micros()), dispatcherOf: map[cluster.MemberID]int32{}}
	h.behavior = clusterBehavior{
		rateShare:    shardmap.Decision.RateShare,
		mayCall:      func(v shardmap.Decision) bool { return v.AllowsCall(false) },
		messageDelay: func(w api.Micros) api.Micros { return api.Micros(float64(w) * p.HopFactor) },
		takeovers:    func(t []shardmap.Takeover) []shardmap.Takeover { return t },
		mayReclaim:   mayReclaim,
	}
	h.shardMap = shardmap.New(h.leases)
	for i := range m.scenario.Dispatchers.Count {
		name := cluster.MemberID(fmt.Sprintf("d%d", i))
		h.candidates = append(h.candidates, shardmap.Candidate{MemberWeight: shardmap.MemberWeight{Member: name, Weight: 1}})
		h.dispatcherOf[name] = int32(i)
	}
	for i := range m.destinations {
		h.keyHashes = append(h.keyHashes, cluster.DestinationKeyHash(api.DestinationID(i)))
	}
	return h
}

// propose has the log take a command; what comes of it is nil where it was refused.
func (h *clusterState) propose(c cluster.Command) []byte {
	part := cluster.Component(h.leases)
	if c.Component == cluster.ShardMapComponent {
		part = h.shardMap
	}
	h.logIndex++
	answer, err := part.Apply(h.logIndex, c.Body)
	if err != nil {
		return nil
	}
	return answer
}

// proposeLease proposes one of the book's commands; false: it was refused.
func (h *clusterState) proposeLease(c cluster.Command) (lease.Result, bool) {
	raw := h.propose(c)
	if raw == nil {
		return lease.Result{}, false
	}
	a, err := lease.DecodeResult(raw)
	return a, err == nil
}

// start begins the run with a fleet in which each range has its home.
func (h *clusterState) start() {
	reign, _ := h.proposeLease(lease.BeginLeaderEpoch())
	h.expiry.StartLeading(h.simulation.now, reign.LeaderEpoch, nil)
	var weights []shardmap.MemberWeight
	for _, m := range h.candidates {
		weights = append(weights, m.MemberWeight)
	}
	h.propose(shardmap.Coordinator(1).Initialize(h.simulation.scenario.Ownership.RangesPerMember*len(h.candidates), weights))
	h.publishMap()
	h.settingUp = true
	for i := range h.simulation.dispatchers {
		d := &h.simulation.dispatchers[i]
		h.resetMember(d)
		d.member.updateMap(h.publishedMaps[0])
		h.exchangeAtStart(d, h.newLeaseMessage(d))
	}
	h.settingUp = false
	h.publishMap()
	for i := range h.simulation.dispatchers {
		h.simulation.dispatchers[i].member.updateMap(h.publishedMaps[len(h.publishedMaps)-1])
		h.simulation.startDispatcher(int32(i))
	}
	h.simulation.schedule(h.simulation.scenario.Ownership.LeaseTTL.micros()/reviewsPerTTL, scheduledEvent{kind: evExpiryScan})
}

// publishMap tells each dispatcher of the map as it is now.
func (h *clusterState) publishMap() {
	snapshot, err := h.shardMap.Snapshot()
	next := shardmap.New(nil)
	if err == nil {
		err = next.Restore(snapshot)
	}
	if err != nil {
		panic(err) // the map's own snapshot
	}
	h.publishedMaps = append(h.publishedMaps, next)
	for i := range h.simulation.dispatchers {
		if d := &h.simulation.dispatchers[i]; d.up {
			h.simulation.schedule(h.messageDelay(h.leaderZone(), d.zone), scheduledEvent{kind: evMapUpdate, subject: d.number, detail: int32(len(h.publishedMaps) - 1)})
		}
	}
}

// leaderZone is the keeper's zone.
func (h *clusterState) leaderZone() api.ZoneID { return 0 }

func (h *clusterState) messageDelay(a, b api.ZoneID) api.Micros {
	return h.behavior.messageDelay(h.simulation.randomDelay(a, b, h.random))
}

func (h *clusterState) isMessageLost() bool {
	return h.random.Float64() < h.simulation.scenario.Ownership.LossRate
}

// expireSessions ends sessions whose term is over and gives what they had to others.
func (h *clusterState) expireSessions() {
	now := h.simulation.now
	for _, o := range h.expiry.TakeExpired(now) {
		if _, ok := h.proposeLease(lease.ExpireSession(o)); ok {
			h.expiry.Remove(o.Session)
		}
	}
	alive := map[cluster.MemberID]bool{}
	for _, s := range h.leases.Sessions() {
		alive[h.leases.MemberOf(s)] = true
	}
	takes := h.behavior.takeovers(h.failover.PlanTakeovers(h.shardMap, h.leases, alive, h.candidates, now))
	if len(takes) > 0 && h.propose(shardmap.Coordinator(1).FailOver(takes)) != nil {
		h.publishMap()
	}
	h.simulation.schedule(h.simulation.scenario.Ownership.LeaseTTL.micros()/reviewsPerTTL, scheduledEvent{kind: evExpiryScan})
}

func (h *clusterState) handle(e scheduledEvent) {
	switch e.kind {
	case evHandoffArrival:
		h.receiveHandoff(e.subject)
	case evHandoffReply:
		h.handleHandoffReply(e.subject)
	case evHandoffTimeout:
		h.handleHandoffTimeout(e.subject)
	case evCustodyQuery:
		h.handleCustodyQuery(e.subject, shardmap.CustodyReply(e.detail))
	case evLeaseMessage:
		h.handleLeaseMessage(e.subject, e.detail == 1)
	case evExpiryScan:
		h.expireSessions()
	case evParkedReview, evParkedExpiry, evLeaseRenewal, evMapUpdate:
		d := &h.simulation.dispatchers[e.subject]
		switch {
		case !d.up || e.kind != evMapUpdate && e.generation != d.incarnation:
		case d.pausedUntil > h.simulation.now:
			h.simulation.queue.Add(int64(d.pausedUntil), e)
		case e.kind == evParkedReview:
			h.reviewParked(d)
		case e.kind == evParkedExpiry:
			d.expireParked(api.WebhookID(uint32(e.detail)))
		case e.kind == evLeaseRenewal && h.simulation.now < d.member.leases.NextRenewalAt():
			h.scheduleRenewal(d)
		case e.kind == evLeaseRenewal:
			h.renewSession(d)
		default:
			h.updateMap(d, h.publishedMaps[e.detail])
		}
	}
}
