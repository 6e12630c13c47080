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
	reviewsPerTTL         = 12 // of vacant ranges and of parked webhooks, in a lease TTL
	handoffTimeoutDivisor = 3  // of a client's time-out, for the handoff of its webhook
)

// clusterState simulates dispatchers that are a cluster in which only the owner of a range calls its destinations. It has
// the real lease table and shard map, applied by one raft leader that never fails, and the messages between dispatchers.
type clusterState struct {
	sim       *Simulation
	behavior  clusterBehavior
	random    *rand.Rand        // of message delays and losses
	keyHashes []cluster.KeyHash // by destination

	leases       *lease.Table
	expiry       *lease.ExpiryTracker
	shardMap     *shardmap.Map
	failover     *shardmap.FailoverPlanner
	logIndex     uint64
	candidates   []shardmap.Candidate // by dispatcher
	dispatcherOf map[cluster.MemberID]int32

	publishedMaps []*shardmap.Map // never changed
	leaseMessages []leaseMessage
	handoffs      []handoff
	handoffCount  uint32

	settingUp bool // dispatchers aren't notified of maps yet
}

// clusterBehavior is what dispatchers do with leases and the shard map. Tests replace its parts by faulty ones.
type clusterBehavior struct {
	rateShare         func(shardmap.Decision, int) float64
	mayCall           func(shardmap.Decision) bool
	messageDelay      func(api.Micros) api.Micros
	takeovers         func([]shardmap.Takeover) []shardmap.Takeover
	mayReclaim        func(w *webhook, e *EventType, ownershipEnded bool, now api.Micros) bool
	acknowledgesEarly bool // before the webhook is persisted
}

func newClusterState(m *Simulation) *clusterState {
	ttl := m.scenario.Ownership.LeaseTTL.micros()
	hopFactor := m.scenario.Ownership.HopFactor
	c := &clusterState{
		sim:          m,
		random:       newRandom(m.scenario.Seed, clusterStream),
		leases:       lease.NewTable(),
		expiry:       lease.NewExpiryTracker(ttl),
		failover:     shardmap.NewFailoverPlanner(ttl),
		dispatcherOf: map[cluster.MemberID]int32{},
	}
	c.shardMap = shardmap.New(c.leases)
	c.behavior = clusterBehavior{
		rateShare:    shardmap.Decision.RateShare,
		mayCall:      func(decision shardmap.Decision) bool { return decision.AllowsCall(false) },
		messageDelay: func(delay api.Micros) api.Micros { return api.Micros(float64(delay) * hopFactor) },
		takeovers:    func(t []shardmap.Takeover) []shardmap.Takeover { return t },
		mayReclaim:   mayReclaim,
	}
	for i := range m.scenario.Dispatchers.Count {
		name := cluster.MemberID(fmt.Sprintf("d%d", i))
		weight := shardmap.MemberWeight{Member: name, Weight: 1}
		c.candidates = append(c.candidates, shardmap.Candidate{MemberWeight: weight})
		c.dispatcherOf[name] = int32(i)
	}
	for i := range m.destinations {
		c.keyHashes = append(c.keyHashes, cluster.DestinationKeyHash(api.DestinationID(i)))
	}
	return c
}

// propose applies a command, as the raft log would, and returns its result, or nil if the command is rejected.
func (c *clusterState) propose(command cluster.Command) []byte {
	component := cluster.Component(c.leases)
	if command.Component == cluster.ShardMapComponent {
		component = c.shardMap
	}
	c.logIndex++
	result, err := component.Apply(c.logIndex, command.Body)
	if err != nil {
		return nil
	}
	return result
}

// proposeLease proposes a command of the lease table. It returns false if the command is rejected.
func (c *clusterState) proposeLease(command cluster.Command) (lease.Result, bool) {
	encoded := c.propose(command)
	if encoded == nil {
		return lease.Result{}, false
	}
	result, err := lease.DecodeResult(encoded)
	return result, err == nil
}

// start starts the dispatchers in a cluster in which each range has its owner.
func (c *clusterState) start() {
	result, _ := c.proposeLease(lease.BeginLeaderEpoch())
	c.expiry.StartLeading(c.sim.now, result.LeaderEpoch, nil)
	var weights []shardmap.MemberWeight
	for _, candidate := range c.candidates {
		weights = append(weights, candidate.MemberWeight)
	}
	ranges := c.sim.scenario.Ownership.RangesPerMember * len(c.candidates)
	c.propose(shardmap.Coordinator(1).Initialize(ranges, weights))
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
		c.sim.dispatchers[i].member.updateMap(c.latestMap())
		c.sim.startDispatcher(int32(i))
	}
	c.sim.schedule(c.reviewInterval(), scheduledEvent{kind: evExpiryScan})
}

func (c *clusterState) latestMap() *shardmap.Map { return c.publishedMaps[len(c.publishedMaps)-1] }

// reviewInterval is the time between two reviews of vacant ranges, or of parked webhooks.
func (c *clusterState) reviewInterval() api.Micros {
	return c.sim.scenario.Ownership.LeaseTTL.micros() / reviewsPerTTL
}

// publishMap sends a copy of the shard map to each dispatcher.
func (c *clusterState) publishMap() {
	published := shardmap.New(nil)
	snapshot, err := c.shardMap.Snapshot()
	if err == nil {
		err = published.Restore(snapshot)
	}
	if err != nil {
		panic(err) // the map's own snapshot
	}
	c.publishedMaps = append(c.publishedMaps, published)
	for i := range c.sim.dispatchers {
		d := &c.sim.dispatchers[i]
		if d.up {
			update := scheduledEvent{kind: evMapUpdate, subject: d.number, detail: int32(len(c.publishedMaps) - 1)}
			c.sim.schedule(c.messageDelay(c.leaderZone(), d.zone), update)
		}
	}
}

// leaderZone is the zone of the raft leader.
func (c *clusterState) leaderZone() api.ZoneID { return 0 }

func (c *clusterState) messageDelay(from, to api.ZoneID) api.Micros {
	return c.behavior.messageDelay(c.sim.randomDelay(from, to, c.random))
}

func (c *clusterState) isMessageLost() bool {
	return c.random.Float64() < c.sim.scenario.Ownership.LossRate
}

// send schedules the arrival of a message unless it is lost, and reports whether it arrives.
func (c *clusterState) send(from, to api.ZoneID, arrival scheduledEvent) bool {
	if c.isMessageLost() {
		return false
	}
	c.sim.schedule(c.messageDelay(from, to), arrival)
	return true
}

// postponeIfPaused schedules an event for the end of a dispatcher's pause. It returns false if the dispatcher runs.
func (c *clusterState) postponeIfPaused(d *dispatcher, e scheduledEvent) bool {
	if d.pausedUntil <= c.sim.now {
		return false
	}
	c.sim.queue.Add(int64(d.pausedUntil), e)
	return true
}

// expireSessions ends the sessions that weren't renewed in time and fails their ranges over to other members.
func (c *clusterState) expireSessions() {
	for _, expired := range c.expiry.TakeExpired(c.sim.now) {
		if _, ok := c.proposeLease(lease.ExpireSession(expired)); ok {
			c.expiry.Remove(expired.Session)
		}
	}
	alive := map[cluster.MemberID]bool{}
	for _, session := range c.leases.Sessions() {
		alive[c.leases.MemberOf(session)] = true
	}
	planned := c.failover.PlanTakeovers(c.shardMap, c.leases, alive, c.candidates, c.sim.now)
	takeovers := c.behavior.takeovers(planned)
	if len(takeovers) > 0 && c.propose(shardmap.Coordinator(1).FailOver(takeovers)) != nil {
		c.publishMap()
	}
	c.sim.schedule(c.reviewInterval(), scheduledEvent{kind: evExpiryScan})
}

// process handles an event of the cluster.
func (c *clusterState) process(e scheduledEvent) {
	switch e.kind {
	case evHandoffArrival:
		c.receiveHandoff(e.subject)
	case evHandoffReply:
		c.handleHandoffReply(e.subject)
	case evHandoffTimeout:
		c.handleHandoffTimeout(e.subject)
	case evCustodyQuery:
		c.handleCustodyMessage(e.subject, shardmap.CustodyReply(e.detail))
	case evLeaseMessage:
		c.handleLeaseMessage(e)
	case evExpiryScan:
		c.expireSessions()
	case evParkedReview, evParkedExpiry, evLeaseRenewal, evMapUpdate:
		c.processMemberEvent(&c.sim.dispatchers[e.subject], e)
	}
}

// processMemberEvent handles an event of one dispatcher. A map update reaches any incarnation, the others only the one
// that they were scheduled for.
func (c *clusterState) processMemberEvent(d *dispatcher, e scheduledEvent) {
	if !d.up || e.kind != evMapUpdate && e.generation != d.incarnation {
		return
	}
	if c.postponeIfPaused(d, e) {
		return
	}
	switch e.kind {
	case evParkedReview:
		c.reviewParked(d)
	case evParkedExpiry:
		d.expireParked(api.WebhookID(uint32(e.detail)))
	case evLeaseRenewal:
		if c.sim.now < d.member.leases.NextRenewalAt() {
			c.scheduleRenewal(d)
		} else {
			c.renewSession(d)
		}
	case evMapUpdate:
		c.updateMap(d, c.publishedMaps[e.detail])
	}
}
