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
	probeInterval  = time.Second            // between two attempts to reach a member that is down
	doubtInterval  = 250 * time.Millisecond // between two attempts to reach zones that are in doubt
	reportInterval = time.Second            // least time between two log lines on the number of members
	idleInterval   = membership.HeartbeatInterval
)

// beatCall is a heartbeat that is to be sent.
type beatCall struct {
	to      gossip.Peer
	request heartbeatRequest
}

// repairCall is a comparison of digests that is to be made.
type repairCall struct {
	to      gossip.Peer // of a seed only the address is known
	request compareRequest
	seed    bool
}

// actions is what a node wants done now.
type actions struct {
	beats   []beatCall
	repairs []repairCall
	pushes  []gossip.Envelope
	next    time.Time // when the node is to be asked again
}

// tick returns what is due.
func (n *node) tick(now time.Time) (todo actions) {
	n.step(now, func() {
		n.watch()
		if !now.Before(n.schedule.beat) {
			n.routine(&todo)
		}
		n.planRepair(&todo)
		n.planProbe(&todo)
		n.planDoubt(&todo)
		n.planSeed(&todo)
		n.settle()
		todo.pushes = n.engine.TakeOutgoing(now)
	})
	n.report()
	todo.next = n.nextTick()
	return todo
}

// watch looks at the members that the own one watches and spreads what it finds.
func (n *node) watch() {
	words, forgotten := n.members.Tick(n.current)
	for _, word := range words {
		n.publishSuspicion(word)
	}
	for _, name := range forgotten {
		n.forgetMember(name)
	}
	n.settle()
}

// routine does what each heartbeat interval brings.
func (n *node) routine(todo *actions) {
	n.members.RecordDelay(n.current.Sub(n.schedule.beat))
	n.schedule.beat = n.current.Add(membership.HeartbeatInterval)
	n.schedule.beatCount++
	if n.members.Self().State == state.MemberLeft {
		return
	}
	todo.beats = n.beats()
}

// planRepair compares digests with a member where a difference was seen.
func (n *node) planRepair(todo *actions) {
	if n.members.Self().State == state.MemberLeft {
		return
	}
	if appointment, due := n.engine.TakeDueRepair(n.current); due {
		call := repairCall{to: appointment.Peer, request: n.compareRequest(appointment.Tables)}
		todo.repairs = append(todo.repairs, call)
	}
}

// beats returns the heartbeats that are due: to watchers in other regions only every few intervals.
func (n *node) beats() (calls []beatCall) {
	self := n.members.Self()
	request := heartbeatRequest{Beat: n.ownBeat(), Summary: n.engine.Summary()}
	remote := n.schedule.beatCount%membership.RemoteIntervalFactor == 0 || n.schedule.remoteAgain
	n.schedule.remoteAgain = false
	for _, watcher := range n.members.Watchers(self.Name) {
		if watcher.Region == self.Region || remote {
			calls = append(calls, beatCall{to: peerOf(watcher), request: request})
		}
	}
	return calls
}

// ownBeat names the own member and its newest word.
func (n *node) ownBeat() membership.Heartbeat {
	self := n.members.Self()
	return membership.Heartbeat{Name: self.Name, Incarnation: self.Incarnation, Sequence: self.Sequence}
}

// compareRequest asks for a comparison of some tables, or of all where none is named.
func (n *node) compareRequest(tables []gossip.TableID) compareRequest {
	return compareRequest{Beat: n.ownBeat(), Digest: n.engine.Digest(tables)}
}

// planProbe tries now and then to reach a member that is down, so that the two sides of a cut meet again.
func (n *node) planProbe(todo *actions) {
	if n.current.Before(n.schedule.probe) {
		return
	}
	n.schedule.probe = n.current.Add(probeInterval)
	down := n.members.DownMembers()
	if len(down) == 0 || n.members.Self().State == state.MemberLeft {
		return
	}
	target := peerOf(down[n.random.IntN(len(down))])
	todo.repairs = append(todo.repairs, repairCall{to: target, request: n.compareRequest(nil)})
}

// planDoubt tries to reach members of zones that seem to be out of reach, one of each zone at a time.
func (n *node) planDoubt(todo *actions) {
	if n.current.Before(n.schedule.doubt) || n.members.Self().State == state.MemberLeft {
		return
	}
	n.schedule.doubt = n.current.Add(doubtInterval)
	doubted := n.members.SuspectZoneMembers()
	n.random.Shuffle(len(doubted), func(i, j int) { doubted[i], doubted[j] = doubted[j], doubted[i] })
	tried := map[string]bool{}
	for _, member := range doubted {
		if !tried[member.Zone] {
			tried[member.Zone] = true
			todo.repairs = append(todo.repairs, repairCall{to: peerOf(member), request: n.compareRequest(nil)})
		}
	}
}

// planSeed calls a seed while nobody is known, or one that is not known as a member.
func (n *node) planSeed(todo *actions) {
	if n.members.Self().State == state.MemberLeft || n.current.Before(n.seeds.due) {
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
	address := n.seeds.take(n.current, len(peers) == 0, isMember)
	if address == "" {
		return
	}
	call := repairCall{to: gossip.Peer{Address: address}, request: n.compareRequest(nil), seed: true}
	todo.repairs = append(todo.repairs, call)
}

// forgetMember drops all entries of a member that went long ago.
func (n *node) forgetMember(name string) {
	n.engine.Forget(n.current, gossip.TableMembers, name)
	for _, word := range n.members.Suspicions() {
		if word.Member == name || word.Watcher == name {
			n.members.ForgetSuspicion(word)
			n.engine.Forget(n.current, gossip.TableSuspicions, word.Key())
		}
	}
}

// report logs how many members are live, if that has changed.
func (n *node) report() {
	if n.current.Before(n.schedule.report) {
		return
	}
	live := len(n.members.LiveMembers())
	if live == n.schedule.reported {
		return
	}
	if n.schedule.reported <= 1 && live > 1 {
		event.MeshJoined.Log(n.log).Uint64("incarnation", n.members.Self().Incarnation).Send()
	}
	n.schedule.report = n.current.Add(reportInterval)
	event.MembersChanged.Log(n.log).Int("live", live).Int("before", n.schedule.reported).Send()
	n.schedule.reported = live
}

// nextTick is the earliest time at which something is due.
func (n *node) nextTick() time.Time {
	next := n.current.Add(idleInterval)
	for _, due := range []time.Time{n.schedule.beat, n.engine.NextSendTime(), n.engine.NextRepairTime(),
		n.members.NextTimeout()} {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	if n.members.HasSuspectZones() && n.members.Self().State != state.MemberLeft && n.schedule.doubt.Before(next) {
		next = n.schedule.doubt
	}
	joining := len(n.members.LiveMembers()) == 1 || n.current.Sub(n.seeds.since) < joinSpan
	if len(n.seeds.addresses) > 0 && n.seeds.due.Before(next) && joining {
		next = n.seeds.due
	}
	return next
}
