package site

import (
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"rowanlink/cluster/relay"
	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

// roomPart is the share of a dispatcher's buffer that its relay may fill: the rest is for clients' own.
const roomPart = 1.0 / 2

// record is one entry of the relay's journal: a mark, or a delivery. A delivery's stands from the write
// that brought it until its owner has heard its end, so around all that the decider's own journal has of
// it: what is here and not there has yet to be handed in.
type record struct {
	Mark     *stream.Checkpoint `cbor:"1,keyasint,omitempty"`
	Delivery stream.Delivery    `cbor:"2,keyasint"`
	Request  inflight.RequestID `cbor:"3,keyasint,omitempty"`
	Whole    []byte             `cbor:"4,keyasint,omitempty"` // as exchange.Webhook.Bytes
	Attempts int                `cbor:"5,keyasint,omitempty"`
	MayRun   api.Micros         `cbor:"6,keyasint,omitempty"`
	Zone     api.ZoneID         `cbor:"7,keyasint,omitempty"`
	End      *stream.Result     `cbor:"8,keyasint,omitempty"`
}

// desk is a relay's journal and its dispatcher: it hands in what came and writes down how it ended.
type desk struct {
	dispatcher
	relay *relay.Receiver

	mu     sync.Mutex
	kept   *wal.Log
	last   api.WebhookID
	marked api.WebhookID // the mark's record
	of     map[stream.Delivery]api.WebhookID
	ids    map[inflight.RequestID]*record // of those that have no end yet
	tos    map[api.DestinationID]int      // how many of them, by destination
	fresh  []*record                      // to be handed in
	over   []over
	bell   chan struct{}
	ended  chan struct{}
}

// dispatcher is the relay's own.
type dispatcher struct {
	decider *eventloop.Loop
	x       *inflight.Inbox
	room    func() int  // deliveries that may be held at once
	takes   func() bool // this member takes webhooks on
}

var errLeaves = errors.New("this member takes nothing on any more")

var _ relay.ReceiverStore = (*desk)(nil)

// openDesk reads what an earlier life left and goes on by it.
func openDesk(dir string, diskMB float64, of dispatcher, said relay.Messenger, p relay.Timing) (*desk, error) {
	kept, err := openJournal(dir, diskMB)
	if err != nil {
		return nil, err
	}
	k := &desk{dispatcher: of, kept: kept, of: map[stream.Delivery]api.WebhookID{},
		ids: map[inflight.RequestID]*record{}, tos: map[api.DestinationID]int{},
		bell: make(chan struct{}, 1), ended: make(chan struct{})}
	var m stream.Checkpoint
	last, all := map[stream.Delivery]*record{}, []stream.Delivery{}
	for _, e := range kept.Entries() {
		var r record
		if err := transport.Decode(e.Payload, &r); err != nil {
			return nil, fmt.Errorf("relay: record %d: %w", e.ID, err)
		}
		k.last = max(k.last, e.ID)
		was, known := k.of[r.Delivery]
		if r.Mark != nil {
			was, known = k.marked, k.marked != 0
			m, k.marked = *r.Mark, e.ID
		} else {
			if k.of[r.Delivery] = e.ID; !known {
				all = append(all, r.Delivery)
			}
			last[r.Delivery] = &r
		}
		if known { // guards against a second effect: a record stands until the next write after its successor's
			kept.Finish(was, nil)
		}
	}
	var held []stream.Delivery
	var owed []stream.Result
	var ids []inflight.RequestID
	for _, d := range all {
		r := last[d]
		if r.End != nil {
			owed = append(owed, *r.End)
			continue
		}
		held, ids = append(held, d), append(ids, r.Request)
		k.ids[r.Request] = r
		k.tos[d.Destination]++
	}
	if m.Incarnation == 0 {
		var draw [8]byte
		crand.Read(draw[:])
		m.Incarnation = max(1, binary.LittleEndian.Uint64(draw[:]))
		if err := k.write([]*record{{Mark: &m}}); err != nil {
			return nil, err
		}
		k.marked = k.last
	}
	k.relay = relay.NewReceiver(stream.NewReceiver(m, held, owed), k, said, p, inflight.Now)
	ended, there := of.decider.NotifyInsteadOfPlatform(ids, k.ends)
	for id, e := range ended {
		k.ends(id, e)
		there[e.RequestID] = true
	}
	for _, id := range ids { // in the order taken
		if !there[id] {
			k.fresh = append(k.fresh, k.ids[id])
		}
	}
	if len(held)+len(owed) > 0 {
		slog.Info("relay goes on", "held", len(held), "to_hand_in", len(k.fresh), "ends_owed", len(owed))
	}
	go k.run()
	k.ring()
	return k, nil
}

func (k *desk) ring() {
	select {
	case k.bell <- struct{}{}:
	default:
	}
}

// write keeps records in one write; after an error none is kept. The caller holds the lock, or nobody else
// has the desk yet.
func (k *desk) write(all []*record) (err error) {
	began := k.last
	for _, r := range all {
		k.last++
		if err = k.kept.Accept(k.last, transport.Encode(r)); err != nil {
			break
		}
	}
	if err == nil {
		err = k.kept.Commit()
	}
	if err != nil {
		for id := began + 1; id <= k.last; id++ {
			k.kept.Undo(id)
		}
	}
	return err
}

// Persist writes what a frame brought, with the mark.
func (k *desk) Persist(m stream.Checkpoint, fresh []stream.Item) error {
	if len(fresh) > 0 && !k.takes() { // told to end: the sender keeps it
		return errLeaves
	}
	all := []*record{{Mark: &m}}
	for _, i := range fresh {
		for _, to := range i.Destinations {
			w := inflight.Webhook{RequestID: inflight.RequestID(i.RequestIDFor(to)), Token: inflight.Token(i.Token),
				EventType: i.EventType, Tenant: i.Tenant, OrderingKey: i.Key, Destination: to, Deadline: i.TTL, Body: i.Body}
			all = append(all, &record{Delivery: stream.Delivery{Message: i.ID, Destination: to}, Request: w.RequestID,
				Whole: w.Encode(), Attempts: i.Attempts, MayRun: i.FirstAttemptAt, Zone: i.Zone})
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	began := k.last
	if err := k.write(all); err != nil {
		return err
	}
	k.kept.Finish(k.marked, nil)
	k.marked = began + 1
	for n, r := range all[1:] {
		k.of[r.Delivery] = began + 2 + api.WebhookID(n)
		k.ids[r.Request] = r
		k.tos[r.Delivery.Destination]++
		k.fresh = append(k.fresh, r)
	}
	k.ring()
	return nil
}

// holds tells whether something for a destination has no end yet.
func (k *desk) holds(d api.DestinationID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tos[d] > 0
}

// Capacity is what may be held at once.
func (k *desk) Capacity() int { return k.room() }

// ForgetResults forgets ends that their owners have. One that is kept all the same would be told again.
func (k *desk) ForgetResults(heard []stream.Delivery) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range heard {
		if at, known := k.of[d]; known {
			k.kept.Finish(at, nil)
			delete(k.of, d)
		}
	}
	if err := k.kept.Commit(); err != nil {
		slog.Error("relay: ends heard are not written", "why", err)
	}
}

func (k *desk) close() error {
	close(k.ended)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.kept.Close()
}
