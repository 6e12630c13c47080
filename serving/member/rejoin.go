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
	downProbeInterval = time.Second // between two calls to members that are down
	// maxDownProbes is the most members that are down that are called at once.
	maxDownProbes = 8
)

// planDownProbe requests a repair with random members that are down or forgotten, so that the sides of a healed
// partition merge.
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

// scheduleFurtherDownProbes makes the next probes of members that are down due at once, and more of them, after one has
// responded: a partition has healed, and the others will respond too.
func (n *node) scheduleFurtherDownProbes() {
	n.schedule.downProbe = n.now
	n.schedule.downProbeCount = min(n.schedule.downProbeCount+1, maxDownProbes)
}

// membersToRejoin returns the members that are down or forgotten.
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

// recordForgotten records the members among expired entries that another member still has. They were down here until
// they were removed, and may run again with the version that has expired here; only themselves can raise it.
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

// isForgotten reports whether a member was removed here and hasn't come back, and another member has it.
func (n *node) isForgotten(name string) bool {
	_, recorded := n.forgotten[name]
	_, known := n.members.Member(name)
	_, expired := n.engine.ExpiredVersion(gossip.TableMembers, name)
	return recorded && !known && expired
}

// refutationNotice returns the acknowledgement for a member that has just responded to a call: it makes the member
// refute that it is down or forgotten here.
func (n *node) refutationNotice(name string) membership.HeartbeatAck {
	if n.isForgotten(name) {
		version, _ := n.engine.ExpiredVersion(gossip.TableMembers, name)
		return membership.HeartbeatAck{RefuteAbove: max(version.Minor, 1)}
	}
	return n.members.RefutationNotice(name)
}
