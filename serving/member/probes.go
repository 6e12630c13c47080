package member

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// Intervals of the probes.
const (
	suspicionProbeInterval    = 250 * time.Millisecond // between two rounds of probes of doubtful members and zones
	confirmationProbeInterval = 250 * time.Millisecond // between two rounds of probes of unconfirmed members
)

// planSuspicionProbes requests a repair with the members that have to be probed before they are marked as down.
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

// planConfirmationProbes requests a heartbeat to members of whose life there is no evidence.
func (n *node) planConfirmationProbes(calls *pendingCalls) {
	if n.now.Before(n.schedule.confirmProbe) || n.members.Self().State == state.MemberLeft {
		return
	}
	if !n.members.HasUnconfirmed() {
		return
	}
	n.schedule.confirmProbe = n.now.Add(confirmationProbeInterval)
	request := n.newHeartbeatRequest()
	for _, probe := range n.members.UnconfirmedToProbe(n.now, n.shuffleMembers) {
		call := probeCall{heartbeat: heartbeatCall{to: peerOf(probe.Member), request: request}}
		for _, relay := range probe.Relays {
			call.relays = append(call.relays, peerOf(relay))
		}
		calls.probes = append(calls.probes, call)
	}
}

// processProbeFailure records that a member didn't respond to a probe.
func (n *node) processProbeFailure(now time.Time, to gossip.Peer) {
	n.engine.MarkUnresponsive(now, to.Name)
	n.members.RecordProbeFailure(now, to.Name)
}

// processRelayedProbe records a relay's answer about a member, or that it gave none.
func (n *node) processRelayedProbe(now time.Time, name string, responded bool) {
	n.step(now, func() { n.members.RecordRelayedProbe(now, name, responded) })
}

// newRelayedHeartbeat returns the heartbeat to a member that another member has requested to probe; nil where the member
// isn't known.
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

// nextProbe returns the earlier of a time and that of the next round of probes.
func (n *node) nextProbe(next time.Time) time.Time {
	if n.members.HasMembersToProbe() && n.schedule.suspicionProbe.Before(next) {
		next = n.schedule.suspicionProbe
	}
	if n.members.HasUnconfirmed() && n.schedule.confirmProbe.Before(next) {
		next = n.schedule.confirmProbe
	}
	return next
}
