package eventloop

import "rowanlink/webhook/dispatcher/inflight"

// End is how a webhook that was taken on ended.
type End uint8

const (
	InTime       End = iota // delivered within its target latency
	Late                    // delivered after it, or over by an endpoint's word
	HandedBack              // by notice
	DeadLettered            // by notice
)

// Witness is a Fleet that is told of each end, in the decider's own goroutine.
type Witness interface {
	Ended(w *inflight.Webhook, how End)
}

func (d *Decider) witness(w *inflight.Webhook, how End) {
	if who, ok := d.fleet.(Witness); ok {
		who.Ended(w, how)
	}
}

// delivered is InTime or Late: the target latency counts from when the webhook was first handed in, wherever
// that was.
func (d *Decider) delivered(w *inflight.Webhook, over bool) End {
	if int(w.Event) < len(d.facts.EventTypes) {
		if e := d.facts.EventTypes[w.Event]; d.now > w.TTL-e.TTL+e.LatencyTarget {
			return Late
		}
	}
	if over {
		return Late
	}
	return InTime
}
