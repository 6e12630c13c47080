package stream

import (
	"cmp"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

const (
	gatherShare    = 1.0 / 50 // how long an item waits for others to share its frame, as a share of its latency target
	slowStartShare = 1.0 / 16 // share of the relay's credit that may be in flight when the relay is reachable again
)

// Sender is the sending side of a site's stream. Each delivery without a result is in one of three states:
//   - queued: it was not sent yet;
//   - sent: the relay may have it; it may have been sent in an earlier incarnation of the origin;
//   - bypassing: the origin attempts it itself. Later deliveries of the same ordering key then have to bypass the relay
//     as well, to stay behind it.
type Sender struct {
	generation          Generation
	receiverIncarnation uint64 // incarnation of the relay's folder at the last opening; 0: the stream was never opened
	opened              bool
	unreachable         bool
	lastOrder           uint64 // order of the last item added; see queuedItem.order

	queues      map[api.DestinationID]*destinationQueue
	allQueues   []*destinationQueue // in the order of first use; iterating over the map would not be deterministic
	readyQueues []*destinationQueue // queues that may be sent from, in round-robin order, each once
	frameDueAt  api.Micros          // time of the next frame; api.Never: nothing to send
	bytesAdded  int                 // size of the items added since the last frame

	sent       map[Delivery]*sentDelivery // deliveries that are sent or bypassing
	inFlight   int                        // number of deliveries that are sent and not bypassing
	pathsByKey map[orderingScope]*pathCounts

	unacked          []unackedFrame
	nextRetransmit   int // index in unacked of the next frame to retransmit; len(unacked): none
	sequence         Sequence
	sentCount        uint64 // number of deliveries sent in this generation
	credit           uint64 // see Ack.Credit
	destinationLimit int    // see Ack.DestinationLimit
	window           int    // slow-start limit of the deliveries in flight; 0: no limit

	clockDrift     float64    // see NewSender
	clockLead      api.Micros // lower bound of how far the relay's clock is ahead, as measured at leadMeasuredAt
	leadMeasuredAt api.Micros // api.Never: not measured
}

// queuedItem is an item that was added to the sender.
type queuedItem struct {
	item  *Item
	order uint64     // rank among all items, in the order in which they were added
	dueAt api.Micros // time at which a frame with the item is due
}

// size returns the estimated size of the item in a frame, without its destinations, in bytes.
func (q *queuedItem) size() int {
	return len(q.item.Body) + len(q.item.RequestID) + len(q.item.Token) + itemOverheadBytes
}

func compareOrder(a, b *queuedItem) int { return cmp.Compare(a.order, b.order) }

// destinationQueue holds the queued items of one destination.
type destinationQueue struct {
	destination api.DestinationID
	items       []*queuedItem
	inFlight    int  // number of the destination's deliveries that are sent and not bypassing
	ready       bool // the queue is in readyQueues
	detached    bool // see DetachDestination
}

func (q *destinationQueue) removeFirst() {
	q.items[0] = nil // releases the item's memory
	q.items = q.items[1:]
}

// sentDelivery is the record of a delivery that is sent or bypassing.
type sentDelivery struct {
	*queuedItem
	receiverIncarnation uint64 // incarnation of the relay's folder that it was sent to
	sentAt              api.Micros
	bypassing           bool
}

// orderingScope identifies the deliveries that must run in order: those of one ordering key to one destination.
type orderingScope struct {
	destination api.DestinationID
	key         api.OrderingKey
}

// pathCounts counts the deliveries of an ordering scope without a result: those that are sent to the relay, and those that
// bypass it.
type pathCounts struct{ atRelay, bypassing int }

// unackedFrame is a frame that was sent and that the relay has not acknowledged.
type unackedFrame struct {
	Frame
	count uint64 // number of deliveries in the generation up to and including this frame
}

// InDoubt is a delivery that was sent and that the relay may have received.
type InDoubt struct {
	Delivery
	SentAt api.Micros // time just before it was first sent
	Key    api.OrderingKey
}

// NewSender returns a sender. epoch is that of the lease on sending to the site. clockDrift is the maximum difference
// between the rates of two members' clocks, as a fraction.
func NewSender(epoch cluster.Epoch, clockDrift float64) *Sender {
	return &Sender{
		generation:     Generation{Epoch: epoch, Number: 1},
		queues:         map[api.DestinationID]*destinationQueue{},
		frameDueAt:     api.Never,
		sent:           map[Delivery]*sentDelivery{},
		pathsByKey:     map[orderingScope]*pathCounts{},
		clockDrift:     clockDrift,
		leadMeasuredAt: api.Never,
	}
}

// SetGeneration sets the number of the first generation, at least 1. A sender that replaces another one of the same
// epoch, such as that of an earlier process, needs a greater number than any that the other one used.
func (s *Sender) SetGeneration(number uint64) { s.generation.Number = number }

// InFlight returns how many deliveries the relay may have: those that were sent and have no result.
func (s *Sender) InFlight() int { return s.inFlight }

// IsUnreachable reports whether the relay counts as unreachable.
func (s *Sender) IsUnreachable() bool { return s.unreachable }

// queueFor returns the queue of a destination, and creates it if there is none.
func (s *Sender) queueFor(destination api.DestinationID) *destinationQueue {
	q := s.queues[destination]
	if q == nil {
		q = &destinationQueue{destination: destination}
		s.queues[destination] = q
		s.allQueues = append(s.allQueues, q)
	}
	return q
}

// pathsOf returns the counts of an ordering scope, for the caller to change. Deliveries with key 0 are not ordered: for
// them it returns counts that nobody reads.
func (s *Sender) pathsOf(destination api.DestinationID, key api.OrderingKey) *pathCounts {
	if key == 0 {
		return &pathCounts{}
	}
	scope := orderingScope{destination: destination, key: key}
	counts := s.pathsByKey[scope]
	if counts == nil {
		counts = &pathCounts{}
		s.pathsByKey[scope] = counts
	}
	return counts
}

// Add queues an item. latencyTarget is that of its event type. The caller must not change the item afterwards.
func (s *Sender) Add(i Item, latencyTarget, now api.Micros) {
	item := s.newQueuedItem(i, now+api.Micros(gatherShare*float64(latencyTarget)))
	for _, destination := range i.Destinations {
		q := s.queueFor(destination)
		q.items = append(q.items, item)
		s.markReady(q)
	}
	s.bytesAdded += item.size()
	if s.bytesAdded >= maxFrameBytes {
		s.scheduleFrame(now)
	}
}

func (s *Sender) newQueuedItem(i Item, dueAt api.Micros) *queuedItem {
	s.lastOrder++
	return &queuedItem{item: &i, order: s.lastOrder, dueAt: dueAt}
}

// markReady adds a queue to readyQueues and schedules a frame, if deliveries of the queue may be sent.
func (s *Sender) markReady(q *destinationQueue) {
	if !s.canSend(q) {
		return
	}
	if !q.ready {
		q.ready = true
		s.readyQueues = append(s.readyQueues, q)
	}
	s.scheduleFrame(q.items[0].dueAt)
}

func (s *Sender) markAllReady() {
	for _, q := range s.allQueues {
		s.markReady(q)
	}
}

// canSend reports whether the first item of a queue may be sent, apart from the credit: the callers check
// availableCredit.
func (s *Sender) canSend(q *destinationQueue) bool {
	return len(q.items) > 0 && q.inFlight < s.destinationLimit && !q.detached && !s.isBehindBypassing(q)
}

// isBehindBypassing reports whether an earlier delivery of the same ordering key as the first item's bypasses the relay.
// The item must not overtake it, and has to bypass the relay as well: see TakeBypassing.
func (s *Sender) isBehindBypassing(q *destinationQueue) bool {
	key := q.items[0].item.Key
	counts := s.pathsByKey[orderingScope{destination: q.destination, key: key}]
	return key != 0 && counts != nil && counts.bypassing > 0
}

// scheduleFrame makes the next frame due at a time, unless it is due earlier.
func (s *Sender) scheduleFrame(at api.Micros) {
	if s.frameDueAt == api.Never || at < s.frameDueAt {
		s.frameDueAt = at
	}
}

// availableCredit returns how many deliveries may be sent now, by the relay's credit and the slow-start window.
func (s *Sender) availableCredit() int {
	n := int(s.credit - min(s.sentCount, s.credit))
	if s.window > 0 {
		n = min(n, s.window-s.inFlight)
	}
	return max(n, 0)
}

// NextFrameAt returns the time at which NextFrame returns a frame, if no other method is called before. It returns false
// if NextFrame returns none until another method changes the state.
func (s *Sender) NextFrameAt() (at api.Micros, ok bool) {
	switch {
	case !s.opened:
		return 0, false
	case s.nextRetransmit < len(s.unacked):
		return 0, true
	}
	return s.frameDueAt, len(s.readyQueues) > 0 && s.availableCredit() > 0
}

// NextFrame returns the next frame to send, or false if none is due. Its deliveries count as sent from now on. The caller
// must record them in the journal before it sends the first byte. The destinations' queues take turns, so that an
// unhealthy destination does not block others.
func (s *Sender) NextFrame(now api.Micros) (f Frame, ok bool) {
	if at, due := s.NextFrameAt(); !due || now < at {
		return Frame{}, false
	}
	if s.nextRetransmit < len(s.unacked) {
		f = s.unacked[s.nextRetransmit].Frame
		s.nextRetransmit++
		f.ClockOffset = s.clockOffset(now)
		return f, true
	}
	builder := s.gather(now)
	s.bytesAdded = 0
	s.frameDueAt = api.Never
	if len(s.readyQueues) > 0 {
		s.frameDueAt = now
	}
	if builder.deliveries == 0 {
		return Frame{}, false
	}
	s.sequence++
	s.sentCount += uint64(builder.deliveries)
	f = builder.build(s.generation, s.sequence, now)
	f.ReceiverIncarnation = s.receiverIncarnation
	s.unacked = append(s.unacked, unackedFrame{Frame: f, count: s.sentCount})
	s.nextRetransmit = len(s.unacked)
	f.ClockOffset = s.clockOffset(now)
	return f, true
}

// gather moves deliveries from the ready queues into a frame, one from each queue in turn.
func (s *Sender) gather(now api.Micros) frameBuilder {
	builder := frameBuilder{index: map[*queuedItem]int{}}
	credit := s.availableCredit()
	for len(s.readyQueues) > 0 && credit > 0 {
		q := s.readyQueues[0]
		if !s.canSend(q) {
			q.ready = false
			s.readyQueues = s.readyQueues[1:]
			continue
		}
		item := q.items[0]
		if !builder.fits(item) {
			return builder
		}
		q.removeFirst()
		s.readyQueues = s.readyQueues[1:]
		builder.add(item, q.destination)
		s.recordSent(q, item, &sentDelivery{
			queuedItem:          item,
			receiverIncarnation: s.receiverIncarnation,
			sentAt:              now,
		})
		credit--
		q.ready = len(q.items) > 0
		if q.ready {
			s.readyQueues = append(s.readyQueues, q)
		}
	}
	return builder
}

// recordSent records a delivery as sent or bypassing. It replaces an earlier record of the delivery: the origin may add a
// delivery a second time before it learns that the delivery already bypasses the relay. If both records were counted, the
// counts of its ordering key would never fall to zero.
func (s *Sender) recordSent(q *destinationQueue, item *queuedItem, record *sentDelivery) {
	d := Delivery{Message: item.item.ID, Destination: q.destination}
	if earlier := s.sent[d]; earlier != nil {
		s.forgetSent(d, earlier)
	}
	s.sent[d] = record
	counts := s.pathsOf(q.destination, item.item.Key)
	if record.bypassing {
		counts.bypassing++
		return
	}
	q.inFlight++
	s.inFlight++
	counts.atRelay++
}

// forgetSent removes the record of a delivery that is sent or bypassing, and updates the counts.
func (s *Sender) forgetSent(d Delivery, record *sentDelivery) {
	delete(s.sent, d)
	key := record.item.Key
	counts := s.pathsOf(d.Destination, key)
	if record.bypassing {
		counts.bypassing--
	} else {
		counts.atRelay--
		s.inFlight--
		s.queueFor(d.Destination).inFlight--
	}
	if *counts == (pathCounts{}) {
		delete(s.pathsByKey, orderingScope{destination: d.Destination, key: key})
	}
}

// Complete records that the sender need not track a delivery any more, because the delivery has its result, or because
// the origin retries it itself after it was in doubt.
func (s *Sender) Complete(d Delivery) {
	record := s.sent[d]
	if record == nil {
		return
	}
	s.forgetSent(d, record)
	if s.opened && s.window > 0 && !record.bypassing {
		s.window++ // as in TCP's slow start: the window doubles with each round trip, until only the credit is the limit
	}
	s.markReady(s.queueFor(d.Destination))
}
