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
	downProbeInterval = time.Second // between two calls to members that are down
	// maxDownProbes is the most members that are down that are called at once.
	maxDownProbes          = 8
	suspicionProbeInterval = 250 * time.Millisecond // between two rounds of probes of doubtful members and zones
	sizeLogInterval        = time.Second            // least time between two log lines about the number of members
	maxTickInterval        = membership.HeartbeatInterval
)

// heartbeatCall is a heartbeat to be sent.
type heartbeatCall struct {
	to      gossip.Peer
	request heartbeatRequest
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
// interval.
func (n *node) heartbeatCalls() (calls []heartbeatCall) {
	self := n.members.Self()
	request := heartbeatRequest{Heartbeat: n.ownHeartbeat(), Summary: n.engine.Summary()}
	remote := n.schedule.heartbeatCount%membership.RemoteIntervalFactor == 0 || n.schedule.retryRemote
	n.schedule.retryRemote = false
	for _, watcher := range n.members.Watchers(self.Name) {
		if watcher.Region == self.Region || remote {
			calls = append(calls, heartbeatCall{to: peerOf(watcher), request: request})
		}
	}
	return calls
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

// planDownProbe requests a repair with random members that are down, so that the sides of a healed partition merge.
func (n *node) planDownProbe(calls *pendingCalls) {
	if n.now.Before(n.schedule.downProbe) {
		return
	}
	n.schedule.downProbe = n.now.Add(downProbeInterval)
	down := n.members.DownMembers()
	if len(down) == 0 || n.members.Self().State == state.MemberLeft {
		n.schedule.downProbeCount = 1
		return
	}
	n.random.Shuffle(len(down), func(i, j int) { down[i], down[j] = down[j], down[i] })
	for _, member := range down[:min(n.schedule.downProbeCount, len(down))] {
		calls.repairs = append(calls.repairs, repairCall{to: peerOf(member), request: n.newCompareRequest(nil)})
	}
	n.schedule.downProbeCount = 1
}

// scheduleFurtherDownProbes makes the next probes of members that are down due at once, and more of them, after one has
// responded: a partition has healed, and the others will respond too.
func (n *node) scheduleFurtherDownProbes() {
	n.schedule.downProbe = n.now
	n.schedule.downProbeCount = min(n.schedule.downProbeCount+1, maxDownProbes)
}

// planSuspicionProbes requests a repair with the members that have to be probed before they are marked as down.
func (n *node) planSuspicionProbes(calls *pendingCalls) {
	if n.now.Before(n.schedule.suspicionProbe) || n.members.Self().State == state.MemberLeft {
		return
	}
	if !n.members.HasMembersToProbe() {
		return
	}
	n.schedule.suspicionProbe = n.now.Add(suspicionProbeInterval)
	shuffle := func(members []state.Member) {
		n.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	}
	for _, member := range n.members.MembersToProbe(n.now, shuffle) {
		calls.repairs = append(calls.repairs, repairCall{to: peerOf(member), request: n.newCompareRequest(nil)})
	}
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
	n.engine.Forget(n.now, gossip.TableMembers, name)
	for _, suspicion := range n.members.Suspicions() {
		if suspicion.Member == name || suspicion.Watcher == name {
			n.members.ForgetSuspicion(suspicion)
			n.engine.Forget(n.now, gossip.TableSuspicions, suspicion.Key())
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
	probes := n.members.HasMembersToProbe() && n.members.Self().State != state.MemberLeft
	if probes && n.schedule.suspicionProbe.Before(next) {
		next = n.schedule.suspicionProbe
	}
	joining := len(n.members.LiveMembers()) == 1 || n.now.Sub(n.seeds.since) < joinPeriod
	if len(n.seeds.addresses) > 0 && n.seeds.due.Before(next) && joining {
		next = n.seeds.due
	}
	return next
}
