package eventloop

import "rowanlink/webhook/dispatcher/inflight"

// Ending is how a webhook that was taken on ended.
type Ending uint8

const (
	OnTime       Ending = iota // delivered within its target latency
	Late                       // delivered after it, or over by an endpoint's word
	Rejected                   // by notice
	DeadLettered               // by notice
)

// EndObserver is a Fleet that is told of each end, in the decider's own goroutine.
type EndObserver interface {
	WebhookEnded(w *inflight.Webhook, how Ending)
}

func (d *Loop) notifyEnded(w *inflight.Webhook, how Ending) {
	if who, ok := d.cluster.(EndObserver); ok {
		who.WebhookEnded(w, how)
	}
}

// endingOf is OnTime or Late: the target latency counts from when the webhook was first handed in, wherever
// that was.
func (d *Loop) endingOf(w *inflight.Webhook, over bool) Ending {
	if int(w.EventType) < len(d.settings.EventTypes) {
		if e := d.settings.EventTypes[w.EventType]; d.now > w.Deadline-e.TTL+e.LatencyTarget {
			return Late
		}
	}
	if over {
		return Late
	}
	return OnTime
}
