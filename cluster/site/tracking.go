package site

import (
	"rowanlink/cluster/stream"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// track records that a webhook is in the stream.
func (s *siteSender) track(item *stream.Item, w eventloop.Parked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.deliveryOf(w.RequestID, w.Destination)
	s.tracked[d] = &trackedWebhook{id: w.RequestID, item: item}
	s.deliveries[w.RequestID] = d
}

// isTracked reports whether a webhook is in the stream or was finished since the parked webhooks were last listed.
func (s *siteSender) isTracked(id inflight.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, tracked := s.deliveries[id]
	return tracked || s.finished[id]
}

// lookup returns the webhook of a delivery that is in the stream, or nil.
func (s *siteSender) lookup(d stream.Delivery) *trackedWebhook {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracked[d]
}

func (s *siteSender) untrack(deliveries []stream.Delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range deliveries {
		if w := s.tracked[d]; w != nil {
			delete(s.tracked, d)
			delete(s.deliveries, w.id)
		}
	}
}

// beginListing is called before the parked webhooks are listed. It resets what markFinished has recorded.
func (s *siteSender) beginListing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = map[inflight.RequestID]bool{}
}

// markFinished records finished webhooks, so that feedStream does not add them to the stream again from an earlier list
// of the parked webhooks.
func (s *siteSender) markFinished(results []inflight.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, result := range results {
		if s.finished != nil {
			s.finished[result.RequestID] = true
		}
	}
}
