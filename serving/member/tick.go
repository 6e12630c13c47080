package member

import (
	"time"

	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/state"
)

// Times of a node's routine.
const (
	downProbeInterval        = time.Second            // between two attempts to reach a member that is down
	suspectZoneProbeInterval = 250 * time.Millisecond // between two attempts to reach zones that are in doubt
	sizeLogInterval          = time.Second            // least time between two log lines on the number of members
	maxTickInterval          = membership.HeartbeatInterval
)

// heartbeatCall is a heartbeat that is to be sent.
type heartbeatCall struct {
	to      gossip.Peer
	request heartbeatRequest
}

// repairCall is a comparison of digests that is to be made.
type repairCall struct {
	to      gossip.Peer // of a seed only the address is known
	request compareRequest
	seed    bool
}

// pendingCalls is what a node wants done now.
type pendingCalls struct {
	heartbeats []heartbeatCall
	repairs    []repairCall
	pushes     []gossip.Envelope
	next       time.Time // when the node is to be asked again
}

// tick returns what is due.
func (n *node) tick(now time.Time) (todo pendingCalls) {
	n.step(now, func() {
		n.tickMembership()
		if !now.Before(n.schedule.heartbeat) {
			n.planHeartbeats(&todo)
		}
		n.planRepair(&todo)
		n.planDownProbe(&todo)
		n.planSuspectZoneProbes(&todo)
		n.planSeed(&todo)
		n.finishStep()
		todo.pushes = n.engine.TakeOutgoing(now)
	})
	n.logSize()
	todo.next = n.nextTick()
	return todo
}

// tickMembership looks at the members that the own one watches and spreads what it finds.
func (n *node) tickMembership() {
	words, forgotten := n.members.Tick(n.now)
	for _, word := range words {
		n.publishSuspicion(word)
	}
	for _, name := range forgotten {
		n.forgetMember(name)
	}
	n.finishStep()
}

// planHeartbeats does what each heartbeat interval brings.
func (n *node) planHeartbeats(todo *pendingCalls) {
	n.members.RecordDelay(n.now.Sub(n.schedule.heartbeat))
	n.schedule.heartbeat = n.now.Add(membership.HeartbeatInterval)
	n.schedule.heartbeatCount++
	if n.members.Self().State == state.MemberLeft {
		return
	}
	todo.heartbeats = n.heartbeatCalls()
}

// planRepair compares digests with a member where a difference was seen.
func (n *node) planRepair(todo *pendingCalls) {
	if n.members.Self().State == state.MemberLeft {
		return
	}
	if appointment, due := n.engine.TakeDueRepair(n.now); due {
		call := repairCall{to: appointment.Peer, request: n.newCompareRequest(appointment.Tables)}
		todo.repairs = append(todo.repairs, call)
	}
}

// heartbeatCalls returns the heartbeats that are due: to watchers in other regions only every few intervals.
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

// ownHeartbeat names the own member and its newest word.
func (n *node) ownHeartbeat() membership.Heartbeat {
	self := n.members.Self()
	return membership.Heartbeat{Name: self.Name, Incarnation: self.Incarnation, Sequence: self.Sequence}
}

// newCompareRequest asks for a comparison of some tables, or of all where none is named.
func (n *node) newCompareRequest(tables []gossip.TableID) compareRequest {
	return compareRequest{Heartbeat: n.ownHeartbeat(), Digests: n.engine.Digest(tables)}
}

// planDownProbe tries now and then to reach a member that is down, so that the two sides of a cut meet again.
func (n *node) planDownProbe(todo *pendingCalls) {
	if n.now.Before(n.schedule.downProbe) {
		return
	}
	n.schedule.downProbe = n.now.Add(downProbeInterval)
	down := n.members.DownMembers()
	if len(down) == 0 || n.members.Self().State == state.MemberLeft {
		return
	}
	target := peerOf(down[n.random.IntN(len(down))])
	todo.repairs = append(todo.repairs, repairCall{to: target, request: n.newCompareRequest(nil)})
}

// planSuspectZoneProbes tries to reach members of zones that seem to be out of reach, one of each zone at a time.
func (n *node) planSuspectZoneProbes(todo *pendingCalls) {
	if n.now.Before(n.schedule.suspectZoneProbe) || n.members.Self().State == state.MemberLeft {
		return
	}
	n.schedule.suspectZoneProbe = n.now.Add(suspectZoneProbeInterval)
	doubted := n.members.SuspectZoneMembers()
	n.random.Shuffle(len(doubted), func(i, j int) { doubted[i], doubted[j] = doubted[j], doubted[i] })
	tried := map[string]bool{}
	for _, member := range doubted {
		if !tried[member.Zone] {
			tried[member.Zone] = true
			todo.repairs = append(todo.repairs, repairCall{to: peerOf(member), request: n.newCompareRequest(nil)})
		}
	}
}

// planSeed calls a seed while nobody is known, or one that is not known as a member.
func (n *node) planSeed(todo *pendingCalls) {
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
	todo.repairs = append(todo.repairs, call)
}

// forgetMember drops all entries of a member that went long ago.
func (n *node) forgetMember(name string) {
	n.engine.Forget(n.now, gossip.TableMembers, name)
	for _, word := range n.members.Suspicions() {
		if word.Member == name || word.Watcher == name {
			n.members.ForgetSuspicion(word)
			n.engine.Forget(n.now, gossip.TableSuspicions, word.Key())
		}
	}
}

// logSize logs how many members are live, if that has changed.
func (n *node) logSize() {
	if n.now.Before(n.schedule.sizeLog) {
		return
	}
	live := len(n.members.LiveMembers())
	if live == n.schedule.loggedSize {
		return
	}
	if n.schedule.loggedSize <= 1 && live > 1 {
		event.MeshJoined.Log(n.log).Uint64("incarnation", n.members.Self().Incarnation).Send()
	}
	n.schedule.sizeLog = n.now.Add(sizeLogInterval)
	event.MembersChanged.Log(n.log).Int("live", live).Int("before", n.schedule.loggedSize).Send()
	n.schedule.loggedSize = live
}

// nextTick is the earliest time at which something is due.
func (n *node) nextTick() time.Time {
	next := n.now.Add(maxTickInterval)
	for _, due := range []time.Time{n.schedule.heartbeat, n.engine.NextSendTime(), n.engine.NextRepairTime(),
		n.members.NextTimeout()} {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	if n.members.HasSuspectZones() && n.members.Self().State != state.MemberLeft && n.schedule.suspectZoneProbe.Before(next) {
		next = n.schedule.suspectZoneProbe
	}
	joining := len(n.members.LiveMembers()) == 1 || n.now.Sub(n.seeds.since) < joinPeriod
	if len(n.seeds.addresses) > 0 && n.seeds.due.Before(next) && joining {
		next = n.seeds.due
	}
	return next
}
