package member

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
)

// answerHeartbeat answers a member that the own process may be watcher of.
func (n *node) answerHeartbeat(now time.Time, request *heartbeatRequest) (response heartbeatResponse) {
	n.step(now, func() {
		response.Ack = n.acknowledge(request.Heartbeat)
		response.DifferingTables = n.engine.RecordSummary(now, request.Heartbeat.Name, request.Summary)
		n.recordContact(request.Heartbeat.Name)
	})
	return response
}

// recordContact notes that a call of a member, or its answer to one, has come.
func (n *node) recordContact(name string) {
	n.engine.MarkResponsive(name)
	n.members.RecordContact(n.now, name)
}

// acknowledge takes in a sign of life. A member that was forgotten is told to speak with a higher sequence.
func (n *node) acknowledge(beat membership.Heartbeat) membership.HeartbeatAck {
	heard := n.members.ReceiveHeartbeat(n.now, beat)
	expired, ok := n.engine.ExpiredVersion(gossip.TableMembers, beat.Name)
	if heard.Unknown && ok && expired.Major == beat.Incarnation && expired.Minor >= beat.Sequence {
		return membership.HeartbeatAck{RefuteAbove: max(expired.Minor, 1)}
	}
	return heard
}

// answerPush takes in a message.
func (n *node) answerPush(now time.Time, message gossip.Message) (response pushResponse) {
	n.step(now, func() {
		n.recordContact(message.From)
		n.engine.Receive(now, message)
		response.Missing = n.engine.RequestMissing(now, message.Offers)
	})
	return response
}

// answerCompare answers the first call of a repair.
func (n *node) answerCompare(now time.Time, request *compareRequest) (response compareResponse) {
	n.step(now, func() {
		n.recordContact(request.Heartbeat.Name)
		response.Ack = n.acknowledge(request.Heartbeat)
		response.Buckets = n.engine.ListDifferingBuckets(request.Digests)
	})
	return response
}

// answerTransfer answers the second call of a repair.
func (n *node) answerTransfer(now time.Time, request *transferRequest) (response transferResponse) {
	n.processAck(now, request.Ack)
	n.step(now, func() {
		n.engine.Receive(now, gossip.Message{From: request.From, Entries: request.Entries})
		n.expireEntries(request.Expired)
		response.Entries = n.engine.CollectEntries(request.Missing)
		response.Expired = n.engine.ExpiredHeaders(request.Entries)
	})
	return response
}

// processAck takes in the answer to a sign of life. It returns an entry of the own member that the other lacks.
func (n *node) processAck(now time.Time, heard membership.HeartbeatAck) (own *gossip.Entry) {
	n.step(now, func() {
		if heard.RefuteAbove > 0 {
			if _, refuted := n.members.Refute(now, heard.RefuteAbove); refuted {
				n.selfRefuted = true
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

// processHeartbeatResponse takes in a watcher's answer.
func (n *node) processHeartbeatResponse(now time.Time, from string, response *heartbeatResponse) (own *gossip.Entry) {
	n.step(now, func() { n.recordContact(from) })
	n.engine.RecordDifference(now, from, response.DifferingTables)
	return n.processAck(now, response.Ack)
}

// processHeartbeatFailure tells that a heartbeat has had no answer.
func (n *node) processHeartbeatFailure(now time.Time, to gossip.Peer) {
	n.engine.MarkUnresponsive(now, to.Name)
	if to.Region != n.members.Self().Region {
		n.schedule.retryRemote = true
	}
}

// processCompareResponse takes in the answer to the first call of a repair and returns the second one.
func (n *node) processCompareResponse(now time.Time, from string, response *compareResponse) (request transferRequest, needed bool) {
	n.step(now, func() { n.recordContact(from) })
	own := n.processAck(now, response.Ack)
	request.Ack = n.members.DownNotice(from)
	request.From = n.members.Self().Name
	found := n.engine.CompareBuckets(response.Buckets)
	request.Entries, request.Missing, request.Expired = found.Send, found.Missing, found.Expired
	if own != nil && len(response.Buckets) == 0 {
		request.Entries = append(request.Entries, *own)
	}
	needed = len(request.Entries)+len(request.Missing)+len(request.Expired) > 0 || request.Ack.RefuteAbove > 0
	return request, needed
}

// processTransferResponse takes in the answer to the second call of a repair.
func (n *node) processTransferResponse(now time.Time, from string, response *transferResponse) {
	n.step(now, func() {
		n.engine.Receive(now, gossip.Message{From: from, Entries: response.Entries})
		n.expireEntries(response.Expired)
	})
}

// expireEntries forgets what another member has forgotten already: what is gone here too, only for less long, such as after
// a start in the meantime. Otherwise the two would find a difference at each heartbeat until it expires here.
func (n *node) expireEntries(headings []gossip.Header) {
	for _, heading := range headings {
		switch {
		case heading.Table == gossip.TableMembers && n.members.RemoveTerminated(heading.Key):
			n.forgetMember(heading.Key)
		case heading.Table == gossip.TableSuspicions:
			n.expireSuspicion(heading)
		default:
			n.engine.ExpireTombstone(n.now, heading)
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
	n.engine.Forget(n.now, heading.Table, heading.Key)
}
