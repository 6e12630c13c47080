package stream

import (
	"cmp"
	"slices"

	"rowanlink/webhook/api"
)

// RestoreSent adds an item that was sent in an earlier incarnation or epoch and has no result, according to the origin's
// journal. Items must be restored and added in their original order, before the stream is opened. receiverIncarnation is
// the incarnation of the relay's folder that the item was sent to.
func (s *Sender) RestoreSent(i Item, receiverIncarnation uint64, sentAt api.Micros) {
	item := s.newQueuedItem(i, 0)
	for _, destination := range i.Destinations {
		s.recordSent(s.queueFor(destination), item, &sentDelivery{
			queuedItem:          item,
			receiverIncarnation: receiverIncarnation,
			sentAt:              sentAt,
		})
	}
}

// RestoreBypassing adds an item that bypassed the relay in an earlier incarnation and has no result. The rules of
// RestoreSent apply. An unordered item needs no record: no other delivery has to stay behind it.
func (s *Sender) RestoreBypassing(i Item) {
	item := s.newQueuedItem(i, 0)
	if i.Key == 0 {
		return
	}
	for _, destination := range i.Destinations {
		s.recordSent(s.queueFor(destination), item, &sentDelivery{queuedItem: item, bypassing: true})
	}
}

// OpenRequest returns the request to open the generation. The caller sends it before any frame, and repeats it until
// HandleOpened has processed an ack. While the stream is open, the request can be sent to poll for the relay's credit.
func (s *Sender) OpenRequest() OpenRequest {
	request := OpenRequest{Generation: s.generation}
	if !s.opened {
		request.Sent = s.sentDeliveries()
	}
	return request
}

// sentDeliveries returns the deliveries that the relay may have, in the order in which their items were added.
func (s *Sender) sentDeliveries() (deliveries []Delivery) {
	for d, record := range s.sent {
		if !record.bypassing {
			deliveries = append(deliveries, d)
		}
	}
	slices.SortFunc(deliveries, func(a, b Delivery) int {
		return cmp.Or(compareOrder(s.sent[a].queuedItem, s.sent[b].queuedItem), cmp.Compare(a.Destination, b.Destination))
	})
	return deliveries
}

// HandleOpened processes the ack of a request to open. It returns two kinds of the deliveries sent before:
//   - requeued: the relay never received them and never will. They are queued again, before the others of their
//     destination.
//   - lost: they were sent to a folder of the relay that no longer exists, so that their state can't be found out. The
//     sender forgets them, and the caller decides with ResolveLost.
//
// fenced says that the relay rejected the request because it has seen a later epoch. The returned deliveries are the
// same, but the stream is not opened: the sender of the later epoch holds the lease, and queued deliveries bypass the
// relay.
func (s *Sender) HandleOpened(
	request OpenRequest, a Ack, fenced bool, now api.Micros,
) (requeued []Delivery, lost []InDoubt) {
	if s.opened || request.Generation != s.generation || !fenced && a.Generation != s.generation {
		return nil, nil
	}
	requeued, lost = s.reconcileSent(request.Sent, a)
	s.receiverIncarnation = a.Incarnation
	s.leadMeasuredAt = api.Never
	s.measureClock(a, now)
	if fenced {
		s.unreachable = true
		return requeued, lost
	}
	s.opened = true
	s.credit = a.Credit
	s.destinationLimit = max(a.DestinationLimit, 1)
	if s.unreachable {
		s.window = max(1, int(slowStartShare*float64(s.credit)))
	}
	s.unreachable = false
	s.markAllReady()
	return requeued, lost
}

// reconcileSent compares the deliveries that were sent with those that the relay has, and returns those that it does not
// have: see HandleOpened.
func (s *Sender) reconcileSent(sent []Delivery, a Ack) (requeued []Delivery, lost []InDoubt) {
	pending := make(map[Delivery]bool, len(a.Pending))
	for _, d := range a.Pending {
		pending[d] = true
	}
	requeuedItems := map[*destinationQueue][]*queuedItem{}
	for _, d := range sent {
		record := s.sent[d]
		if record == nil || record.bypassing || pending[d] {
			continue
		}
		q := s.queueFor(d.Destination)
		if record.receiverIncarnation != a.Incarnation {
			lost = append(lost, InDoubt{Delivery: d, SentAt: record.sentAt, Key: record.item.Key})
			s.forgetSent(d, record)
			if record.item.Key != 0 { // until it has its result, later ones of its key have to bypass the relay behind it
				s.recordSent(q, record.queuedItem, &sentDelivery{queuedItem: record.queuedItem, bypassing: true})
			}
			continue
		}
		requeued = append(requeued, d)
		s.forgetSent(d, record)
		requeuedItems[q] = append(requeuedItems[q], record.queuedItem)
	}
	for q, first := range requeuedItems {
		q.items = append(first, q.items...)
	}
	return requeued, lost
}

// MarkUnreachable records that the relay can't be reached. Nothing is sent until the stream is opened again. It returns
// the deliveries that the relay may have, about which the caller decides with Resolve. TakeBypassing returns those that
// were never sent.
func (s *Sender) MarkUnreachable() (inDoubt []InDoubt) {
	if !s.unreachable {
		s.unreachable = true
		s.closeGeneration()
	}
	for _, d := range s.sentDeliveries() {
		record := s.sent[d]
		inDoubt = append(inDoubt, InDoubt{Delivery: d, SentAt: record.sentAt, Key: record.item.Key})
	}
	return inDoubt
}

// closeGeneration ends the generation and resets its state. The next opening has a new generation.
func (s *Sender) closeGeneration() {
	if s.opened {
		s.generation.Number++
	}
	s.opened = false
	s.unacked = nil
	s.nextRetransmit = 0
	s.sequence = 0
	s.sentCount = 0
	s.credit = 0
	s.window = 0
}
