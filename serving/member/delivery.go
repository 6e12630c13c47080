package member

import (
	"context"
	"sync"

	"rowanlink/serving/gossip"
)

// notifier calls subscribers one at a time outside of the node's goroutine, so that they may use the mesh.
type notifier struct {
	mutex sync.Mutex
	queue []notification
	wake  chan struct{}
}

// notification is one call of one subscriber.
type notification struct {
	call  func(gossip.Entry)
	entry gossip.Entry
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

// add queues a call.
func (d *notifier) add(call func(gossip.Entry), entry gossip.Entry) {
	d.mutex.Lock()
	d.queue = append(d.queue, notification{call: call, entry: entry})
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run makes the calls until ctx ends.
func (d *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		d.mutex.Lock()
		waiting := d.queue
		d.queue = nil
		d.mutex.Unlock()
		for _, next := range waiting {
			next.call(next.entry)
		}
	}
}
