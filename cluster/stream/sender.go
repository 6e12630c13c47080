package stream

import (
	"cmp"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

const (
	gatherShare  = 1.0 / 50 // of the latency target: how long an item waits for others to share its frame
	restartShare = 1.0 / 16 // of the relay's credit: the limit of deliveries in flight when it has returned
)

// Sender is the sending side of a site's stream. Each delivery is in one of three states: queued; sent (perhaps by
// an earlier incarnation) and without a result; or bypassing the relay, and then later deliveries of the same
// ordering key have to bypass it as well.
type Sender struct {
	generation          Generation
	receiverIncarnation uint64 // of the relay's folder, as last reported; 0: never
	opened              bool
	unreachable         bool
	lastOrder           uint64 // of the items added so far

	queues      map[api.DestinationID]*destinationQueue
	allQueues   []*destinationQueue // by first use: the iteration order of a map would not be deterministic
	readyQueues []*destinationQueue // round-robin order of those with items and below their limit, each once
	frameDueAt  api.Micros          // api.Never: nothing to send
	bytesAdded  int                 // since the last frame

	sent       map[Delivery]*sentDelivery // sent or bypassing
	inFlight   int                        // of sent, those not bypassing
	pathsByKey map[orderingScope]*pathCounts

	unacked          []unackedFrame
	nextRetransmit   int // index in unacked of the next frame to send; its length: none
	sequence         Sequence
	sentCount        uint64 // deliveries sent in this generation
	credit           uint64 // see Ack.Credit
	destinationLimit int
	window           int // limit of deliveries in flight; 0: none

	clockDrift     float64
	clockLead      api.Micros // how much the relay's clock is ahead at the least, as last measured
	leadMeasuredAt api.Micros // api.Never: not measured
}

type queuedItem struct {
	item  *Item
	order uint64
	dueAt api.Micros
}

func (q *queuedItem) size() int {
	return len(q.item.Body) + len(q.item.RequestID) + len(q.item.Token) + itemOverheadBytes
}

func compareOrder(a, b *queuedItem) int { return cmp.Compare(a.order, b.order) }

// destinationQueue has the queued items of one subscriber.
type destinationQueue struct {
	destination api.DestinationID
	items       []*queuedItem
	inFlight    int
	ready       bool // in readyQueues
	detached    bool // nothing more is sent to the relay
}

func (q *destinationQueue) removeFirst() {
	q.items[0] = nil // releases the item's memory
	q.items = q.items[1:]
}

type sentDelivery struct {
	*queuedItem
	receiverIncarnation uint64 // of the relay's folder that it was sent to
	sentAt              api.Micros
	bypassing           bool
}

// orderingScope is what deliveries are ordered within: a key of one destination.
type orderingScope struct {
	destination api.DestinationID
	key         api.OrderingKey
}

// pathCounts counts the unfinished deliveries of an ordering scope on each path.
type pathCounts struct{ atRelay, bypassing int }

type unackedFrame struct {
	Frame
	count uint64 // deliveries of the generation up to and including this frame
}

// InDoubt is a delivery that the relay may have.
type InDoubt struct {
	Delivery
	SentAt api.Micros // just before it was first sent
	Key    api.OrderingKey
}

// NewSender returns a sender with the epoch of the lease that it holds. clockDrift is the maximal difference
// between the rates of two clocks, as a share.
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

// SetGeneration sets the number of the first generation, at least 1. A sender that replaces another one of the
// same epoch, such as one of an earlier process, needs a number above all of that one's.
func (s *Sender) SetGeneration(number uint64) { s.generation.Number = number }

// InFlight returns how many deliveries the relay may have.
func (s *Sender) InFlight() int { return s.inFlight }

// IsUnreachable reports whether the relay counts as unreachable.
func (s *Sender) IsUnreachable() bool { return s.unreachable }

func (s *Sender) queueFor(destination api.DestinationID) *destinationQueue {
	q := s.queues[destination]
	if q == nil {
		q = &destinationQueue{destination: destination}
		s.queues[destination] = q
		s.allQueues = append(s.allQueues, q)
	}
	return q
}

// pathsOf returns the counts of an ordering scope to be changed; key 0 has none that matter.
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

// Add queues an item; latencyTarget is that of its event type. The caller must not change the item afterwards.
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

// markReady has a queue take part in the next frame if it can.
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

func (s *Sender) canSend(q *destinationQueue) bool {
	return len(q.items) > 0 && q.inFlight < s.destinationLimit && !q.detached && !s.isBehindBypassing(q)
}

// isBehindBypassing reports whether the first item of a queue must not overtake one of its key that bypasses the
// relay. It has to bypass the relay as well: see TakeBypassing.
func (s *Sender) isBehindBypassing(q *destinationQueue) bool {
	key := q.items[0].item.Key
	counts := s.pathsByKey[orderingScope{destination: q.destination, key: key}]
	return key != 0 && counts != nil && counts.bypassing > 0
}

func (s *Sender) scheduleFrame(at api.Micros) {
	if s.frameDueAt == api.Never || at < s.frameDueAt {
		s.frameDueAt = at
	}
}

// availableCredit returns how many deliveries may be sent now.
func (s *Sender) availableCredit() int {
	n := int(s.credit - min(s.sentCount, s.credit))
	if s.window > 0 {
		n = min(n, s.window-s.inFlight)
	}
	return max(n, 0)
}

// NextFrameAt returns when NextFrame has a frame, if nothing happens before; false: not without an event.
func (s *Sender) NextFrameAt() (at api.Micros, ok bool) {
	switch {
	case !s.opened:
		return 0, false
	case s.nextRetransmit < len(s.unacked):
		return 0, true
	}
	return s.frameDueAt, len(s.readyQueues) > 0 && s.availableCredit() > 0
}

// NextFrame returns the next frame to send. Its deliveries count as sent from now on: the caller has to record them
// before the first byte is sent. Queues take turns, so that an unhealthy subscriber does not block others.
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

// gather moves deliveries from the ready queues, one of each in turn, into a frame.
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

// recordSent records a delivery as sent or bypassing. It replaces an earlier record: a delivery may bypass the relay
// twice, if its origin listed it before it learned of the first time, and the counts of its key would never fall
// to zero.
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

// Complete records that a delivery has its result, or bypasses the relay after it was in doubt.
func (s *Sender) Complete(d Delivery) {
	record := s.sent[d]
	if record == nil {
		return
	}
	s.forgetSent(d, record)
	if s.opened && s.window > 0 && !record.bypassing {
		s.window++ // it doubles with each round trip, as in slow start, until only the credit matters
	}
	s.markReady(s.queueFor(d.Destination))
}
