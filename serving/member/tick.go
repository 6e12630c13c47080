package member

import (
	"time"

	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/state"
)

// Intervals of a node's periodic actions.
const (
	sizeLogInterval = time.Second                  // least time between two log lines about the number of live members
	maxTickInterval = membership.HeartbeatInterval // greatest time between two ticks
)

// heartbeatCall is a heartbeat to be sent.
type heartbeatCall struct {
	to      gossip.Peer
	request heartbeatRequest
}

// probeCall is a probe of an unconfirmed member, one without recent evidence that it is alive. The local member sends it
// a heartbeat and asks other members, the relays, to send it one as well (an indirect probe, as SWIM's ping-req).
type probeCall struct {
	heartbeat heartbeatCall
	relays    []gossip.Peer
}

// repairCall is a repair to be made: an anti-entropy exchange, which compares the digests of tables with a peer and then
// transfers the entries that either lacks.
type repairCall struct {
	to      gossip.Peer // only the address if toSeed is set
	request compareRequest
	toSeed  bool
}

// pendingCalls are the calls that a tick of the node has decided on. The node makes no calls itself.
type pendingCalls struct {
	heartbeats []heartbeatCall
	repairs    []repairCall
	pushes     []gossip.Envelope
	probes     []probeCall
	next       time.Time // time of the next tick
}

// tick carries out the periodic actions that are due and returns the calls to make.
func (n *node) tick(now time.Time) (calls pendingCalls) {
	n.step(now, func() {
		n.tickMembership()
		if !now.Before(n.schedule.heartbeat) {
			n.planHeartbeats(&calls)
		}
		n.planRepair(&calls)
		n.planDownProbe(&calls)
		n.planSuspicionProbes(&calls)
		n.planConfirmationProbes(&calls)
		n.planSeedCall(&calls)
		n.finishStep()
		calls.pushes = n.engine.TakeOutgoing(now)
	})
	n.logSize()
	calls.next = n.nextTick()
	return calls
}

// tickMembership runs the failure detector, gossips the local member's new suspicions and its withdrawals of earlier ones,
// and removes the entries of members that went down or left long ago.
func (n *node) tickMembership() {
	suspicions, removed := n.members.Tick(n.now)
	for _, suspicion := range suspicions {
		n.publishSuspicion(suspicion)
	}
	for _, name := range removed {
		n.forgetMember(name)
	}
	n.finishStep()
}

// planHeartbeats adds the heartbeats of this interval to the calls and schedules the next interval. A member that has left
// sends none.
func (n *node) planHeartbeats(calls *pendingCalls) {
	n.members.RecordDelay(n.now.Sub(n.schedule.heartbeat))
	n.schedule.heartbeat = n.now.Add(membership.HeartbeatInterval)
	n.schedule.heartbeatCount++
	if n.members.Self().State == state.MemberLeft {
		return
	}
	calls.heartbeats = n.heartbeatCalls()
}

// planRepair adds a repair to the calls if one is due.
func (n *node) planRepair(calls *pendingCalls) {
	if n.members.Self().State == state.MemberLeft {
		return
	}
	if task, due := n.engine.TakeDueRepair(n.now); due {
		call := repairCall{to: task.Peer, request: n.newCompareRequest(task.Tables)}
		calls.repairs = append(calls.repairs, call)
	}
}

// heartbeatCalls returns the heartbeats to the local member's watchers. Watchers in other regions get one in every
// RemoteIntervalFactor-th interval only, and in the next interval if one of them didn't respond. Members whose own
// heartbeats are overdue get one too, since their response shows that they are alive.
func (n *node) heartbeatCalls() (calls []heartbeatCall) {
	self := n.members.Self()
	request := n.newHeartbeatRequest()
	remote := n.schedule.heartbeatCount%membership.RemoteIntervalFactor == 0 || n.schedule.retryRemote
	n.schedule.retryRemote = false
	for _, watcher := range n.members.Watchers(self.Name) {
		if watcher.Region == self.Region || remote {
			calls = append(calls, heartbeatCall{to: peerOf(watcher), request: request})
		}
	}
	for _, member := range n.members.OverdueMembers(n.now) {
		calls = append(calls, heartbeatCall{to: peerOf(member), request: request})
	}
	return calls
}

// newHeartbeatRequest returns the message that carries the local member's heartbeat.
func (n *node) newHeartbeatRequest() heartbeatRequest {
	return heartbeatRequest{Heartbeat: n.ownHeartbeat(), Summary: n.engine.Summary()}
}

// ownHeartbeat returns the local member's heartbeat.
func (n *node) ownHeartbeat() membership.Heartbeat {
	self := n.members.Self()
	return membership.Heartbeat{Name: self.Name, Incarnation: self.Incarnation, Sequence: self.Sequence}
}

// newCompareRequest returns the request of a repair's first call, for the given tables or, if there are none, for all.
func (n *node) newCompareRequest(tables []gossip.TableID) compareRequest {
	return compareRequest{Heartbeat: n.ownHeartbeat(), Digests: n.engine.Digest(tables)}
}

// planSeedCall adds a repair with a seed to the calls if one is due, see seedSchedule.
func (n *node) planSeedCall(calls *pendingCalls) {
	if n.members.Self().State == state.MemberLeft || n.now.Before(n.seeds.dueAt) {
		return
	}
	peers := n.peers()
	isMember := func(address string) bool {
		for _, peer := range peers {
			if peer.Address == address {
				return true
			}
		}
		return false
	}
	address := n.seeds.takeDue(n.now, len(peers) == 0, isMember)
	if address == "" {
		return
	}
	call := repairCall{to: gossip.Peer{Address: address}, request: n.newCompareRequest(nil), toSeed: true}
	calls.repairs = append(calls.repairs, call)
}

// forgetMember removes the gossip entry of a member that was removed from the membership table, and all suspicions that are
// about it or were issued by it.
func (n *node) forgetMember(name string) {
	n.engine.Expire(n.now, gossip.TableMembers, name)
	for _, suspicion := range n.members.Suspicions() {
		if suspicion.Member == name || suspicion.Watcher == name {
			n.members.RemoveSuspicion(suspicion)
			n.engine.Expire(n.now, gossip.TableSuspicions, suspicion.Key())
		}
	}
}

// logSize logs the number of live members if it has changed, at most once in each sizeLogInterval.
func (n *node) logSize() {
	if n.now.Before(n.schedule.sizeLog) {
		return
	}
	live := len(n.members.LiveMembers())
	if live == n.schedule.loggedSize {
		return
	}
	if n.schedule.loggedSize <= 1 && live > 1 {
		event.MembershipJoined.Log(n.log).Uint64("incarnation", n.members.Self().Incarnation).Send()
	}
	n.schedule.sizeLog = n.now.Add(sizeLogInterval)
	event.MembersChanged.Log(n.log).Int("live", live).Int("before", n.schedule.loggedSize).Send()
	n.schedule.loggedSize = live
}

// nextTick returns the earliest time at which an action is due, at most maxTickInterval from now.
func (n *node) nextTick() time.Time {
	next := n.now.Add(maxTickInterval)
	dueTimes := []time.Time{
		n.schedule.heartbeat,
		n.engine.NextSendTime(),
		n.engine.NextRepairTime(),
		n.members.NextTimeout(),
	}
	if n.schedule.downProbeCount > 1 { // a down member has responded; otherwise the probe may wait for a regular tick
		dueTimes = append(dueTimes, n.schedule.downProbe)
	}
	for _, due := range dueTimes {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	if n.members.Self().State != state.MemberLeft {
		next = n.nextProbe(next)
	}
	joining := len(n.members.LiveMembers()) == 1 || n.now.Sub(n.seeds.setAt) < joinPeriod
	if len(n.seeds.addresses) > 0 && n.seeds.dueAt.Before(next) && joining {
		next = n.seeds.dueAt
	}
	return next
}
