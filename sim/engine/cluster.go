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
	sim       *Simulation
	behavior  clusterBehavior
	random    *rand.Rand // of ways and losses between dispatchers
	keyHashes []cluster.KeyHash

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
	mayReclaim        func(w *webhook, e *EventType, ended bool, now api.Micros) bool
	acknowledgesEarly bool // a webhook is said to be taken before it is in the journal
}

func newClusterState(m *Simulation) *clusterState {
	p := &m.scenario.Ownership
	c := &clusterState{sim: m, random: newRandom(m.scenario.Seed, clusterStream), leases: lease.NewTable(), expiry: lease.NewExpiryTracker(p.LeaseTTL.micros()),
		failover: shardmap.NewFailoverPlanner(p.LeaseTTL.micros()), dispatcherOf: map[cluster.MemberID]int32{}}
	c.behavior = clusterBehavior{
		rateShare:    shardmap.Decision.RateShare,
		mayCall:      func(decision shardmap.Decision) bool { return decision.AllowsCall(false) },
		messageDelay: func(w api.Micros) api.Micros { return api.Micros(float64(w) * p.HopFactor) },
		takeovers:    func(t []shardmap.Takeover) []shardmap.Takeover { return t },
		mayReclaim:   mayReclaim,
	}
	c.shardMap = shardmap.New(c.leases)
	for i := range m.scenario.Dispatchers.Count {
		name := cluster.MemberID(fmt.Sprintf("d%d", i))
		c.candidates = append(c.candidates, shardmap.Candidate{MemberWeight: shardmap.MemberWeight{Member: name, Weight: 1}})
		c.dispatcherOf[name] = int32(i)
	}
	for i := range m.destinations {
		c.keyHashes = append(c.keyHashes, cluster.DestinationKeyHash(api.DestinationID(i)))
	}
	return c
}

// propose has the log take a command; what comes of it is nil where it was refused.
func (c *clusterState) propose(command cluster.Command) []byte {
	part := cluster.Component(c.leases)
	if command.Component == cluster.ShardMapComponent {
		part = c.shardMap
	}
	c.logIndex++
	answer, err := part.Apply(c.logIndex, command.Body)
	if err != nil {
		return nil
	}
	return answer
}

// proposeLease proposes one of the book's commands; false: it was refused.
func (c *clusterState) proposeLease(command cluster.Command) (lease.Result, bool) {
	raw := c.propose(command)
	if raw == nil {
		return lease.Result{}, false
	}
	a, err := lease.DecodeResult(raw)
	return a, err == nil
}

// start begins the run with a fleet in which each range has its home.
func (c *clusterState) start() {
	result, _ := c.proposeLease(lease.BeginLeaderEpoch())
	c.expiry.StartLeading(c.sim.now, result.LeaderEpoch, nil)
	var weights []shardmap.MemberWeight
	for _, m := range c.candidates {
		weights = append(weights, m.MemberWeight)
	}
	c.propose(shardmap.Coordinator(1).Initialize(c.sim.scenario.Ownership.RangesPerMember*len(c.candidates), weights))
	c.publishMap()
	c.settingUp = true
	for i := range c.sim.dispatchers {
		d := &c.sim.dispatchers[i]
		c.resetMember(d)
		d.member.updateMap(c.publishedMaps[0])
		c.exchangeAtStart(d, c.newLeaseMessage(d))
	}
	c.settingUp = false
	c.publishMap()
	for i := range c.sim.dispatchers {
		c.sim.dispatchers[i].member.updateMap(c.publishedMaps[len(c.publishedMaps)-1])
		c.sim.startDispatcher(int32(i))
	}
	c.sim.schedule(c.sim.scenario.Ownership.LeaseTTL.micros()/reviewsPerTTL, scheduledEvent{kind: evExpiryScan})
}

// publishMap tells each dispatcher of the map as it is now.
func (c *clusterState) publishMap() {
	snapshot, err := c.shardMap.Snapshot()
	next := shardmap.New(nil)
	if err == nil {
		err = next.Restore(snapshot)
	}
	if err != nil {
		panic(err) // the map's own snapshot
	}
	c.publishedMaps = append(c.publishedMaps, next)
	for i := range c.sim.dispatchers {
		if d := &c.sim.dispatchers[i]; d.up {
			c.sim.schedule(c.messageDelay(c.leaderZone(), d.zone), scheduledEvent{kind: evMapUpdate, subject: d.number, detail: int32(len(c.publishedMaps) - 1)})
		}
	}
}

// leaderZone is the keeper's zone.
func (c *clusterState) leaderZone() api.ZoneID { return 0 }

func (c *clusterState) messageDelay(a, b api.ZoneID) api.Micros {
	return c.behavior.messageDelay(c.sim.randomDelay(a, b, c.random))
}

func (c *clusterState) isMessageLost() bool {
	return c.random.Float64() < c.sim.scenario.Ownership.LossRate
}

// expireSessions ends sessions whose term is over and gives what they had to others.
func (c *clusterState) expireSessions() {
	now := c.sim.now
	for _, o := range c.expiry.TakeExpired(now) {
		if _, ok := c.proposeLease(lease.ExpireSession(o)); ok {
			c.expiry.Remove(o.Session)
		}
	}
	alive := map[cluster.MemberID]bool{}
	for _, s := range c.leases.Sessions() {
		alive[c.leases.MemberOf(s)] = true
	}
	takeovers := c.behavior.takeovers(c.failover.PlanTakeovers(c.shardMap, c.leases, alive, c.candidates, now))
	if len(takeovers) > 0 && c.propose(shardmap.Coordinator(1).FailOver(takeovers)) != nil {
		c.publishMap()
	}
	c.sim.schedule(c.sim.scenario.Ownership.LeaseTTL.micros()/reviewsPerTTL, scheduledEvent{kind: evExpiryScan})
}

func (c *clusterState) process(e scheduledEvent) {
	switch e.kind {
	case evHandoffArrival:
		c.receiveHandoff(e.subject)
	case evHandoffReply:
		c.handleHandoffReply(e.subject)
	case evHandoffTimeout:
		c.handleHandoffTimeout(e.subject)
	case evCustodyQuery:
		c.handleCustodyQuery(e.subject, shardmap.CustodyReply(e.detail))
	case evLeaseMessage:
		c.handleLeaseMessage(e.subject, e.detail == leaseReply)
	case evExpiryScan:
		c.expireSessions()
	case evParkedReview, evParkedExpiry, evLeaseRenewal, evMapUpdate:
		d := &c.sim.dispatchers[e.subject]
		switch {
		case !d.up || e.kind != evMapUpdate && e.generation != d.incarnation:
		case d.pausedUntil > c.sim.now:
			c.sim.queue.Add(int64(d.pausedUntil), e)
		case e.kind == evParkedReview:
			c.reviewParked(d)
		case e.kind == evParkedExpiry:
			d.expireParked(api.WebhookID(uint32(e.detail)))
		case e.kind == evLeaseRenewal && c.sim.now < d.member.leases.NextRenewalAt():
			c.scheduleRenewal(d)
		case e.kind == evLeaseRenewal:
			c.renewSession(d)
		default:
			c.updateMap(d, c.publishedMaps[e.detail])
		}
	}
}
