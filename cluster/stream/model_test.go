package stream

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// The model is one origin, whose sender sends to one relay, with the journals of both and connections that lose, duplicate
// and delay messages. Faults are random. The invariants on attempts and results are checked whenever one is recorded; that
// every delivery ends, and in order, is checked at the end.
const (
	relayCapacity  = 6
	relayClockLead = 7 * api.Second // how much the relay's clock is ahead
	ttl            = 40 * api.Second
	dedupWindow    = 15 * api.Second
)

var eventTypes = []api.EventType{
	{TTL: ttl},
	{TTL: ttl, Semantics: api.Deduplicated, DedupWindow: dedupWindow},
	{TTL: ttl, Semantics: api.AtMostOnce},
}

// ownedDelivery is a delivery in its origin's journal.
type ownedDelivery struct {
	Item
	number              int    // index in model.deliveries, the order of acceptance
	relayIncarnation    uint64 // of the relay's folder that the delivery was sent to; 0: not sent
	sentAt              api.Micros
	bypassing           bool
	deadLetteredInDoubt bool // dead-lettered by the origin, although it may have run or may still run at the relay
}

// relayDelivery is a delivery in the relay's journal.
type relayDelivery struct {
	Item
	called bool // an attempt may have run
}

type model struct {
	*rapid.T
	now        api.Micros
	epoch      cluster.Epoch
	sender     *Sender
	open       map[Delivery]*ownedDelivery
	outcomes   map[Delivery]Outcome
	deliveries []*ownedDelivery

	relayIncarnation uint64
	receiver         *Receiver
	checkpoint       Checkpoint
	relayDeliveries  []*relayDelivery
	unacknowledged   []Result
	failNextWrite    bool // the relay's next write fails

	toRelay, toOrigin []func() // messages in flight; each function is the message's arrival

	attempts map[Delivery][]api.Micros // times of the attempts that ran, anywhere
	trace    map[orderingScope][]int   // numbers of the deliveries that ran, in the order of their attempts
}

func (o *ownedDelivery) delivery() Delivery {
	return Delivery{Message: o.ID, Destination: o.Destinations[0]}
}
func (h *relayDelivery) delivery() Delivery {
	return Delivery{Message: h.ID, Destination: h.Destinations[0]}
}

func single(i Item, to api.DestinationID) Item {
	i.Destinations = []api.DestinationID{to}
	return i
}

func (m *model) addItem() {
	id := uint64(len(m.deliveries))
	kind := rapid.IntRange(0, 2).Draw(m.T, "type")
	i := Item{
		ID:             MessageID{Origin: "m1", Incarnation: 1, Number: id},
		IsAnnouncement: true,
		EventType:      api.EventTypeID(kind),
		Key:            api.OrderingKey(rapid.IntRange(0, 1).Draw(m.T, "key")),
		Deadline:       m.now + ttl,
		FirstAttemptAt: api.Never,
		Body:           []byte("b"),
		TokenWindow:    eventTypes[kind].DedupWindow,
	}
	i.Destinations = [][]api.DestinationID{{1}, {2}, {1, 2}, {1, 2, 3}}[rapid.IntRange(0, 3).Draw(m.T, "to")]
	for _, to := range i.Destinations {
		o := &ownedDelivery{Item: single(i, to), number: len(m.deliveries)}
		m.open[o.delivery()] = o
		m.deliveries = append(m.deliveries, o)
	}
	m.sender.Add(i, api.Second, m.now)
	m.takeBypassing()
}

// takeBypassing hands the deliveries that bypass the relay to the origin's policy.
func (m *model) takeBypassing() {
	for _, d := range m.sender.TakeBypassing() {
		if o := m.open[d]; o.relayIncarnation != 0 && o.isAtMostOnce() {
			m.Fatalf("%v is at most once, was sent to the relay and now bypasses it", d)
		}
		m.open[d].bypassing = true
	}
}

func (o *ownedDelivery) isAtMostOnce() bool {
	return eventTypes[o.EventType].Semantics == api.AtMostOnce
}

// recordOutcome ends a delivery at the origin. It fails the test if the delivery had ended before.
func (m *model) recordOutcome(d Delivery, outcome Outcome) {
	if earlier, ended := m.outcomes[d]; ended {
		m.Fatalf("%v ended as %d and again as %d", d, earlier, outcome)
	}
	m.outcomes[d] = outcome
	delete(m.open, d)
	m.sender.Complete(d)
	m.takeBypassing()
}

func (m *model) resolveInDoubt(of []InDoubt, lost bool) {
	resolve := func(u InDoubt) Resolution {
		o := m.open[u.Delivery]
		return Resolve(&o.Item, u.SentAt, eventTypes[o.EventType], lost, o.Deadline, m.now)
	}
	resolutions := ResolveLost(of, resolve)
	for i, u := range of {
		o := m.open[u.Delivery]
		if !lost {
			resolutions[i] = resolve(u)
		}
		switch resolutions[i] {
		case ResolveRetry:
			o.bypassing = true
			o.FirstAttemptAt = u.SentAt
			if o.Key == 0 || !lost { // a lost ordered delivery stays recorded as bypassing until it has its result
				m.sender.Complete(u.Delivery)
			}
		case ResolveDeadLetter:
			o.deadLetteredInDoubt = !lost
			m.recordOutcome(u.Delivery, DeadLettered)
		}
	}
	m.takeBypassing()
}

func (m *model) handleUnreachable() { m.resolveInDoubt(m.sender.MarkUnreachable(), false) }

func (m *model) handleAck(a Ack) {
	if !m.sender.HandleAck(a, m.now) {
		m.handleUnreachable()
	}
}

// sendFrame records the next frame in the origin's journal and sends it.
func (m *model) sendFrame() {
	f, ok := m.sender.NextFrame(m.now)
	if !ok {
		return
	}
	items, _, err := f.Unpack()
	if err != nil {
		m.Fatal(err)
	}
	for _, i := range items {
		for _, to := range i.Destinations {
			if o := m.open[Delivery{Message: i.ID, Destination: to}]; o != nil && o.relayIncarnation == 0 {
				o.relayIncarnation = m.sender.receiverIncarnation
				o.sentAt = m.now
			}
		}
	}
	raw := Encode(f)
	m.toRelay = append(m.toRelay, func() { m.receiveFrame(raw) })
}

func (m *model) receiveFrame(raw []byte) {
	var f Frame
	if err := Decode(raw, &f); err != nil {
		m.Fatal(err)
	}
	fresh, err := m.receiver.Receive(f)
	if err != nil {
		m.toOrigin = append(m.toOrigin, func() {
			if f.Generation == m.sender.generation {
				m.handleUnreachable()
			}
		})
		return
	}
	if m.failNextWrite {
		m.receiver.Rollback()
		m.failNextWrite = false
		return
	}
	m.checkpoint = m.receiver.Checkpoint()
	for _, i := range fresh {
		for _, to := range i.Destinations {
			m.relayDeliveries = append(m.relayDeliveries, &relayDelivery{
				Item:   single(i, to),
				called: i.FirstAttemptAt != api.Never,
			})
		}
	}
	if len(m.relayDeliveries) > relayCapacity {
		m.Fatalf("%d pending, capacity %d", len(m.relayDeliveries), relayCapacity)
	}
	a := m.receiver.Ack(relayCapacity, m.now+relayClockLead)
	m.toOrigin = append(m.toOrigin, func() { m.handleAck(a) })
}

func (m *model) sendOpenRequest() {
	request := m.sender.OpenRequest()
	m.toRelay = append(m.toRelay, func() {
		pending, err := m.receiver.Open(request)
		m.checkpoint = m.receiver.Checkpoint()
		a := m.receiver.Ack(relayCapacity, m.now+relayClockLead)
		a.Pending = pending
		m.toOrigin = append(m.toOrigin, func() {
			m.handleAck(a)
			requeued, lost := m.sender.HandleOpened(request, a, err != nil, m.now)
			for _, d := range requeued {
				m.open[d].relayIncarnation = 0
			}
			m.resolveInDoubt(lost, true)
		})
	})
}

// sendResults reports results to the origin, which acknowledges those that its journal has.
func (m *model) sendResults() {
	limit := rapid.IntRange(1, 4).Draw(m.T, "results")
	reporter := m.receiver
	results := reporter.UnacknowledgedResults("m1", limit)
	ack := reporter.Ack(relayCapacity, m.now+relayClockLead)
	m.toOrigin = append(m.toOrigin, func() {
		m.handleAck(ack)
		var acknowledged []Delivery
		for _, e := range results {
			at, o := Location(0), m.open[e.Delivery]
			if o != nil && o.bypassing {
				at = LocationLocal
			} else if o != nil {
				at = LocationRelay
			}
			if ActionForResult(e, at, o != nil && o.Key != 0) != IgnoreResult {
				m.recordOutcome(e.Delivery, e.Outcome)
			}
			acknowledged = append(acknowledged, e.Delivery)
		}
		m.toRelay = append(m.toRelay, func() {
			if m.receiver.checkpoint.Incarnation != reporter.checkpoint.Incarnation {
				return
			}
			m.receiver.AcknowledgeResults(acknowledged)
			m.unacknowledged = slices.DeleteFunc(m.unacknowledged, func(r Result) bool {
				return slices.Contains(acknowledged, r.Delivery)
			})
		})
	})
}

func TestModel_EveryDeliveryEndsOnce(t *testing.T) { rapid.Check(t, checkModel) }
