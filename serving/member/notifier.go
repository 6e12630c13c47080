package member

import (
	"context"
	"sync"

	"rowanlink/serving/gossip"
)

// notifier calls subscribers one at a time, in the order of add. It calls them on a goroutine other than the node's, so that
// they may call methods of the Service.
type notifier struct {
	mutex sync.Mutex
	queue []notification
	wake  chan struct{} // signals that queue isn't empty
}

// notification is one pending call of a subscriber.
type notification struct {
	call  func(gossip.Entry)
	entry gossip.Entry
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

// add queues a call of a subscriber. It doesn't block.
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
