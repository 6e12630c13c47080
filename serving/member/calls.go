package member

import (
	"context"
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/rpc"
)

// Limits of the calls to other members.
const (
	// defaultTimeout applies to all calls without another time-out below.
	defaultTimeout = 400 * time.Millisecond
	// relayedHeartbeatTimeout applies to the heartbeat that a relay sends at another member's request.
	relayedHeartbeatTimeout = 700 * time.Millisecond
	// relayRequestTimeout applies to the request to a relay. It is longer than relayedHeartbeatTimeout, since the relay responds
	// only after its heartbeat got a response or timed out.
	relayRequestTimeout = 1100 * time.Millisecond
	// bulkTimeout applies to pushes that carry more than bulkThreshold, and to the second call of a repair.
	bulkTimeout   = 2 * time.Second
	bulkThreshold = 64 << 10 // bytes

	maxRoutineCalls = 12  // concurrent heartbeats and repairs
	maxPushCalls    = 24  // concurrent pushes
	maxProbeCalls   = 192 // concurrent probes of unconfirmed members, both direct ones and requests to relays

	// pushRetryDelay is how long a push may have no response before gossip.Engine.Retry schedules another delivery of its
	// entries.
	pushRetryDelay = 200 * time.Millisecond
)

// caller makes the calls that the node decides on, a bounded number at once. The contexts passed to its methods end when
// the service stops; a call that fails because of that isn't recorded as a failure of the other member.
type caller struct {
	client  *rpc.Client
	service *Service
	// Semaphores; the capacities bound the concurrent calls.
	routineSlots chan struct{} // heartbeats and repairs
	pushSlots    chan struct{}
	probeSlots   chan struct{}
}

func newCaller(client *rpc.Client, service *Service) *caller {
	return &caller{
		client:       client,
		service:      service,
		routineSlots: make(chan struct{}, maxRoutineCalls),
		pushSlots:    make(chan struct{}, maxPushCalls),
		probeSlots:   make(chan struct{}, maxProbeCalls),
	}
}

// start starts all calls without waiting for them. A call for which no slot is free is dropped: heartbeats and repairs
// recur, and gossip.Engine.Retry schedules another delivery of a push's entries.
func (c *caller) start(ctx context.Context, calls pendingCalls) {
	for _, call := range calls.heartbeats {
		startIfFree(c.routineSlots, func() { c.sendHeartbeat(ctx, call, (*node).processHeartbeatFailure) })
	}
	for _, call := range calls.probes {
		c.startProbe(ctx, call)
	}
	for _, call := range calls.repairs {
		started := startIfFree(c.routineSlots, func() { c.repair(ctx, call) })
		if !started && call.toSeed {
			c.finishSeedCall(call)
		}
	}
	for _, envelope := range calls.pushes {
		if !startIfFree(c.pushSlots, func() { c.sendPush(ctx, envelope) }) {
			c.service.run(func(now time.Time, n *node) { n.engine.Retry(now, envelope) })
		}
	}
}

// startIfFree runs the function on a new goroutine if a slot is free, and reports whether one was.
func startIfFree(slots chan struct{}, run func()) bool {
	select {
	case slots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-slots }()
		run()
	}()
	return true
}

// call makes one call, bounded by a time-out.
func call[Request, Response any](ctx context.Context, c *caller, timeout time.Duration,
	method rpc.Method[Request, Response], address string, request *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return method.Call(ctx, c.client, address, request)
}

// sendHeartbeat sends a heartbeat and, if the receiver needs it, the local member's entry. It calls onFailure, on the node's
// goroutine, if the heartbeat gets no response.
func (c *caller) sendHeartbeat(ctx context.Context, heartbeat heartbeatCall,
	onFailure func(*node, time.Time, gossip.Peer)) {
	response, err := call(ctx, c, defaultTimeout, heartbeatMethod, heartbeat.to.Address, &heartbeat.request)
	if err != nil {
		if ctx.Err() == nil {
			c.service.run(func(now time.Time, n *node) { onFailure(n, now, heartbeat.to) })
		}
		return
	}
	own := query(c.service, func(now time.Time, n *node) *gossip.Entry {
		return n.processHeartbeatResponse(now, heartbeat.to.Name, response)
	})
	if own != nil {
		message := gossip.Message{From: c.service.options.Self.Name, Entries: []gossip.Entry{*own}}
		// An error is ignored: the next heartbeat's response requests the entry again.
		_, _ = call(ctx, c, defaultTimeout, pushMethod, heartbeat.to.Address, &message)
	}
}

// startProbe starts the direct and indirect calls of a probe. If no slot is free for the direct one, the node is told that
// the probe was cancelled. If none is free for the call to a relay, the node is told that the relay got no response.
func (c *caller) startProbe(ctx context.Context, probe probeCall) {
	to := probe.heartbeat.to
	if !startIfFree(c.probeSlots, func() { c.sendHeartbeat(ctx, probe.heartbeat, (*node).processProbeFailure) }) {
		c.service.run(func(_ time.Time, n *node) { n.members.CancelProbe(to.Name) })
	}
	for _, relay := range probe.relays {
		if !startIfFree(c.probeSlots, func() { c.requestProbe(ctx, relay, to) }) {
			c.service.run(func(now time.Time, n *node) { n.processRelayedProbe(now, to.Name, false) })
		}
	}
}

// requestProbe requests a relay to probe a member, and records the result. A relay that runs a software version without this
// call answers with an error, which counts as no response.
func (c *caller) requestProbe(ctx context.Context, relay, to gossip.Peer) {
	request := probeRequest{Member: to.Name}
	response, err := call(ctx, c, relayRequestTimeout, probeMethod, relay.Address, &request)
	responded := err == nil && response.Responded
	if ctx.Err() == nil {
		c.service.run(func(now time.Time, n *node) { n.processRelayedProbe(now, to.Name, responded) })
	}
}

// relayProbe probes a member at the request of another one: it sends a heartbeat and reports whether the member has
// responded.
func (c *caller) relayProbe(ctx context.Context, request *probeRequest) (responded bool) {
	heartbeat := query(c.service, func(_ time.Time, n *node) *heartbeatCall { return n.newRelayedHeartbeat(request) })
	if heartbeat == nil {
		return false
	}
	response, err := call(ctx, c, relayedHeartbeatTimeout, heartbeatMethod, heartbeat.to.Address, &heartbeat.request)
	if err != nil {
		return false
	}
	c.service.run(func(now time.Time, n *node) { n.processHeartbeatResponse(now, heartbeat.to.Name, response) })
	return true
}

// markUnresponsive records that a peer didn't respond. It does nothing if ctx has ended, or for a seed without a name, of
// which only the address is known.
func (c *caller) markUnresponsive(ctx context.Context, name string) {
	if ctx.Err() != nil || name == "" {
		return
	}
	c.service.markUnresponsive(name)
}

// sendPush sends a message and then the offered entries that the receiver requests. If there is no response within
// pushRetryDelay, or one of the calls fails, gossip.Engine.Retry schedules another delivery of the entries, once.
func (c *caller) sendPush(ctx context.Context, envelope gossip.Envelope) {
	retry := func() { c.service.run(func(now time.Time, n *node) { n.engine.Retry(now, envelope) }) }
	retryTimer := time.AfterFunc(pushRetryDelay, retry)
	response, err := call(ctx, c, timeoutFor(envelope.Message.Entries), pushMethod, envelope.To.Address, &envelope.Message)
	notRetried := retryTimer.Stop()
	if err == nil && len(response.Missing) > 0 {
		err = c.sendRequested(ctx, envelope, response.Missing)
	}
	if err == nil {
		c.service.run(func(now time.Time, n *node) { n.step(now, func() { n.recordContact(envelope.To.Name) }) })
		return
	}
	c.markUnresponsive(ctx, envelope.To.Name)
	if notRetried && ctx.Err() == nil {
		retry()
	}
}

// sendRequested sends those entries that the receiver of an offer has requested.
func (c *caller) sendRequested(ctx context.Context, envelope gossip.Envelope, requested []gossip.Header) error {
	entries := query(c.service, func(_ time.Time, n *node) []gossip.Entry {
		return n.engine.CollectEntries(requested)
	})
	message := gossip.Message{
		From:    envelope.Message.From,
		Entries: entries,
		Relay:   envelope.Message.Relay,
	}
	_, err := call(ctx, c, timeoutFor(message.Entries), pushMethod, envelope.To.Address, &message)
	return err
}

// timeoutFor returns the time-out of a push of the entries.
func timeoutFor(entries []gossip.Entry) time.Duration {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Value)
	}
	if bytes > bulkThreshold {
		return bulkTimeout
	}
	return defaultTimeout
}

// repair compares digests with a peer and transfers the entries that either lacks.
func (c *caller) repair(ctx context.Context, repair repairCall) {
	defer c.finishSeedCall(repair)
	compared, err := call(ctx, c, defaultTimeout, compareMethod, repair.to.Address, &repair.request)
	if err != nil {
		c.markUnresponsive(ctx, repair.to.Name)
		return
	}
	type transfer struct {
		request transferRequest
		needed  bool
	}
	next := query(c.service, func(now time.Time, n *node) (next transfer) {
		next.request, next.needed = n.processCompareResponse(now, repair.to.Name, compared)
		return next
	})
	if !next.needed {
		return
	}
	transferred, err := call(ctx, c, bulkTimeout, transferMethod, repair.to.Address, &next.request)
	if err != nil {
		return
	}
	c.service.run(func(now time.Time, n *node) { n.processTransferResponse(now, repair.to.Name, transferred) })
}

// finishSeedCall records that a call to a seed has ended.
func (c *caller) finishSeedCall(repair repairCall) {
	if repair.toSeed {
		c.service.run(func(_ time.Time, n *node) { n.seeds.finish(repair.to.Address) })
	}
}
