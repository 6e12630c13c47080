package member

import (
	"context"
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/rpc"
)

// Bounds of the calls to other members.
const (
	defaultTimeout  = 400 * time.Millisecond
	bulkTimeout     = 2 * time.Second // for a call that carries many or long entries
	bulkThreshold   = 64 << 10
	maxRoutineCalls = 12 // heartbeats and repairs under way at once
	maxPushCalls    = 24 // pushes under way at once
	// pushRetryDelay is when a push that has no answer yet is taken for lost and its entries go another way as well.
	pushRetryDelay = 200 * time.Millisecond
)

// caller makes the calls that a node asks for, a bounded number at once.
type caller struct {
	ctx          context.Context
	client       *rpc.Client
	service      *Service
	routineSlots chan struct{}
	pushSlots    chan struct{}
}

func newCaller(ctx context.Context, client *rpc.Client, mesh *Service) *caller {
	return &caller{
		ctx:          ctx,
		client:       client,
		service:      mesh,
		routineSlots: make(chan struct{}, maxRoutineCalls),
		pushSlots:    make(chan struct{}, maxPushCalls),
	}
}

// start starts all calls. What finds no free place is given up: heartbeats and repairs come again, and the
// entries of a push go another way.
func (c *caller) start(todo pendingCalls) {
	for _, call := range todo.heartbeats {
		startIfFree(c.routineSlots, func() { c.sendHeartbeat(call) })
	}
	for _, call := range todo.repairs {
		started := startIfFree(c.routineSlots, func() { c.repair(call) })
		if !started && call.seed {
			c.finishSeedCall(call)
		}
	}
	for _, envelope := range todo.pushes {
		if !startIfFree(c.pushSlots, func() { c.sendPush(envelope) }) {
			c.service.run(func(now time.Time, n *node) { n.engine.Retry(now, envelope) })
		}
	}
}

// startIfFree runs the function in a goroutine if a place is free.
func startIfFree(places chan struct{}, run func()) bool {
	select {
	case places <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-places }()
		run()
	}()
	return true
}

// call makes one call with its time-out.
func call[Request, Response any](c *caller, timeout time.Duration, method rpc.Method[Request, Response],
	address string, request *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	return method.Call(ctx, c.client, address, request)
}

// sendHeartbeat sends a heartbeat and, where the watcher lacks it, the own entry.
func (c *caller) sendHeartbeat(beat heartbeatCall) {
	response, err := call(c, defaultTimeout, heartbeatMethod, beat.to.Address, &beat.request)
	if err != nil {
		if c.ctx.Err() == nil {
			c.service.run(func(now time.Time, n *node) { n.processHeartbeatFailure(now, beat.to) })
		}
		return
	}
	own := query(c.service, func(now time.Time, n *node) *gossip.Entry {
		return n.processHeartbeatResponse(now, beat.to.Name, response)
	})
	if own != nil {
		message := gossip.Message{From: c.service.options.Self.Name, Entries: []gossip.Entry{*own}}
		_, _ = call(c, defaultTimeout, pushMethod, beat.to.Address, &message) // the next heartbeat tries again
	}
}

// markUnresponsive has a peer avoided for a while.
func (c *caller) markUnresponsive(name string) {
	if c.ctx.Err() != nil || name == "" {
		return
	}
	c.service.run(func(now time.Time, n *node) { n.engine.MarkUnresponsive(now, name) })
}

// sendPush sends a message and then those entries that the receiver wants of the ones offered.
func (c *caller) sendPush(envelope gossip.Envelope) {
	retry := func() { c.service.run(func(now time.Time, n *node) { n.engine.Retry(now, envelope) }) }
	late := time.AfterFunc(pushRetryDelay, retry)
	response, err := call(c, timeoutFor(envelope.Message.Entries), pushMethod, envelope.To.Address, &envelope.Message)
	early := late.Stop()
	if err == nil && len(response.Missing) > 0 {
		err = c.sendWanted(envelope, response.Missing)
	}
	if err == nil {
		c.service.run(func(now time.Time, n *node) { n.step(now, func() { n.recordContact(envelope.To.Name) }) })
		return
	}
	c.markUnresponsive(envelope.To.Name)
	if early && c.ctx.Err() == nil {
		retry()
	}
}

// sendWanted sends the entries that a receiver wants.
func (c *caller) sendWanted(envelope gossip.Envelope, wanted []gossip.Header) error {
	message := gossip.Message{From: envelope.Message.From, Relay: envelope.Message.Relay}
	message.Entries = query(c.service, func(_ time.Time, n *node) []gossip.Entry { return n.engine.CollectEntries(wanted) })
	_, err := call(c, timeoutFor(message.Entries), pushMethod, envelope.To.Address, &message)
	return err
}

// timeoutFor gives more time to a call that carries much.
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

// repair compares digests with a peer and exchanges what one of both lacks.
func (c *caller) repair(repair repairCall) {
	defer c.finishSeedCall(repair)
	compared, err := call(c, defaultTimeout, compareMethod, repair.to.Address, &repair.request)
	if err != nil {
		c.markUnresponsive(repair.to.Name)
		return
	}
	type second struct {
		request transferRequest
		needed  bool
	}
	next := query(c.service, func(now time.Time, n *node) (next second) {
		next.request, next.needed = n.processCompareResponse(now, repair.to.Name, compared)
		return next
	})
	if !next.needed {
		return
	}
	transferred, err := call(c, bulkTimeout, transferMethod, repair.to.Address, &next.request)
	if err != nil {
		return
	}
	c.service.run(func(now time.Time, n *node) { n.processTransferResponse(now, repair.to.Name, transferred) })
}

// finishSeedCall tells that a call to a seed is over.
func (c *caller) finishSeedCall(repair repairCall) {
	if repair.seed {
		c.service.run(func(_ time.Time, n *node) { n.seeds.finish(repair.to.Address) })
	}
}
