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

// node is all that one member knows and decides, without input or output. It belongs to one goroutine.
type node struct {
	engine   *gossip.Engine
	members  *membership.Table
	roles    *singleton.Table
	seeds    seedSchedule
	random   *rand.Rand
	log      *zerolog.Logger
	schedule schedule

	now             time.Time              // of the step that is being done
	stalePeers      bool                   // members came or went since the engine was told
	earlierSelf     *state.Member          // a newer word on the own member than the own
	staleSuspicions []membership.Suspicion // words of an earlier life that are to be withdrawn
	selfRefuted     bool                   // the own word was raised and is to be spread
	wakeAt          time.Time              // when the timer loop asks again
}

// schedule holds the times of what a node does again and again.
type schedule struct {
	heartbeat        time.Time
	heartbeatCount   uint64
	retryRemote      bool // a heartbeat to another region was lost: the next ones go there too
	downProbe        time.Time
	suspectZoneProbe time.Time
	sizeLog          time.Time
	loggedSize       int
}

// incarnationJitter keeps two processes that outlive the same earlier life at once from the same incarnation.
const incarnationJitter = 1 << 16

// nodeOptions says who the member is.
type nodeOptions struct {
	self   state.Member
	seeds  []string // addresses for calls between the system's processes
	random *rand.Rand
	log    *zerolog.Logger
}

// newNode makes the node of a member that knows nobody yet.
func newNode(now time.Time, options nodeOptions) *node {
	n := &node{
		members:    membership.New(now, membership.Options{Self: options.self}),
		roles:      singleton.New(options.self.Name),
		seeds:      newSeedSchedule(now, options.self.Address, options.seeds),
		random:     options.random,
		log:        options.log,
		now:        now,
		stalePeers: true,
		engine: gossip.New(gossip.Options{
			Name:        options.self.Name,
			Zone:        options.self.Zone,
			Region:      options.self.Region,
			IsTombstone: isTombstone,
			Random:      options.random,
		}),
	}
	n.schedule = schedule{heartbeat: now, downProbe: now.Add(downProbeInterval), sizeLog: now}
	n.members.OnChange(n.memberChanged)
	n.engine.Subscribe(gossip.TableMembers, func(entry gossip.Entry) { n.mergeMember(entry) })
	n.engine.Subscribe(gossip.TableSuspicions, func(entry gossip.Entry) { n.mergeSuspicion(entry) })
	n.engine.Subscribe(gossip.TableRoleClaims, n.mergeClaim)
	n.step(now, func() { n.publishSelf(now) })
	return n
}

// memberChanged notes that the engine's peers are to be set anew.
func (n *node) memberChanged(change membership.Change) {
	n.stalePeers = true
	kind := event.MemberUp
	if !change.Live {
		kind = event.MemberDown
	}
	kind.Log(n.log).Str("member", change.Member.Name).Uint64("incarnation", change.Member.Incarnation).Send()
}

// step does one thing at a moment and then what follows from it.
func (n *node) step(now time.Time, do func()) {
	n.now = now
	do()
	n.finishStep()
}

// finishStep does what could not be done while the tables were changing.
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
	for _, word := range n.staleSuspicions {
		n.publishSuspicion(n.members.WithdrawSuspicion(word))
	}
	n.staleSuspicions = nil
	if n.stalePeers {
		n.stalePeers = false
		n.engine.SetPeers(n.peers())
	}
}

// supersedeEarlierSelf raises the own incarnation above that of an earlier life.
func (n *node) supersedeEarlierSelf(earlier state.Member) {
	event.IncarnationRaised.Log(n.log).Uint64("earlier", earlier.Incarnation).Send()
	raised := earlier.Incarnation + 1 + n.random.Uint64N(incarnationJitter)
	n.members.UpdateSelf(n.now, func(member *state.Member) { member.Incarnation = raised })
	n.publishSelf(n.now)
}

// peers returns the live members but the own.
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

// putLocal takes in an entry of the own process.
func (n *node) putLocal(now time.Time, entry gossip.Entry) (taken bool) {
	n.step(now, func() { taken = n.engine.PutLocal(now, entry) })
	return taken
}

// publishSuspicion spreads an own word as a watcher.
func (n *node) publishSuspicion(word membership.Suspicion) {
	entry, err := suspicionEntry(word)
	if err != nil {
		event.GossipEntryUnreadable.Log(n.log).Err(err).Send()
		return
	}
	n.engine.PutLocal(n.now, entry)
}

// publishSelf spreads the own member's newest word.
func (n *node) publishSelf(now time.Time) {
	entry, err := memberEntry(n.members.Self())
	if err != nil {
		event.GossipEntryUnreadable.Log(n.log).Err(err).Send()
		return
	}
	n.engine.PutLocal(now, entry)
}

// updateSelf changes the own member's word and spreads it.
func (n *node) updateSelf(now time.Time, change func(*state.Member)) {
	n.step(now, func() {
		n.members.UpdateSelf(now, change)
		n.publishSelf(now)
	})
}

// mergeMember takes in a member's entry.
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

// mergeSuspicion takes in a watcher's entry.
func (n *node) mergeSuspicion(entry gossip.Entry) {
	word, err := decode[membership.Suspicion](entry)
	if err != nil {
		event.GossipEntryUnreadable.Log(n.log).Err(err).Str("key", entry.Key).Send()
		return
	}
	if n.members.IsFromEarlierIncarnation(word) {
		n.staleSuspicions = append(n.staleSuspicions, word)
		return
	}
	n.members.MergeSuspicion(word)
}

// mergeClaim takes in the word of a duty's holder.
func (n *node) mergeClaim(entry gossip.Entry) {
	claim, err := decode[singleton.Claim](entry)
	if err != nil {
		event.GossipEntryUnreadable.Log(n.log).Err(err).Str("key", entry.Key).Send()
		return
	}
	n.roles.Merge(claim)
}
