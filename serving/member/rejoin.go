package member

import (
	"maps"
	"slices"
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/state"
)

const (
	// downProbeInterval is the time between two probes of members that are down.
	downProbeInterval = time.Second
	// maxDownProbes bounds the number of members that are down and are called at once.
	maxDownProbes = 8
)

// planDownProbe adds repairs with random members that are down or forgotten to the calls, so that the two sides of a
// partition merge after it has healed.
func (n *node) planDownProbe(calls *pendingCalls) {
	if n.now.Before(n.schedule.downProbe) {
		return
	}
	n.schedule.downProbe = n.now.Add(downProbeInterval)
	count := n.schedule.downProbeCount
	n.schedule.downProbeCount = 1
	if n.members.Self().State == state.MemberLeft {
		return
	}
	down := n.membersToRejoin()
	n.random.Shuffle(len(down), func(i, j int) { down[i], down[j] = down[j], down[i] })
	for _, peer := range down[:min(count, len(down))] {
		calls.repairs = append(calls.repairs, repairCall{to: peer, request: n.newCompareRequest(nil)})
	}
}

// scheduleFurtherDownProbes is called after a member that was down has responded. It makes the next down probe due at once
// and raises the number of members that it calls by one: a partition has probably healed, so that others will respond too.
func (n *node) scheduleFurtherDownProbes() {
	n.schedule.downProbe = n.now
	n.schedule.downProbeCount = min(n.schedule.downProbeCount+1, maxDownProbes)
}

// membersToRejoin returns the members that are down or forgotten. It also deletes members from n.forgotten that are no longer
// forgotten, see isForgotten.
func (n *node) membersToRejoin() (peers []gossip.Peer) {
	for _, member := range n.members.DownMembers() {
		peers = append(peers, peerOf(member))
	}
	for _, name := range slices.Sorted(maps.Keys(n.forgotten)) {
		if n.isForgotten(name) {
			peers = append(peers, n.forgotten[name])
		} else {
			delete(n.forgotten, name)
		}
	}
	return peers
}

// recordForgotten takes the headers of entries that have expired here but not at another member, and records the members
// among them as forgotten. Such a member was down here until it was removed, but may be running. Its expired version isn't
// accepted here again, and only the member itself can issue a newer one. So down probes call it, and request it to do that.
func (n *node) recordForgotten(expired []gossip.Header) {
	for _, header := range expired {
		if header.Table != gossip.TableMembers {
			continue
		}
		entry, ok := n.engine.ExpiredEntry(header.Table, header.Key)
		member, err := decode[state.Member](entry)
		if ok && err == nil && member.State != state.MemberLeft {
			n.forgotten[member.Name] = peerOf(member)
		}
	}
}

// isForgotten reports whether a member is forgotten: it was removed here after it was down and hasn't rejoined, but another
// member still had its entry.
func (n *node) isForgotten(name string) bool {
	_, recorded := n.forgotten[name]
	_, known := n.members.Member(name)
	_, expired := n.engine.ExpiredVersion(gossip.TableMembers, name)
	return recorded && !known && expired
}

// refutationNotice returns the acknowledgement to send to a member that has just responded to a call. If the member is down
// or forgotten here, the acknowledgement makes it refute that by raising its sequence.
func (n *node) refutationNotice(name string) membership.HeartbeatAck {
	if n.isForgotten(name) {
		version, _ := n.engine.ExpiredVersion(gossip.TableMembers, name)
		return membership.HeartbeatAck{RefuteAbove: max(version.Minor, 1)}
	}
	return n.members.RefutationNotice(name)
}
