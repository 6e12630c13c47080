package eventloop

import "rowanlink/webhook/dispatcher/inflight"

// Ending is how a webhook that was accepted ended.
type Ending uint8

// Endings.
const (
	OnTime       Ending = iota // delivered within its latency target
	Late                       // delivered after it, or discarded by an endpoint
	Rejected                   // by callback
	DeadLettered               // by callback
)

// EndObserver is implemented by a Cluster that is to be told how each webhook ended. Its method is called from the loop's
// goroutine.
type EndObserver interface {
	WebhookEnded(w *inflight.Webhook, ending Ending)
}

func (l *Loop) observeEnd(w *inflight.Webhook, ending Ending) {
	if observer, ok := l.cluster.(EndObserver); ok {
		observer.WebhookEnded(w, ending)
	}
}

// endingOf returns OnTime or Late. The latency target counts from when the webhook was first submitted, at any member.
func (l *Loop) endingOf(w *inflight.Webhook, discarded bool) Ending {
	if discarded {
		return Late
	}
	types := l.settings.EventTypes
	if int(w.EventType) >= len(types) {
		return OnTime
	}
	t := types[w.EventType]
	submittedAt := w.Deadline - t.TTL
	if l.now > submittedAt+t.LatencyTarget {
		return Late
	}
	return OnTime
}
