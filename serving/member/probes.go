package member

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// Intervals of the probes.
const (
	suspicionProbeInterval    = 250 * time.Millisecond // between two rounds of planSuspicionProbes
	confirmationProbeInterval = 250 * time.Millisecond // between two rounds of planConfirmationProbes
)

// planSuspicionProbes adds repairs to the calls with suspected members, and members of suspect zones, that have to be probed
// before they may be marked as down. A member that responds also learns that it has to refute suspicions.
func (n *node) planSuspicionProbes(calls *pendingCalls) {
	if n.now.Before(n.schedule.suspicionProbe) || n.members.Self().State == state.MemberLeft {
		return
	}
	if !n.members.HasMembersToProbe() {
		return
	}
	n.schedule.suspicionProbe = n.now.Add(suspicionProbeInterval)
	for _, member := range n.members.MembersToProbe(n.now, n.shuffleMembers) {
		calls.repairs = append(calls.repairs, repairCall{to: peerOf(member), request: n.newCompareRequest(nil)})
	}
}

// planConfirmationProbes adds probes of unconfirmed members to the calls: nobody suspects such a member, but there is no
// recent evidence either that it is alive, because its watchers may have died with it.
func (n *node) planConfirmationProbes(calls *pendingCalls) {
	if n.now.Before(n.schedule.confirmationProbe) || n.members.Self().State == state.MemberLeft {
		return
	}
	if !n.members.HasUnconfirmed() {
		return
	}
	n.schedule.confirmationProbe = n.now.Add(confirmationProbeInterval)
	request := n.newHeartbeatRequest()
	for _, probe := range n.members.UnconfirmedToProbe(n.now, n.shuffleMembers) {
		call := probeCall{heartbeat: heartbeatCall{to: peerOf(probe.Member), request: request}}
		for _, relay := range probe.Relays {
			call.relays = append(call.relays, peerOf(relay))
		}
		calls.probes = append(calls.probes, call)
	}
}

// processProbeFailure records that a member didn't respond to a direct probe.
func (n *node) processProbeFailure(now time.Time, to gossip.Peer) {
	n.engine.MarkUnresponsive(now, to.Name)
	n.members.RecordProbeFailure(now, to.Name)
}

// processRelayedProbe records the result of an indirect probe: whether the member responded to the relay. If the relay
// itself didn't answer, responded is false.
func (n *node) processRelayedProbe(now time.Time, name string, responded bool) {
	n.step(now, func() { n.members.RecordRelayedProbe(now, name, responded) })
}

// newRelayedHeartbeat returns the heartbeat with which the local member, as a relay, probes a member at the request of
// another one; nil if the member to probe isn't known.
func (n *node) newRelayedHeartbeat(request *probeRequest) *heartbeatCall {
	member, known := n.members.Member(request.Member)
	if !known {
		return nil
	}
	return &heartbeatCall{to: peerOf(member), request: n.newHeartbeatRequest()}
}

// shuffleMembers puts members into a random order.
func (n *node) shuffleMembers(members []state.Member) {
	n.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// nextProbe returns the time of the next round of probes, or the given time if that is earlier.
func (n *node) nextProbe(next time.Time) time.Time {
	if n.members.HasMembersToProbe() && n.schedule.suspicionProbe.Before(next) {
		next = n.schedule.suspicionProbe
	}
	if n.members.HasUnconfirmed() && n.schedule.confirmationProbe.Before(next) {
		next = n.schedule.confirmationProbe
	}
	return next
}
