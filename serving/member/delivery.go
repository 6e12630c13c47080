package member

import (
	"context"
	"sync"

	"rowanlink/serving/gossip"
)

// delivery calls subscribers one at a time outside of the node's goroutine, so that they may use the mesh.
type delivery struct {
	mutex   sync.Mutex
	waiting []notice
	wake    chan struct{}
}

// notice is one call of one subscriber.
type notice struct {
	call  func(gossip.Entry)
	entry gossip.Entry
}

func newDelivery() *delivery { return &delivery{wake: make(chan struct{}, 1)} }

// add queues a call.
func (d *delivery) add(call func(gossip.Entry), entry gossip.Entry) {
	d.mutex.Lock()
	d.waiting = append(d.waiting, notice{call: call, entry: entry})
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run makes the calls until ctx ends.
func (d *delivery) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		d.mutex.Lock()
		waiting := d.waiting
		d.waiting = nil
		d.mutex.Unlock()
		for _, next := range waiting {
			next.call(next.entry)
		}
	}
}
