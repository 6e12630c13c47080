package member

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/gossip"
)

// delayBetween is the time that one way takes.
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

// way plays one way of a call; it returns false where the way is lost.
func (s *simulation) way(from, to *simNode, message any) bool {
	s.callNumber++
	if s.countBytes {
		const overhead = 250 // HTTP's head
		data, err := cbor.Marshal(message)
		require.NoError(s.t, err)
		s.bytes += len(data) + overhead
		if from.member.Region != to.member.Region {
			s.remoteBytes += len(data) + overhead
		}
	}
	return s.callNumber != s.loseNumber && !s.blocked(from, to) && s.random.Float64() >= s.lost
}

// simCall plays a call. Either answered or failed is called on the caller, at the latest after the time-out.
func simCall[Request, Response any](s *simulation, from *simNode, address string, timeout time.Duration,
	request Request, serve func(*node, time.Time, Request) Response, answered func(Response), failed func()) {
	index := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.member.Address == address })
	to, life, done := s.nodes[index], from.life, false
	s.calls++
	finish := func(run func()) func() {
		return func() {
			s.whenAwake(from, life, func() {
				if !done {
					done = true
					run()
				}
			})
		}
	}
	s.at(s.now.Add(timeout), finish(failed))
	if !s.way(from, to, request) || !to.powered {
		return
	}
	delay := delayBetween(from, to)
	s.at(s.now.Add(delay), func() {
		if !to.running {
			s.at(s.now.Add(delay), finish(failed))
			return
		}
		s.whenAwake(to, to.life, func() {
			response := serve(to.node, s.now, request)
			if s.way(to, from, response) {
				s.at(s.now.Add(delay), finish(func() { answered(response) }))
			}
		})
	})
}

// perform plays the calls that a node asks for, as caller does on real machines.
func (s *simulation) perform(n *simNode, life int, todo pendingCalls) {
	for _, beat := range todo.heartbeats {
		s.beat(n, beat)
	}
	for _, repair := range todo.repairs {
		s.repair(n, repair)
	}
	for _, envelope := range todo.pushes {
		s.push(n, envelope)
	}
}

func serveHeartbeat(n *node, now time.Time, request heartbeatRequest) heartbeatResponse {
	return n.answerHeartbeat(now, &request)
}

func servePush(n *node, now time.Time, message gossip.Message) pushResponse {
	return n.answerPush(now, message)
}

func serveCompare(n *node, now time.Time, request compareRequest) compareResponse {
	return n.answerCompare(now, &request)
}

func serveTransfer(n *node, now time.Time, request transferRequest) transferResponse {
	return n.answerTransfer(now, &request)
}

func (s *simulation) beat(n *simNode, beat heartbeatCall) {
	answered := func(response heartbeatResponse) {
		own := n.node.processHeartbeatResponse(s.now, beat.to.Name, &response)
		if own == nil {
			return
		}
		message := gossip.Message{From: n.member.Name, Entries: []gossip.Entry{*own}}
		simCall(s, n, beat.to.Address, defaultTimeout, message, servePush, func(pushResponse) {}, func() {})
	}
	failed := func() { n.node.processHeartbeatFailure(s.now, beat.to) }
	simCall(s, n, beat.to.Address, defaultTimeout, beat.request, serveHeartbeat, answered, failed)
}

func (s *simulation) push(n *simNode, envelope gossip.Envelope) {
	retried, done := false, false
	retry := func() {
		if !retried && !done {
			retried = true
			n.node.engine.Retry(s.now, envelope)
		}
	}
	life := n.life
	s.at(s.now.Add(pushRetryDelay), func() { s.whenAwake(n, life, retry) })
	failed := func() {
		n.node.engine.MarkUnresponsive(s.now, envelope.To.Name)
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
	ended := func() {
		if repair.seed {
			n.node.seeds.finish(repair.to.Address)
		}
	}
	failed := func() {
		ended()
		if repair.to.Name != "" {
			n.node.engine.MarkUnresponsive(s.now, repair.to.Name)
		}
	}
	answered := func(response compareResponse) {
		request, needed := n.node.processCompareResponse(s.now, repair.to.Name, &response)
		if !needed {
			ended()
			return
		}
		transferred := func(response transferResponse) {
			ended()
			n.node.processTransferResponse(s.now, repair.to.Name, &response)
		}
		simCall(s, n, repair.to.Address, bulkTimeout, request, serveTransfer, transferred, ended)
	}
	simCall(s, n, repair.to.Address, defaultTimeout, repair.request, serveCompare, answered, failed)
}
