package stream

import (
	"slices"

	"rowanlink/webhook/api"
)

// DropExpired removes the queued deliveries whose TTL has passed and returns them, in no particular order. They never ran.
func (s *Sender) DropExpired(now api.Micros) (expired []Delivery) {
	for _, q := range s.allQueues {
		q.items = slices.DeleteFunc(q.items, func(item *queuedItem) bool {
			isExpired := item.item.Deadline <= now
			if isExpired {
				expired = append(expired, Delivery{Message: item.item.ID, Destination: q.destination})
			}
			return isExpired
		})
		s.markReady(q)
	}
	return expired
}

// DetachDestination records that a subscriber is no longer reached through this relay. Queued deliveries bypass the relay;
// those that were sent get their results from it.
func (s *Sender) DetachDestination(d api.DestinationID) { s.queueFor(d).detached = true }

// AttachDestination reverses DetachDestination.
func (s *Sender) AttachDestination(d api.DestinationID) {
	q := s.queueFor(d)
	q.detached = false
	s.markReady(q)
}

// TakeBypassing removes the queued deliveries that must bypass the relay now and returns them, in order. They were never
// sent. The caller must attempt them itself, and call Complete for each when it has its result. A delivery bypasses the
// relay if the relay is unreachable, the destination is detached, or an earlier delivery of its ordering key bypasses the
// relay. It stays queued while the relay may have an earlier delivery of its key.
func (s *Sender) TakeBypassing() (deliveries []Delivery) {
	type taken struct {
		Delivery
		order uint64
	}
	var all []taken
	for _, q := range s.allQueues {
		q.items = slices.DeleteFunc(q.items, func(item *queuedItem) bool {
			if !s.mayBypass(q, item) {
				return false
			}
			if item.item.Key != 0 {
				s.recordSent(q, item, &sentDelivery{queuedItem: item, bypassing: true})
			}
			d := Delivery{Message: item.item.ID, Destination: q.destination}
			all = append(all, taken{Delivery: d, order: item.order})
			return true
		})
		s.markReady(q)
	}
	slices.SortStableFunc(all, func(a, b taken) int { return int(int64(a.order) - int64(b.order)) })
	for _, t := range all {
		deliveries = append(deliveries, t.Delivery)
	}
	return deliveries
}

// mayBypass reports whether TakeBypassing takes an item of a queue.
func (s *Sender) mayBypass(q *destinationQueue, item *queuedItem) bool {
	counts := pathCounts{}
	if key := item.item.Key; key != 0 {
		if known := s.pathsByKey[orderingScope{destination: q.destination, key: key}]; known != nil {
			counts = *known
		}
	}
	if counts.atRelay > 0 {
		return false
	}
	return s.unreachable || q.detached || counts.bypassing > 0
}
