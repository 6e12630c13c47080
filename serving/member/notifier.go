package member

import (
	"context"
	"sync"

	"rowanlink/serving/gossip"
)

// notifier calls subscribers one at a time outside of the node's goroutine, so that they may use the service.
type notifier struct {
	mutex sync.Mutex
	queue []notification
	wake  chan struct{}
}

// notification is one pending call of a subscriber.
type notification struct {
	call  func(gossip.Entry)
	entry gossip.Entry
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

// add queues a call.
func (n *notifier) add(call func(gossip.Entry), entry gossip.Entry) {
	n.mutex.Lock()
	n.queue = append(n.queue, notification{call: call, entry: entry})
	n.mutex.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run calls the subscribers until ctx ends.
func (n *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		n.mutex.Lock()
		pending := n.queue
		n.queue = nil
		n.mutex.Unlock()
		for _, next := range pending {
			next.call(next.entry)
		}
	}
}
