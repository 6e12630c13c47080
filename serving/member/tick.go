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
	sizeLogInterval = time.Second // least time between two log lines about the number of members
	maxTickInterval = membership.HeartbeatInterval
)

// heartbeatCall is a heartbeat to be sent.
type heartbeatCall struct {
	to      gossip.Peer
	request heartbeatRequest
}

// probeCall is a heartbeat to a member of whose life there is no evidence, and requests to other members to send it one.
type probeCall struct {
	heartbeat heartbeatCall
	relays    []gossip.Peer
}

// repairCall is a repair to be made.
type repairCall struct {
	to      gossip.Peer // of a seed only the address is known
	request compareRequest
	seed    bool
}

// pendingCalls are the calls that a node requests.
type pendingCalls struct {
	heartbeats []heartbeatCall
	repairs    []repairCall
	pushes     []gossip.Envelope
	probes     []probeCall
	next       time.Time // time of the next tick
}

// tick executes the periodic actions that are due and returns the calls to make.
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
		n.planSeed(&calls)
		n.finishStep()
		calls.pushes = n.engine.TakeOutgoing(now)
	})
	n.logSize()
	calls.next = n.nextTick()
	return calls
}

// tickMembership runs the failure detector and gossips its suspicions.
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

// planHeartbeats requests the heartbeats of an interval and schedules the next interval.
func (n *node) planHeartbeats(calls *pendingCalls) {
	n.members.RecordDelay(n.now.Sub(n.schedule.heartbeat))
	n.schedule.heartbeat = n.now.Add(membership.HeartbeatInterval)
	n.schedule.heartbeatCount++
	if n.members.Self().State == state.MemberLeft {
		return
	}
	calls.heartbeats = n.heartbeatCalls()
}

// planRepair requests a repair that is due.
func (n *node) planRepair(calls *pendingCalls) {
	if n.members.Self().State == state.MemberLeft {
		return
	}
	if task, due := n.engine.TakeDueRepair(n.now); due {
		call := repairCall{to: task.Peer, request: n.newCompareRequest(task.Tables)}
		calls.repairs = append(calls.repairs, call)
	}
}

// heartbeatCalls returns the heartbeats to the watchers; to those in other regions only every RemoteIntervalFactor-th
// interval. Members whose own heartbeat is overdue get one too, which they respond to.
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

// newCompareRequest returns the first call of a repair of the tables, or of all tables where none is named.
func (n *node) newCompareRequest(tables []gossip.TableID) compareRequest {
	return compareRequest{Heartbeat: n.ownHeartbeat(), Digests: n.engine.Digest(tables)}
}

// planSeed requests a repair with a seed that is due, see seedSchedule.
func (n *node) planSeed(calls *pendingCalls) {
	if n.members.Self().State == state.MemberLeft || n.now.Before(n.seeds.due) {
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
	call := repairCall{to: gossip.Peer{Address: address}, request: n.newCompareRequest(nil), seed: true}
	calls.repairs = append(calls.repairs, call)
}

// forgetMember removes the entry of a member that was removed, and all suspicions about or of it.
func (n *node) forgetMember(name string) {
	n.engine.Expire(n.now, gossip.TableMembers, name)
	for _, suspicion := range n.members.Suspicions() {
		if suspicion.Member == name || suspicion.Watcher == name {
			n.members.RemoveSuspicion(suspicion)
			n.engine.Expire(n.now, gossip.TableSuspicions, suspicion.Key())
		}
	}
}

// logSize logs the number of live members if it has changed.
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

// nextTick returns the earliest time at which something is due.
func (n *node) nextTick() time.Time {
	next := n.now.Add(maxTickInterval)
	dueTimes := []time.Time{
		n.schedule.heartbeat,
		n.engine.NextSendTime(),
		n.engine.NextRepairTime(),
		n.members.NextTimeout(),
	}
	if n.schedule.downProbeCount > 1 { // else the ordinary ticks suffice
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
	joining := len(n.members.LiveMembers()) == 1 || n.now.Sub(n.seeds.since) < joinPeriod
	if len(n.seeds.addresses) > 0 && n.seeds.due.Before(next) && joining {
		next = n.seeds.due
	}
	return next
}
