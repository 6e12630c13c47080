package lease

import (
	"slices"

	"rowanlink/cluster"
)

// transition is one event that may happen next. subject is the index of the message, raft node or member that it
// concerns.
type transition struct {
	name    string
	subject int
	apply   func(md *model, i int)
}

const maxInFlight = 3

var renewalNames = [2]string{"a member renews at node 0", "a member renews at node 1"}

func (md *model) send(m message) { md.messages = append(md.messages, m) }

func (md *model) countInFlight(process int, kinds ...messageKind) (count int) {
	for _, m := range md.messages {
		if m.process == process && slices.Contains(kinds, m.kind) {
			count++
		}
	}
	return count
}

// transitions appends all events that may happen in this state.
func (md *model) transitions(all []transition) []transition {
	all = append(all, transition{"time advances", 0, func(md *model, _ int) { md.now++ }})
	for i, m := range md.messages {
		if m.kind != renewRequest || md.canAnswer(m) {
			all = append(all, transition{"arrives", i, func(md *model, i int) { md.deliver(i, false) }})
		}
		if m.isResponse() { // losing a request is the same as not sending it
			all = append(all, transition{"is lost", i, func(md *model, i int) {
				md.messages = slices.Delete(md.messages, i, i+1)
			}})
		}
		if md.budget.duplicates > 0 && m.kind != renewRequest && m.kind < expireRequest {
			all = append(all, transition{"arrives, and is duplicated", i, func(md *model, i int) {
				md.budget.duplicates--
				md.deliver(i, true)
			}})
		}
	}
	if md.budget.fenceRestarts > 0 && md.highestAdmitted > 0 {
		all = append(all, transition{"the fence restarts", 0, (*model).restartFence})
	}
	for k := range md.nodes {
		all = md.nodeTransitions(k, all)
	}
	if len(md.messages) < maxInFlight {
		for p := range md.processes {
			all = md.memberTransitions(p, all)
		}
	}
	return all
}

func (md *model) nodeTransitions(k int, all []transition) []transition {
	n := &md.nodes[k]
	if md.budget.elections > 0 {
		all = append(all, transition{"a node is elected", k, func(md *model, k int) {
			md.budget.elections--
			md.elect(k)
		}})
	}
	if k == md.leader && slices.ContainsFunc(md.messages, func(m message) bool {
		return m.kind == renewRequest && m.node == k && !n.contact.HasQuorumSince(m.at)
	}) {
		all = append(all, transition{"a node gets a peer's response", k, func(md *model, k int) {
			md.recordContact(k, md.raftTerm, md.nodeClock(k))
		}})
	}
	if k == md.leader && md.budget.lateContacts > 0 {
		all = append(all, transition{"a node is sent a peer's response", k, (*model).sendLateContact})
	}
	if n.believesLeading && k != md.leader {
		all = append(all, transition{"a node steps down", k, func(md *model, k int) {
			n := md.mutableNode(k)
			n.believesLeading = false
			n.tracker.StopLeading()
		}})
	}
	if n.believesLeading && md.hasExpired(k) {
		all = append(all, transition{"a node checks for expired sessions", k, func(md *model, k int) {
			for _, expired := range md.mutableNode(k).tracker.TakeExpired(md.nodeClock(k)) {
				md.send(message{
					kind:        expireRequest,
					process:     -1,
					node:        k,
					session:     expired.Session,
					leaderEpoch: expired.LeaderEpoch,
				})
			}
		}})
	}
	return all
}

func (md *model) sendLateContact(k int) {
	md.budget.lateContacts--
	md.send(message{kind: peerContact, process: -1, node: k, raftTerm: md.raftTerm, at: md.nodeClock(k)})
}

// hasExpired reports whether a raft node can find an expired session. A session whose expiry is already in flight
// does not count: finding it again changes nothing.
func (md *model) hasExpired(k int) bool {
	tracker := md.nodes[k].tracker
	for s, state := range tracker.sessions {
		isInFlight := func(m message) bool {
			return m.kind == expireRequest && m.node == k && m.session == s && m.leaderEpoch == tracker.leaderEpoch
		}
		if md.nodeClock(k) >= state.expiresAt && !slices.ContainsFunc(md.messages, isInFlight) {
			return true
		}
	}
	return false
}

func (md *model) memberTransitions(p int, all []transition) []transition {
	holder := md.processes[p].holder
	session := holder.Session()
	renewing := md.countInFlight(p, openRequest, renewRequest, confirmation) > 0
	if session == 0 && !renewing {
		all = append(all, transition{"a member opens a session", p, func(md *model, p int) {
			md.startRenewal(p, openRequest, md.leader)
			if !md.budget.asyncRequests {
				md.deliver(len(md.messages)-1, false)
				md.deliver(len(md.messages)-1, false)
			}
		}})
	}
	for k := range md.nodes {
		if session != 0 && !renewing && md.nodes[k].believesLeading {
			all = append(all, transition{renewalNames[k], p, func(md *model, p int) {
				md.startRenewal(p, renewRequest, k)
			}})
		}
	}
	if session != 0 && holder.epochs[modelResource] == 0 && md.countInFlight(p, acquireRequest, grantResponse) == 0 {
		all = append(all, transition{"a member acquires the lease", p, func(md *model, p int) {
			before := len(md.messages)
			md.send(message{kind: acquireRequest, process: p, session: md.processes[p].holder.Session()})
			for !md.budget.asyncRequests && len(md.messages) > before {
				md.deliver(before, false)
			}
		}})
	}
	if _, acts := holder.Epoch(modelResource, md.processClock(p)); acts && md.budget.actions > 0 {
		all = append(all, transition{"a member acts", p, func(md *model, p int) {
			md.budget.actions--
			epoch, _ := md.processes[p].holder.Epoch(modelResource, md.processClock(p))
			md.send(message{kind: action, process: -1, epoch: epoch})
		}})
	}
	if holder.epochs[modelResource] != 0 && md.budget.releases > 0 {
		all = append(all, transition{"a member releases the lease", p, func(md *model, p int) {
			md.budget.releases--
			epoch, _ := md.mutableHolder(p).Relinquish(modelResource)
			session := md.processes[p].holder.Session()
			md.send(message{kind: releaseRequest, process: p, session: session, epoch: epoch})
		}})
	}
	if session != 0 && md.budget.sessionEnds > 0 {
		all = append(all, transition{"a member ends its session", p, func(md *model, p int) {
			md.budget.sessionEnds--
			md.send(message{kind: endRequest, process: p, session: md.mutableHolder(p).EndSession()})
			md.processes[p].incarnation += 2
		}})
	}
	if md.budget.memberRestarts > 0 {
		all = append(all, transition{"a member restarts", p, (*model).restartMember})
	}
	return all
}

// startRenewal sends a request to open or renew a session. A request to open one goes to the leader's log. A renewal
// reaches the raft node at once: a delay could only make it harder to confirm.
func (md *model) startRenewal(p int, kind messageKind, k int) {
	holder := md.mutableHolder(p)
	m := message{
		kind:        kind,
		process:     p,
		node:        k,
		session:     holder.Session(),
		renewal:     holder.StartRenewal(md.processClock(p)),
		incarnation: md.processes[p].incarnation,
	}
	if kind == renewRequest {
		m.at = md.nodeClock(k)
	}
	md.send(m)
}

// restartMember starts a new incarnation of a member. The member's requests stay in flight, but responses to it are
// dropped.
func (md *model) restartMember(p int) {
	md.budget.memberRestarts--
	md.processes[p].holder = md.newHolder()
	md.processes[p].owned = true
	md.processes[p].incarnation += 2
	md.messages = slices.DeleteFunc(md.messages, func(m message) bool {
		return m.process == p && (m.isResponse() || m.kind == renewRequest)
	})
	for i := range md.messages {
		if md.messages[i].process == p {
			md.messages[i].process = -1
		}
	}
}

func (md *model) restartFence(int) {
	md.budget.fenceRestarts--
	var err error
	if md.fence, err = DecodeFence(md.storedFence); err != nil {
		panic(err)
	}
	if md.mutation.loseFence {
		md.fence = NewFence()
	}
}

func (md *model) handleAction(epoch cluster.Epoch) {
	fence, err := DecodeFence(md.fence.Encode())
	if err != nil {
		panic(err)
	}
	md.fence = fence
	raised, err := fence.Admit(modelResource, epoch)
	if raised {
		md.storedFence = fence.Encode()
	}
	if err == nil && epoch < md.highestAdmitted {
		md.violation = "a late action was admitted after one of a later epoch"
	}
	if err == nil {
		md.highestAdmitted = max(md.highestAdmitted, epoch)
	}
}
