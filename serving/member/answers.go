package member

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
)

// heartbeat answers a member that the own process may be watcher of.
func (n *node) heartbeat(now time.Time, request *heartbeatRequest) (response heartbeatResponse) {
	n.step(now, func() {
		response.Heard = n.hear(request.Beat)
		response.Differs = n.engine.RecordSummary(now, request.Beat.Name, request.Summary)
		n.contacted(request.Beat.Name)
	})
	return response
}

// contacted notes that a call of a member, or its answer to one, has come.
func (n *node) contacted(name string) {
	n.engine.MarkResponsive(name)
	n.members.RecordContact(n.current, name)
}

// hear takes in a sign of life. A member that was forgotten is told to speak with a higher sequence.
func (n *node) hear(beat membership.Heartbeat) membership.HeartbeatAck {
	heard := n.members.ReceiveHeartbeat(n.current, beat)
	expired, ok := n.engine.ExpiredVersion(gossip.TableMembers, beat.Name)
	if heard.Unknown && ok && expired.Major == beat.Incarnation && expired.Minor >= beat.Sequence {
		return membership.HeartbeatAck{RefuteAbove: max(expired.Minor, 1)}
	}
	return heard
}

// receive takes in a message.
func (n *node) receive(now time.Time, message gossip.Message) (response pushResponse) {
	n.step(now, func() {
		n.contacted(message.From)
		n.engine.Receive(now, message)
		response.Wanted = n.engine.RequestMissing(now, message.Offers)
	})
	return response
}

// compare answers the first call of a repair.
func (n *node) compare(now time.Time, request *compareRequest) (response compareResponse) {
	n.step(now, func() {
		n.contacted(request.Beat.Name)
		response.Heard = n.hear(request.Beat)
		response.Listings = n.engine.ListDifferingBuckets(request.Digest)
	})
	return response
}

// transfer answers the second call of a repair.
func (n *node) transfer(now time.Time, request *transferRequest) (response transferResponse) {
	n.heard(now, request.Heard)
	n.step(now, func() {
		n.engine.Receive(now, gossip.Message{From: request.From, Entries: request.Entries})
		n.expire(request.Expired)
		response.Entries = n.engine.CollectEntries(request.Wanted)
		response.Expired = n.engine.ExpiredHeaders(request.Entries)
	})
	return response
}

// heard takes in the answer to a sign of life. It returns an entry of the own member that the other lacks.
func (n *node) heard(now time.Time, heard membership.HeartbeatAck) (own *gossip.Entry) {
	n.step(now, func() {
		if heard.RefuteAbove > 0 {
			if _, refuted := n.members.Refute(now, heard.RefuteAbove); refuted {
				n.refuted = true
			}
		}
	})
	if !heard.Unknown && heard.RefuteAbove == 0 {
		return nil
	}
	entry, err := memberEntry(n.members.Self())
	if err != nil {
		return nil
	}
	return &entry
}

// beatAnswered takes in a watcher's answer.
func (n *node) beatAnswered(now time.Time, from string, response *heartbeatResponse) (own *gossip.Entry) {
	n.step(now, func() { n.contacted(from) })
	n.engine.RecordDifference(now, from, response.Differs)
	return n.heard(now, response.Heard)
}

// beatFailed tells that a heartbeat has had no answer.
func (n *node) beatFailed(now time.Time, to gossip.Peer) {
	n.engine.MarkUnresponsive(now, to.Name)
	if to.Region != n.members.Self().Region {
		n.schedule.remoteAgain = true
	}
}

// compared takes in the answer to the first call of a repair and returns the second one.
func (n *node) compared(now time.Time, from string, response *compareResponse) (request transferRequest, needed bool) {
	n.step(now, func() { n.contacted(from) })
	own := n.heard(now, response.Heard)
	request.Heard = n.members.DownNotice(from)
	request.From = n.members.Self().Name
	found := n.engine.CompareBuckets(response.Listings)
	request.Entries, request.Wanted, request.Expired = found.Send, found.Missing, found.Expired
	if own != nil && len(response.Listings) == 0 {
		request.Entries = append(request.Entries, *own)
	}
	needed = len(request.Entries)+len(request.Wanted)+len(request.Expired) > 0 || request.Heard.RefuteAbove > 0
	return request, needed
}

// transferred takes in the answer to the second call of a repair.
func (n *node) transferred(now time.Time, from string, response *transferResponse) {
	n.step(now, func() {
		n.engine.Receive(now, gossip.Message{From: from, Entries: response.Entries})
		n.expire(response.Expired)
	})
}

// expire forgets what another member has forgotten already: what is gone here too, only for less long, such as after
// a start in the meantime. Otherwise the two would find a difference at each heartbeat until it expires here.
func (n *node) expire(headings []gossip.Header) {
	for _, heading := range headings {
		switch {
		case heading.Table == gossip.TableMembers && n.members.RemoveTerminated(heading.Key):
			n.forgetMember(heading.Key)
		case heading.Table == gossip.TableSuspicions:
			n.expireSuspicion(heading)
		default:
			n.engine.ExpireTombstone(n.current, heading)
		}
	}
}

// expireSuspicion forgets a suspicion that others dropped with its member or its watcher.
func (n *node) expireSuspicion(heading gossip.Header) {
	entry, ok := n.engine.Get(heading.Table, heading.Key)
	if !ok || heading.Version.Less(entry.Version) {
		return
	}
	if word, err := decode[membership.Suspicion](entry); err == nil {
		n.members.ForgetSuspicion(word)
	}
	n.engine.Forget(n.current, heading.Table, heading.Key)
}
