package member

import (
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
)

// processAck applies the acknowledgement of a heartbeat, which the messages of a repair carry too. If another member
// suspects the local one or has it marked as down, the local one refutes that with a higher sequence. processAck returns
// the local member's entry if the other member needs it.
func (n *node) processAck(now time.Time, ack membership.HeartbeatAck) (own *gossip.Entry) {
	n.step(now, func() {
		if ack.RefuteAbove == 0 {
			return
		}
		if _, refuted := n.members.Refute(now, ack.RefuteAbove); refuted {
			n.selfRefuted = true
		}
	})
	if !ack.Unknown && ack.RefuteAbove == 0 {
		return nil
	}
	entry, err := memberEntry(n.members.Self())
	if err != nil {
		return nil
	}
	return &entry
}

// processHeartbeatResponse applies a member's response to a heartbeat. It returns the local member's entry if that member
// needs it.
func (n *node) processHeartbeatResponse(now time.Time, from string, response *heartbeatResponse) (own *gossip.Entry) {
	n.step(now, func() { n.recordContact(from) })
	n.engine.RecordDifference(now, from, response.DifferingTables)
	return n.processAck(now, response.Ack)
}

// markUnresponsive records, for gossip and the failure detector, that a member didn't respond to a call.
func (n *node) markUnresponsive(now time.Time, name string) {
	n.engine.MarkUnresponsive(now, name)
	n.members.RecordNoResponse(now, name)
}

// processHeartbeatFailure records that a heartbeat got no response. After one to another region, the next interval's
// heartbeats go to other regions too, since the regular ones are RemoteIntervalFactor intervals apart.
func (n *node) processHeartbeatFailure(now time.Time, to gossip.Peer) {
	n.markUnresponsive(now, to.Name)
	if to.Region != n.members.Self().Region {
		n.schedule.retryRemote = true
	}
}

// processCompareResponse applies the response to the first call of a repair and returns the request of the second call,
// which is needed if there are entries to transfer or the peer has to refute that it is down.
func (n *node) processCompareResponse(now time.Time, from string,
	response *compareResponse) (request transferRequest, needed bool) {
	n.step(now, func() {
		n.recordContact(from)
		if n.members.IsDown(from) || n.isForgotten(from) {
			n.scheduleFurtherDownProbes()
		}
	})
	own := n.processAck(now, response.Ack)
	comparison := n.engine.CompareBuckets(response.Buckets)
	n.recordForgotten(comparison.Expired)
	request = transferRequest{
		From:    n.members.Self().Name,
		Entries: comparison.Send,
		Missing: comparison.Missing,
		Ack:     n.refutationNotice(from),
		Expired: comparison.Expired,
	}
	if own != nil && len(response.Buckets) == 0 {
		request.Entries = append(request.Entries, *own)
	}
	transfers := len(request.Entries) + len(request.Missing) + len(request.Expired)
	return request, transfers > 0 || request.Ack.RefuteAbove > 0
}

// processTransferResponse applies the response to the second call of a repair.
func (n *node) processTransferResponse(now time.Time, from string, response *transferResponse) {
	n.step(now, func() {
		n.engine.Receive(now, gossip.Message{From: from, Entries: response.Entries})
		n.expireEntries(response.Expired)
	})
}
