package member

import (
	"context"
	"time"

	"rowanlink/serving/gossip"
	"rowanlink/serving/rpc"
)

// Bounds of the calls to other members.
const (
	callTimeout  = 400 * time.Millisecond
	bulkTimeout  = 2 * time.Second // for a call that carries many or long entries
	bulkBytes    = 64 << 10
	routineCalls = 12 // heartbeats and repairs under way at once
	pushCalls    = 24 // pushes under way at once
	// lateAfter is when a push that has no answer yet is taken for lost and its entries go another way as well.
	lateAfter = 200 * time.Millisecond
)

// caller makes the calls that a node asks for, a bounded number at once.
type caller struct {
	ctx     context.Context
	client  *rpc.Client
	mesh    *Service
	routine chan struct{}
	push    chan struct{}
}

func newCaller(ctx context.Context, client *rpc.Client, mesh *Service) *caller {
	return &caller{
		ctx:     ctx,
		client:  client,
		mesh:    mesh,
		routine: make(chan struct{}, routineCalls),
		push:    make(chan struct{}, pushCalls),
	}
}

// perform starts all calls. What finds no free place is given up: heartbeats and repairs come again, and the
// entries of a push go another way.
func (c *caller) perform(todo actions) {
	for _, call := range todo.beats {
		spawn(c.routine, func() { c.sendBeat(call) })
	}
	for _, call := range todo.repairs {
		started := spawn(c.routine, func() { c.repair(call) })
		if !started && call.seed {
			c.seedEnded(call)
		}
	}
	for _, envelope := range todo.pushes {
		if !spawn(c.push, func() { c.sendPush(envelope) }) {
			c.mesh.do(func(now time.Time, n *node) { n.engine.Retry(now, envelope) })
		}
	}
}

// spawn runs the function in a goroutine if a place is free.
func spawn(places chan struct{}, run func()) bool {
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

// sendBeat sends a heartbeat and, where the watcher lacks it, the own entry.
func (c *caller) sendBeat(beat beatCall) {
	response, err := call(c, callTimeout, heartbeatMethod, beat.to.Address, &beat.request)
	if err != nil {
		if c.ctx.Err() == nil {
			c.mesh.do(func(now time.Time, n *node) { n.beatFailed(now, beat.to) })
		}
		return
	}
	own := ask(c.mesh, func(now time.Time, n *node) *gossip.Entry {
		return n.beatAnswered(now, beat.to.Name, response)
	})
	if own != nil {
		message := gossip.Message{From: c.mesh.options.Self.Name, Entries: []gossip.Entry{*own}}
		_, _ = call(c, callTimeout, pushMethod, beat.to.Address, &message) // the next heartbeat tries again
	}
}

// failed has a peer avoided for a while.
func (c *caller) failed(name string) {
	if c.ctx.Err() != nil || name == "" {
		return
	}
	c.mesh.do(func(now time.Time, n *node) { n.engine.MarkUnresponsive(now, name) })
}

// sendPush sends a message and then those entries that the receiver wants of the ones offered.
func (c *caller) sendPush(envelope gossip.Envelope) {
	retry := func() { c.mesh.do(func(now time.Time, n *node) { n.engine.Retry(now, envelope) }) }
	late := time.AfterFunc(lateAfter, retry)
	response, err := call(c, timeoutFor(envelope.Message.Entries), pushMethod, envelope.To.Address, &envelope.Message)
	early := late.Stop()
	if err == nil && len(response.Wanted) > 0 {
		err = c.sendWanted(envelope, response.Wanted)
	}
	if err == nil {
		c.mesh.do(func(now time.Time, n *node) { n.step(now, func() { n.contacted(envelope.To.Name) }) })
		return
	}
	c.failed(envelope.To.Name)
	if early && c.ctx.Err() == nil {
		retry()
	}
}

// sendWanted sends the entries that a receiver wants.
func (c *caller) sendWanted(envelope gossip.Envelope, wanted []gossip.Header) error {
	message := gossip.Message{From: envelope.Message.From, Relay: envelope.Message.Relay}
	message.Entries = ask(c.mesh, func(_ time.Time, n *node) []gossip.Entry { return n.engine.CollectEntries(wanted) })
	_, err := call(c, timeoutFor(message.Entries), pushMethod, envelope.To.Address, &message)
	return err
}

// timeoutFor gives more time to a call that carries much.
func timeoutFor(entries []gossip.Entry) time.Duration {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Value)
	}
	if bytes > bulkBytes {
		return bulkTimeout
	}
	return callTimeout
}

// repair compares digests with a peer and exchanges what one of both lacks.
func (c *caller) repair(repair repairCall) {
	defer c.seedEnded(repair)
	compared, err := call(c, callTimeout, compareMethod, repair.to.Address, &repair.request)
	if err != nil {
		c.failed(repair.to.Name)
		return
	}
	type second struct {
		request transferRequest
		needed  bool
	}
	next := ask(c.mesh, func(now time.Time, n *node) (next second) {
		next.request, next.needed = n.compared(now, repair.to.Name, compared)
		return next
	})
	if !next.needed {
		return
	}
	transferred, err := call(c, bulkTimeout, transferMethod, repair.to.Address, &next.request)
	if err != nil {
		return
	}
	c.mesh.do(func(now time.Time, n *node) { n.transferred(now, repair.to.Name, transferred) })
}

// seedEnded tells that a call to a seed is over.
func (c *caller) seedEnded(repair repairCall) {
	if repair.seed {
		c.mesh.do(func(_ time.Time, n *node) { n.seeds.ended(repair.to.Address) })
	}
}
