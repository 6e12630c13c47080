package member

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
)

// handleHeartbeat handles a member's heartbeat.
func (n *node) handleHeartbeat(now time.Time, request *heartbeatRequest) (response heartbeatResponse) {
	n.step(now, func() {
		response.Ack = n.acknowledge(request.Heartbeat)
		response.DifferingTables = n.engine.RecordSummary(now, request.Heartbeat.Name, request.Summary)
		n.recordContact(request.Heartbeat.Name)
	})
	return response
}

// recordContact records that a member has called or has responded to a call.
func (n *node) recordContact(name string) {
	n.engine.MarkResponsive(name)
	n.members.RecordContact(n.now, name)
}

// acknowledge records a heartbeat and returns its acknowledgement. If the member's entry has expired here in the version
// that the heartbeat names, or in a newer one of that incarnation, the entry would not be accepted again: the
// acknowledgement then requests the member to raise its sequence above the expired one.
func (n *node) acknowledge(heartbeat membership.Heartbeat) membership.HeartbeatAck {
	ack := n.members.ReceiveHeartbeat(n.now, heartbeat)
	expired, ok := n.engine.ExpiredVersion(gossip.TableMembers, heartbeat.Name)
	hasExpired := ok && expired.Major == heartbeat.Incarnation && expired.Minor >= heartbeat.Sequence
	if ack.Unknown && hasExpired {
		return membership.HeartbeatAck{RefuteAbove: max(expired.Minor, 1)}
	}
	return ack
}

// handlePush stores the entries of a pushed message and requests those of the offered entries that are missing here.
func (n *node) handlePush(now time.Time, message gossip.Message) (response pushResponse) {
	n.step(now, func() {
		n.recordContact(message.From)
		n.engine.Receive(now, message)
		response.Missing = n.engine.RequestMissing(now, message.Offers)
	})
	return response
}

// handleCompare handles the first call of a repair: it returns the contents of the buckets whose digests differ.
func (n *node) handleCompare(now time.Time, request *compareRequest) (response compareResponse) {
	n.step(now, func() {
		n.recordContact(request.Heartbeat.Name)
		response.Ack = n.acknowledge(request.Heartbeat)
		response.Buckets = n.engine.ListDifferingBuckets(request.Digests)
	})
	return response
}

// handleTransfer handles the second call of a repair: it stores the entries that it receives and returns the requested
// ones.
func (n *node) handleTransfer(now time.Time, request *transferRequest) (response transferResponse) {
	n.processAck(now, request.Ack)
	n.step(now, func() {
		n.engine.Receive(now, gossip.Message{From: request.From, Entries: request.Entries})
		n.expireEntries(request.Expired)
		response.Entries = n.engine.CollectEntries(request.Missing)
		response.Expired = n.engine.ExpiredHeaders(request.Entries)
		n.recordForgotten(response.Expired)
	})
	return response
}

// expireEntries removes entries that have expired at another member and would expire here too, but later: for example, a
// member that was restarted received a tombstone later than others. Until then the two members' tables would differ, and
// each heartbeat would find the difference.
func (n *node) expireEntries(headers []gossip.Header) {
	for _, header := range headers {
		switch {
		case header.Table == gossip.TableMembers && n.members.RemoveDownOrLeft(header.Key):
			n.forgetMember(header.Key)
		case header.Table == gossip.TableSuspicions:
			n.expireSuspicion(header)
		default:
			n.engine.ExpireTombstone(n.now, header)
		}
	}
}

// expireSuspicion removes a suspicion that another member has removed because the suspected member or the watcher was
// removed. A version that is newer than the expired one stays.
func (n *node) expireSuspicion(header gossip.Header) {
	entry, ok := n.engine.Get(header.Table, header.Key)
	if !ok || header.Version.Less(entry.Version) {
		return
	}
	if suspicion, err := decode[membership.Suspicion](entry); err == nil {
		n.members.RemoveSuspicion(suspicion)
	}
	n.engine.Expire(n.now, header.Table, header.Key)
}
