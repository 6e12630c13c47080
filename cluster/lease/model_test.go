package lease

import (
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// The model that the search explores consists of two members, each with several incarnations; two raft nodes of
// three that lead in turn, of which one may be deposed without knowing it; the messages in flight between them; and
// a fence. The real objects make all decisions. True time advances in steps; clocks are fast or slow. A process that
// takes no transition for a while is stopped, and continues as if nothing had happened.
const (
	slowStep, fastStep api.Micros       = 3000, 5000 // what a clock advances in one step of true time: 4000 +- 25%
	modelDrift                          = 0.25
	modelTTL           api.Micros       = 15000 // 3 steps of a fast clock, 5 of a slow one; usable: 3 of a slow one
	modelResource      cluster.Resource = "resource"
	thirdNode          cluster.MemberID = "the third node"
)

// mutation introduces a fault into a model, to show that the search detects it.
type mutation struct {
	countFromResponse       bool // the TTL is counted from the response
	keepOldExpiry           bool // a new leader continues with the expiry times that it knows
	loseFence               bool // a restart begins with an empty fence
	renewExpired            bool // a renewal is accepted after TakeExpired
	skipQuorumCheck         bool // a leader answers without a quorum's contact
	countContactFromArrival bool // a peer's contact counts from when its response is read, as in raft's VerifyLeader
	ignoreDrift             bool // clocks are assumed to have the same rate
	ignoreLeaderEpoch       bool // a session is ended in whatever leader epoch the proposal is applied
	untilTwoHolders         bool // not a fault: continue until two members hold the lease
}

// faultBudget limits what can happen besides time, requests, renewals and expiries: how often each may.
type faultBudget struct {
	asyncRequests bool // opens and acquisitions take time; else they are done at once

	elections, duplicates, lateContacts, releases, sessionEnds, memberRestarts, actions, fenceRestarts int8
}

type messageKind uint8

const (
	openRequest  messageKind = iota
	renewRequest             // at a raft node that does not know yet whether it leads
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

// message is anything in flight; fields that its kind has no use for are zero.
type message struct {
	kind          messageKind
	process, node int
	renewal       Renewal
	incarnation   Incarnation
	session       cluster.SessionID
	epoch         cluster.Epoch
	leaderEpoch   LeaderEpoch
	raftTerm      uint64
	at            api.Micros // of the raft node's clock
}

func (m message) isResponse() bool {
	return m.kind == confirmation || m.kind == rejection || m.kind == grantResponse
}

type raftNode struct {
	clockStep       api.Micros
	believesLeading bool
	tracker         *ExpiryTracker
	contact         *QuorumContact
	owned           bool // by this model alone; else shared with the model that it was cloned from
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
	now             api.Micros // true steps
	index           uint64
	raftTerm        uint64
	leader          int
	table           *Table
	owned           bool // the table
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

// clone shares the objects with the original; whoever changes one gets a copy of its own from mutableTable,
// mutableHolder or mutableNode.
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

// mutableNode rebuilds the tracker's timers: what TakeExpired returns depends on its sessions alone.
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
