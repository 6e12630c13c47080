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

// relayCapacityShare is the share of a dispatcher's buffer that its relay may fill: the rest is for clients' own.
const relayCapacityShare = 1.0 / 2

// relayRecord is one entry of the relay's journal: a mark, or a delivery. A delivery's stands from the write
// that brought it until its owner has heard its end, so around all that the decider's own journal has of
// it: what is here and not there has yet to be handed in.
type relayRecord struct {
	Checkpoint     *stream.Checkpoint `cbor:"1,keyasint,omitempty"`
	Delivery       stream.Delivery    `cbor:"2,keyasint"`
	RequestID      inflight.RequestID `cbor:"3,keyasint,omitempty"`
	Webhook        []byte             `cbor:"4,keyasint,omitempty"` // as exchange.Webhook.Bytes
	Attempts       int                `cbor:"5,keyasint,omitempty"`
	FirstAttemptAt api.Micros         `cbor:"6,keyasint,omitempty"`
	Zone           api.ZoneID         `cbor:"7,keyasint,omitempty"`
	Result         *stream.Result     `cbor:"8,keyasint,omitempty"`
}

// relayReceiver is a relay's journal and its dispatcher: it hands in what came and writes down how it ended.
type relayReceiver struct {
	localDispatcher
	receiver *relay.Receiver

	mu                   sync.Mutex
	journal              *wal.Log
	lastRecord           api.WebhookID
	checkpointRecord     api.WebhookID // the mark's record
	recordIDs            map[stream.Delivery]api.WebhookID
	pending              map[inflight.RequestID]*relayRecord // of those that have no end yet
	pendingByDestination map[api.DestinationID]int           // how many of them, by destination
	unsubmitted          []*relayRecord                      // to be handed in
	finished             []finishedWebhook
	wakeup               chan struct{}
	closed               chan struct{}
}

// localDispatcher is the relay's own.
type localDispatcher struct {
	loop        *eventloop.Loop
	inbox       *inflight.Inbox
	capacity    func() int  // deliveries that may be held at once
	isAccepting func() bool // this member takes webhooks on
}

var errNotAccepting = errors.New("this member takes nothing on any more")

var _ relay.ReceiverStore = (*relayReceiver)(nil)

// openRelayReceiver reads what an earlier life left and goes on by it.
func openRelayReceiver(dir string, diskMB float64, of localDispatcher, said relay.Messenger, p relay.Timing) (*relayReceiver, error) {
	kept, err := openJournal(dir, diskMB)
	if err != nil {
		return nil, err
	}
	k := &relayReceiver{localDispatcher: of, journal: kept, recordIDs: map[stream.Delivery]api.WebhookID{},
		pending: map[inflight.RequestID]*relayRecord{}, pendingByDestination: map[api.DestinationID]int{},
		wakeup: make(chan struct{}, 1), closed: make(chan struct{})}
	var m stream.Checkpoint
	last, all := map[stream.Delivery]*relayRecord{}, []stream.Delivery{}
	for _, e := range kept.Entries() {
		var r relayRecord
		if err := transport.Decode(e.Payload, &r); err != nil {
			return nil, fmt.Errorf("relay: record %d: %w", e.ID, err)
		}
		k.lastRecord = max(k.lastRecord, e.ID)
		was, known := k.recordIDs[r.Delivery]
		if r.Checkpoint != nil {
			was, known = k.checkpointRecord, k.checkpointRecord != 0
			m, k.checkpointRecord = *r.Checkpoint, e.ID
		} else {
			if k.recordIDs[r.Delivery] = e.ID; !known {
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
		if r.Result != nil {
			owed = append(owed, *r.Result)
			continue
		}
		held, ids = append(held, d), append(ids, r.RequestID)
		k.pending[r.RequestID] = r
		k.pendingByDestination[d.Destination]++
	}
	if m.Incarnation == 0 {
		var draw [8]byte
		crand.Read(draw[:])
		m.Incarnation = max(1, binary.LittleEndian.Uint64(draw[:]))
		if err := k.write([]*relayRecord{{Checkpoint: &m}}); err != nil {
			return nil, err
		}
		k.checkpointRecord = k.lastRecord
	}
	k.receiver = relay.NewReceiver(stream.NewReceiver(m, held, owed), k, said, p, inflight.Now)
	ended, there := of.loop.NotifyInsteadOfPlatform(ids, k.recordFinished)
	for id, e := range ended {
		k.recordFinished(id, e)
		there[e.RequestID] = true
	}
	for _, id := range ids { // in the order taken
		if !there[id] {
			k.unsubmitted = append(k.unsubmitted, k.pending[id])
		}
	}
	if len(held)+len(owed) > 0 {
		slog.Info("relay goes on", "held", len(held), "to_hand_in", len(k.unsubmitted), "ends_owed", len(owed))
	}
	go k.run()
	k.notify()
	return k, nil
}

func (k *relayReceiver) notify() {
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

// write keeps records in one write; after an error none is kept. The caller holds the lock, or nobody else
// has the desk yet.
func (k *relayReceiver) write(all []*relayRecord) (err error) {
	began := k.lastRecord
	for _, r := range all {
		k.lastRecord++
		if err = k.journal.Accept(k.lastRecord, transport.Encode(r)); err != nil {
			break
		}
	}
	if err == nil {
		err = k.journal.Commit()
	}
	if err != nil {
		for id := began + 1; id <= k.lastRecord; id++ {
			k.journal.Undo(id)
		}
	}
	return err
}

// Persist writes what a frame brought, with the mark.
func (k *relayReceiver) Persist(m stream.Checkpoint, fresh []stream.Item) error {
	if len(fresh) > 0 && !k.isAccepting() { // told to end: the sender keeps it
		return errNotAccepting
	}
	all := []*relayRecord{{Checkpoint: &m}}
	for _, i := range fresh {
		for _, to := range i.Destinations {
			w := inflight.Webhook{RequestID: inflight.RequestID(i.RequestIDFor(to)), Token: inflight.Token(i.Token),
				EventType: i.EventType, Tenant: i.Tenant, OrderingKey: i.Key, Destination: to, Deadline: i.TTL, Body: i.Body}
			all = append(all, &relayRecord{Delivery: stream.Delivery{Message: i.ID, Destination: to}, RequestID: w.RequestID,
				Webhook: w.Encode(), Attempts: i.Attempts, FirstAttemptAt: i.FirstAttemptAt, Zone: i.Zone})
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	began := k.lastRecord
	if err := k.write(all); err != nil {
		return err
	}
	k.journal.Finish(k.checkpointRecord, nil)
	k.checkpointRecord = began + 1
	for n, r := range all[1:] {
		k.recordIDs[r.Delivery] = began + 2 + api.WebhookID(n)
		k.pending[r.RequestID] = r
		k.pendingByDestination[r.Delivery.Destination]++
		k.unsubmitted = append(k.unsubmitted, r)
	}
	k.notify()
	return nil
}

// hasPending tells whether something for a destination has no end yet.
func (k *relayReceiver) hasPending(d api.DestinationID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pendingByDestination[d] > 0
}

// Capacity is what may be held at once.
func (k *relayReceiver) Capacity() int { return k.capacity() }

// ForgetResults forgets ends that their owners have. One that is kept all the same would be told again.
func (k *relayReceiver) ForgetResults(heard []stream.Delivery) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range heard {
		if at, known := k.recordIDs[d]; known {
			k.journal.Finish(at, nil)
			delete(k.recordIDs, d)
		}
	}
	if err := k.journal.Commit(); err != nil {
		slog.Error("relay: ends heard are not written", "why", err)
	}
}

func (k *relayReceiver) close() error {
	close(k.closed)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.journal.Close()
}
