package member

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

// node is the state machine of one member. It holds all of the member's state and makes its decisions without I/O: methods
// get the time as an argument and return the calls to make. It isn't safe for concurrent use.
type node struct {
	engine   *gossip.Engine
	members  *membership.Table
	roles    *singleton.Table
	seeds    seedSchedule
	random   *rand.Rand
	log      *zerolog.Logger
	schedule schedule

	now       time.Time              // time of the current step
	forgotten map[string]gossip.Peer // members that were removed here, though others still have their entries
	// stalePeers is set if the live members have changed, so that the engine's peers must be updated.
	stalePeers bool
	// earlierSelf is a received entry of the local member that is newer than the node's own, or nil. An earlier process
	// issued it, whose clock was ahead of the present one.
	earlierSelf     *state.Member
	staleSuspicions []membership.Suspicion // issued by an earlier incarnation of this member, to be withdrawn
	selfRefuted     bool                   // the local member's sequence was raised, and must be gossiped
	wakeAt          time.Time              // when the timer loop ticks next
}

// schedule holds the due times of a node's periodic actions.
type schedule struct {
	heartbeat         time.Time
	heartbeatCount    uint64 // intervals so far
	retryRemote       bool   // a heartbeat to another region got no response: the next interval's go to other regions too
	downProbe         time.Time
	downProbeCount    int // number of members that the next down probe calls
	suspicionProbe    time.Time
	confirmationProbe time.Time
	sizeLog           time.Time
	loggedSize        int // number of live members that was logged last
}

// incarnationJitter bounds the random number that is added to a raised incarnation, so that two processes of the same name
// that supersede the same earlier incarnation at once don't choose the same new one.
const incarnationJitter = 1 << 16

// nodeOptions configures a node.
type nodeOptions struct {
	self   state.Member
	seeds  []string // addresses for internal calls
	random *rand.Rand
	log    *zerolog.Logger
}

// newNode returns the node of a member that knows no other member yet.
func newNode(now time.Time, options nodeOptions) *node {
	n := &node{
		members:    membership.New(now, membership.Options{Self: options.self}),
		roles:      singleton.New(options.self.Name),
		seeds:      newSeedSchedule(now, options.self.Address, options.seeds),
		random:     options.random,
		log:        options.log,
		now:        now,
		forgotten:  map[string]gossip.Peer{},
		stalePeers: true,
		engine: gossip.New(gossip.Options{
			Name:        options.self.Name,
			Zone:        options.self.Zone,
			Region:      options.self.Region,
			IsTombstone: isTombstone,
			Random:      options.random,
		}),
	}
	n.schedule = schedule{heartbeat: now, downProbe: now.Add(downProbeInterval), downProbeCount: 1, sizeLog: now}
	n.members.OnChange(n.memberChanged)
	n.engine.Subscribe(gossip.TableMembers, func(entry gossip.Entry) { n.mergeMember(entry) })
	n.engine.Subscribe(gossip.TableSuspicions, func(entry gossip.Entry) { n.mergeSuspicion(entry) })
	n.engine.Subscribe(gossip.TableRoleClaims, n.mergeClaim)
	n.step(now, func() { n.publishSelf(now) })
	return n
}

// memberChanged logs a change of a member and schedules an update of the engine's peers.
func (n *node) memberChanged(change membership.Change) {
	n.stalePeers = true
	kind := event.MemberUp
	if !change.Live {
		kind = event.MemberDown
	}
	entry := kind.Log(n.log).Str("member", change.Member.Name).Uint64("incarnation", change.Member.Incarnation)
	if change.Down {
		entry = entry.Stringer("reason", change.Reason)
	}
	entry.Send()
}

// step runs one action at the given time, and then what the action has deferred, see finishStep.
func (n *node) step(now time.Time, action func()) {
	n.now = now
	action()
	n.finishStep()
}

// finishStep does what the listeners of the tables have deferred: a listener must not change the tables while they call it.
func (n *node) finishStep() {
	if n.earlierSelf != nil {
		n.supersedeEarlierSelf(*n.earlierSelf)
		n.earlierSelf = nil
	}
	if n.selfRefuted {
		n.selfRefuted = false
		n.schedule.heartbeat = n.now
		event.SuspicionRefuted.Log(n.log).Uint64("sequence", n.members.Self().Sequence).Send()
		n.publishSelf(n.now)
	}
	for _, suspicion := range n.staleSuspicions {
		n.publishSuspicion(n.members.WithdrawSuspicion(suspicion))
	}
	n.staleSuspicions = nil
	if n.stalePeers {
		n.stalePeers = false
		n.engine.SetPeers(n.peers())
	}
}

// supersedeEarlierSelf raises the local incarnation above that of an earlier process with the same name, and gossips it.
func (n *node) supersedeEarlierSelf(earlier state.Member) {
	event.IncarnationRaised.Log(n.log).Uint64("earlier", earlier.Incarnation).Send()
	raised := earlier.Incarnation + 1 + n.random.Uint64N(incarnationJitter)
	n.members.UpdateSelf(n.now, func(member *state.Member) { member.Incarnation = raised })
	n.publishSelf(n.now)
}

// peers returns the live members without the local one.
func (n *node) peers() (peers []gossip.Peer) {
	for _, member := range n.members.LiveMembers() {
		if member.Name != n.members.Self().Name {
			peers = append(peers, peerOf(member))
		}
	}
	return peers
}

func peerOf(member state.Member) gossip.Peer {
	return gossip.Peer{Name: member.Name, Address: member.Address, Zone: member.Zone, Region: member.Region}
}

// putLocal stores and gossips an entry that comes from the local process.
func (n *node) putLocal(now time.Time, entry gossip.Entry) {
	n.step(now, func() { n.engine.PutLocal(now, entry) })
}

// publishSuspicion gossips a suspicion or withdrawal that the local member has issued.
func (n *node) publishSuspicion(suspicion membership.Suspicion) {
	entry, err := suspicionEntry(suspicion)
	if err != nil {
		event.GossipEntryUnreadable.Log(n.log).Err(err).Send()
		return
	}
	n.engine.PutLocal(n.now, entry)
}

// publishSelf gossips the newest version of the local member.
func (n *node) publishSelf(now time.Time) {
	entry, err := memberEntry(n.members.Self())
	if err != nil {
		event.GossipEntryUnreadable.Log(n.log).Err(err).Send()
		return
	}
	n.engine.PutLocal(now, entry)
}

// updateSelf changes the local member and gossips the new version.
func (n *node) updateSelf(now time.Time, change func(*state.Member)) {
	n.step(now, func() {
		n.members.UpdateSelf(now, change)
		n.publishSelf(now)
	})
}

// mergeMember applies a member's entry. A newer entry of the local member itself comes from an earlier process and is
// superseded in finishStep.
func (n *node) mergeMember(entry gossip.Entry) {
	member, err := decode[state.Member](entry)
	if err != nil || member.Name != entry.Key {
		event.GossipEntryUnreadable.Log(n.log).Err(err).Str("key", entry.Key).Send()
		return
	}
	self := n.members.Self()
	if member.Name == self.Name {
		if membership.IsNewer(member, self) {
			n.earlierSelf = &member
		}
		return
	}
	n.members.MergeMember(n.now, member)
}

// mergeSuspicion applies a suspicion's entry. One that an earlier incarnation of the local member issued is withdrawn in
// finishStep, since no process would otherwise withdraw it.
func (n *node) mergeSuspicion(entry gossip.Entry) {
	suspicion, err := decode[membership.Suspicion](entry)
	if err != nil {
		event.GossipEntryUnreadable.Log(n.log).Err(err).Str("key", entry.Key).Send()
		return
	}
	if n.members.IsFromEarlierIncarnation(suspicion) {
		n.staleSuspicions = append(n.staleSuspicions, suspicion)
		return
	}
	n.members.MergeSuspicion(suspicion)
}

// mergeClaim applies the entry of a claim of a singleton role.
func (n *node) mergeClaim(entry gossip.Entry) {
	claim, err := decode[singleton.Claim](entry)
	if err != nil {
		event.GossipEntryUnreadable.Log(n.log).Err(err).Str("key", entry.Key).Send()
		return
	}
	n.roles.Merge(claim)
}
