package lease

import (
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// The model that the search explores consists of two members, each with several incarnations; two of three raft nodes,
// which lead in turn and of which one may be deposed without knowing it; the messages in flight between them; and a
// fence. The objects of the package make all decisions. True time advances in steps; each clock is fast or slow. A
// process that takes no transition for a while is thereby paused, and continues as if nothing had happened.
const (
	slowStep, fastStep api.Micros       = 3000, 5000 // what a clock advances in one step of true time: 4000 +- 25%
	modelDrift                          = 0.25
	modelTTL           api.Micros       = 15000 // 3 steps of a fast clock, 5 of a slow one; usable: 3 of a slow one
	modelResource      cluster.Resource = "resource"
	thirdNode          cluster.MemberID = "the third node"
)

// mutation selects a fault that is put into a model, to show that the search detects it.
type mutation struct {
	countFromResponse       bool // the TTL is counted from the response
	keepOldExpiry           bool // a new leader continues with the expiry times that it knows
	loseFence               bool // a restart begins with an empty fence
	renewExpired            bool // a renewal is accepted after TakeExpired
	skipQuorumCheck         bool // a leader answers without a quorum's contact
	countContactFromArrival bool // a peer's contact counts from when its response is read, as in raft's VerifyLeader
	ignoreDrift             bool // clocks are assumed to have the same rate
	ignoreLeaderEpoch       bool // a session is ended even if a later leader epoch has begun since its expiry was found
	untilTwoHolders         bool // not a fault: only two holders at once count as a violation
}

// faultBudget limits how often each event may still happen. The passing of time, requests, renewals and expiries are
// not limited.
type faultBudget struct {
	asyncRequests bool // opening a session or acquiring the lease takes time; else it is done at once

	elections, duplicates, lateContacts, releases, sessionEnds, memberRestarts, actions, fenceRestarts int8
}

type messageKind uint8

const (
	openRequest  messageKind = iota
	renewRequest             // waits at a raft node that has not yet verified that it leads
	confirmation
	rejection
	acquireRequest
	grantResponse
	releaseRequest
	endRequest
	expireRequest
	peerContact
	action
)

// message is anything in flight. Fields that its kind does not use are zero.
type message struct {
	kind          messageKind
	process, node int
	renewal       Renewal
	incarnation   Incarnation
	session       cluster.SessionID
	epoch         cluster.Epoch
	leaderEpoch   LeaderEpoch
	raftTerm      uint64
	at            api.Micros // by the raft node's clock
}

func (m message) isResponse() bool {
	return m.kind == confirmation || m.kind == rejection || m.kind == grantResponse
}

type raftNode struct {
	clockStep       api.Micros
	believesLeading bool
	tracker         *ExpiryTracker
	contact         *QuorumContact
	owned           bool // used by this model alone; else shared with the model that it was cloned from
}

type process struct {
	clockStep   api.Micros
	incarnation Incarnation
	holder      *Holder
	owned       bool
}

type model struct {
	mutation        mutation
	budget          faultBudget
	now             api.Micros // in steps of true time
	index           uint64
	raftTerm        uint64
	leader          int
	table           *Table
	owned           bool // the table is used by this model alone
	nodes           [2]raftNode
	processes       [2]process
	messages        []message
	fence           *Fence
	storedFence     []byte // on disk
	highestAdmitted cluster.Epoch
	violation       string
}

func newModel(faulty mutation, budget faultBudget, nodeSteps, memberSteps [2]api.Micros) *model {
	n := &model{mutation: faulty, budget: budget, table: NewTable(), owned: true, fence: NewFence()}
	n.storedFence = n.fence.Encode()
	for i := range n.nodes {
		n.nodes[i] = raftNode{
			clockStep: nodeSteps[i],
			tracker:   NewExpiryTracker(modelTTL),
			contact:   NewQuorumContact(3),
			owned:     true,
		}
		if faulty.keepOldExpiry {
			n.nodes[i].tracker.StartLeading(0, 0, nil)
		}
		n.processes[i] = process{
			clockStep:   memberSteps[i],
			incarnation: Incarnation(i),
			holder:      n.newHolder(),
			owned:       true,
		}
	}
	n.elect(0)
	return n
}

func (md *model) newHolder() *Holder {
	if md.mutation.ignoreDrift {
		return NewHolder(modelTTL, 0)
	}
	return NewHolder(modelTTL, modelDrift)
}

func (md *model) nodeClock(k int) api.Micros    { return md.now * md.nodes[k].clockStep }
func (md *model) processClock(p int) api.Micros { return md.now * md.processes[p].clockStep }

// clone returns a model that shares its objects with the original. Before one of the two changes an object, it gets a
// copy of its own from mutableTable, mutableHolder or mutableNode.
func (md *model) clone() *model {
	n := *md
	n.messages = slices.Clone(md.messages)
	n.owned = false
	for i := range n.nodes {
		n.nodes[i].owned = false
		n.processes[i].owned = false
	}
	return &n
}

func (md *model) mutableTable() *Table {
	if md.owned {
		return md.table
	}
	shared := md.table
	copied := *shared
	copied.openSessions = maps.Clone(shared.openSessions)
	copied.leases = maps.Clone(shared.leases)
	copied.sessions = map[cluster.SessionID]*session{}
	for id, s := range shared.sessions {
		copied.sessions[id] = &session{sessionOwner: s.sessionOwner, resources: maps.Clone(s.resources)}
	}
	md.table = &copied
	md.owned = true
	return md.table
}

// mutableNode rebuilds the timers of the tracker instead of copying them: what TakeExpired returns depends on the
// sessions alone.
func (md *model) mutableNode(i int) *raftNode {
	n := &md.nodes[i]
	if n.owned {
		return n
	}
	tracker, contact := n.tracker, n.contact
	n.tracker = &ExpiryTracker{
		ttl:         tracker.ttl,
		leaderEpoch: tracker.leaderEpoch,
		sessions:    maps.Clone(tracker.sessions),
	}
	for _, s := range sortedSessions(tracker.sessions) {
		n.tracker.timers.Add(int64(tracker.sessions[s].expiresAt), s)
	}
	n.contact = &QuorumContact{
		quorumPeers: contact.quorumPeers,
		raftTerm:    contact.raftTerm,
		lastContact: maps.Clone(contact.lastContact),
	}
	n.owned = true
	return n
}

func (md *model) mutableHolder(i int) *Holder {
	p := &md.processes[i]
	if !p.owned {
		copied := *p.holder
		copied.epochs = maps.Clone(copied.epochs)
		copied.relinquished = maps.Clone(copied.relinquished)
		p.holder = &copied
		p.owned = true
	}
	return p.holder
}

func sortedSessions(sessions map[cluster.SessionID]sessionExpiry) []cluster.SessionID {
	return slices.Sorted(maps.Keys(sessions))
}
