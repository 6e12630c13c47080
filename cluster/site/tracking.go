package site

import (
	"rowanlink/cluster/stream"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// track records that the stream has a webhook.
func (s *siteSender) track(item *stream.Item, w eventloop.Parked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.deliveryOf(w.RequestID, w.Destination)
	s.tracked[d] = &trackedWebhook{id: w.RequestID, item: item}
	s.deliveries[w.RequestID] = d
}

// isTracked reports whether the stream has a webhook, or it was finished since the parked webhooks were listed.
func (s *siteSender) isTracked(id inflight.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, tracked := s.deliveries[id]
	return tracked || s.finished[id]
}

// lookup returns a webhook that the stream has, or nil.
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

// beginListing is called before the parked webhooks are listed.
func (s *siteSender) beginListing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = map[inflight.RequestID]bool{}
}

// markFinished keeps finished webhooks from being added to the stream again by a list from before.
func (s *siteSender) markFinished(results []inflight.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, result := range results {
		if s.finished != nil {
			s.finished[result.RequestID] = true
		}
	}
}
