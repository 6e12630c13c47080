package member

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/gossip"
)

// delayBetween returns the latency of a message without jitter.
func delayBetween(from, to *simNode) time.Duration {
	switch {
	case from.member.Region != to.member.Region:
		return 35 * time.Millisecond
	case from.member.Zone != to.member.Zone:
		return 900 * time.Microsecond
	default:
		return 100 * time.Microsecond
	}
}

// drawDelay returns the latency of a message including a random jitter.
func (s *simulation) drawDelay(from, to *simNode) time.Duration {
	delay := delayBetween(from, to)
	if s.jitter > 0 {
		delay += time.Duration(s.random.Int64N(int64(s.jitter)))
	}
	return delay
}

// transmit counts a message, a request or a response, and reports whether it arrives.
func (s *simulation) transmit(from, to *simNode, message any) bool {
	s.messageNumber++
	if s.countBytes {
		const overhead = 250 // of the HTTP header
		data, err := cbor.Marshal(message)
		require.NoError(s.t, err)
		s.bytes += len(data) + overhead
		if from.member.Region != to.member.Region {
			s.remoteBytes += len(data) + overhead
		}
	}
	return s.messageNumber != s.lostMessage && !s.blocked(from, to) && s.random.Float64() >= s.lossRate
}

// simCall simulates a call: serve runs at the called machine, and then either answered or failed at the caller, at the
// latest after the time-out.
func simCall[Request, Response any](s *simulation, from *simNode, address string, timeout time.Duration,
	request Request, serve func(*node, time.Time, Request) Response, answered func(Response), failed func()) {
	index := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.member.Address == address })
	to := s.nodes[index]
	incarnation := from.incarnations
	done := false
	s.calls++
	finish := func(run func()) func() {
		return func() {
			s.whenNotFrozen(from, incarnation, func() {
				if !done {
					done = true
					run()
				}
			})
		}
	}
	s.schedule(s.now.Add(timeout), finish(failed))
	if !s.transmit(from, to, request) || !to.powered {
		return
	}
	s.schedule(s.now.Add(s.drawDelay(from, to)), func() {
		if !to.running {
			s.schedule(s.now.Add(s.drawDelay(to, from)), finish(failed))
			return
		}
		s.whenNotFrozen(to, to.incarnations, func() {
			response := serve(to.node, s.now, request)
			if s.transmit(to, from, response) {
				s.schedule(s.now.Add(s.drawDelay(to, from)), finish(func() { answered(response) }))
			}
		})
	})
}

// startCalls simulates the calls that a node has decided on, as the type caller makes them in a real process.
func (s *simulation) startCalls(n *simNode, calls pendingCalls) {
	for _, heartbeat := range calls.heartbeats {
		s.sendHeartbeat(n, heartbeat, (*node).processHeartbeatFailure)
	}
	for _, probe := range calls.probes {
		s.sendHeartbeat(n, probe.heartbeat, (*node).processProbeFailure)
		for _, relay := range probe.relays {
			s.requestProbe(n, relay, probe.heartbeat.to)
		}
	}
	for _, repair := range calls.repairs {
		s.repair(n, repair)
	}
	for _, envelope := range calls.pushes {
		s.sendPush(n, envelope)
	}
}

func serveHeartbeat(n *node, now time.Time, request heartbeatRequest) heartbeatResponse {
	return n.handleHeartbeat(now, &request)
}

func servePush(n *node, now time.Time, message gossip.Message) pushResponse {
	return n.handlePush(now, message)
}

func serveCompare(n *node, now time.Time, request compareRequest) compareResponse {
	return n.handleCompare(now, &request)
}

func serveTransfer(n *node, now time.Time, request transferRequest) transferResponse {
	return n.handleTransfer(now, &request)
}

func (s *simulation) sendHeartbeat(n *simNode, heartbeat heartbeatCall, onFailure func(*node, time.Time, gossip.Peer)) {
	answered := func(response heartbeatResponse) {
		own := n.node.processHeartbeatResponse(s.now, heartbeat.to.Name, &response)
		if own == nil {
			return
		}
		message := gossip.Message{From: n.member.Name, Entries: []gossip.Entry{*own}}
		simCall(s, n, heartbeat.to.Address, defaultTimeout, message, servePush, func(pushResponse) {}, func() {})
	}
	failed := func() { onFailure(n.node, s.now, heartbeat.to) }
	simCall(s, n, heartbeat.to.Address, defaultTimeout, heartbeat.request, serveHeartbeat, answered, failed)
}

// requestProbe simulates a request to a relay to probe a member. Its response is simulated here rather than by simCall,
// because the relay responds only after it has made a call itself.
func (s *simulation) requestProbe(n *simNode, relay, to gossip.Peer) {
	incarnation := n.incarnations
	answered := false
	answer := func(responded bool) {
		s.whenNotFrozen(n, incarnation, func() {
			if !answered {
				answered = true
				n.node.processRelayedProbe(s.now, to.Name, responded)
			}
		})
	}
	s.schedule(s.now.Add(relayRequestTimeout), func() { answer(false) })
	relayNode := s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.member.Address == relay.Address })]
	respond := func(responded bool) {
		if s.transmit(relayNode, n, probeResponse{Responded: responded}) {
			s.schedule(s.now.Add(s.drawDelay(relayNode, n)), func() { answer(responded) })
		}
	}
	request := probeRequest{Member: to.Name}
	serve := func(relaying *node, _ time.Time, request probeRequest) struct{} {
		heartbeat := relaying.newRelayedHeartbeat(&request)
		if heartbeat == nil {
			respond(false)
			return struct{}{}
		}
		succeeded := func(response heartbeatResponse) {
			relaying.processHeartbeatResponse(s.now, heartbeat.to.Name, &response)
			respond(true)
		}
		simCall(s, relayNode, to.Address, relayedHeartbeatTimeout, heartbeat.request, serveHeartbeat, succeeded, func() { respond(false) })
		return struct{}{}
	}
	simCall(s, n, relay.Address, relayRequestTimeout, request, serve, func(struct{}) {}, func() { answer(false) })
}

func (s *simulation) sendPush(n *simNode, envelope gossip.Envelope) {
	retried, done := false, false
	retry := func() {
		if !retried && !done {
			retried = true
			n.node.engine.Retry(s.now, envelope)
		}
	}
	incarnation := n.incarnations
	s.schedule(s.now.Add(pushRetryDelay), func() { s.whenNotFrozen(n, incarnation, retry) })
	failed := func() {
		n.node.markUnresponsive(s.now, envelope.To.Name)
		retry()
	}
	succeeded := func(pushResponse) {
		done = true
		n.node.engine.MarkResponsive(envelope.To.Name)
	}
	answered := func(response pushResponse) {
		if len(response.Missing) == 0 {
			succeeded(response)
			return
		}
		message := gossip.Message{From: n.member.Name, Relay: envelope.Message.Relay}
		message.Entries = n.node.engine.CollectEntries(response.Missing)
		simCall(s, n, envelope.To.Address, defaultTimeout, message, servePush, succeeded, failed)
	}
	simCall(s, n, envelope.To.Address, defaultTimeout, envelope.Message, servePush, answered, failed)
}

func (s *simulation) repair(n *simNode, repair repairCall) {
	finished := func() {
		if repair.toSeed {
			n.node.seeds.finish(repair.to.Address)
		}
	}
	failed := func() {
		finished()
		if repair.to.Name != "" {
			n.node.markUnresponsive(s.now, repair.to.Name)
		}
	}
	answered := func(response compareResponse) {
		request, needed := n.node.processCompareResponse(s.now, repair.to.Name, &response)
		if !needed {
			finished()
			return
		}
		transferred := func(response transferResponse) {
			finished()
			n.node.processTransferResponse(s.now, repair.to.Name, &response)
		}
		simCall(s, n, repair.to.Address, bulkTimeout, request, serveTransfer, transferred, finished)
	}
	simCall(s, n, repair.to.Address, defaultTimeout, repair.request, serveCompare, answered, failed)
}
