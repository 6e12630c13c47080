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
)

// relayCapacityShare is the share of a dispatcher's buffer that its relay may use. The rest is left to its own clients.
const relayCapacityShare = 1.0 / 2

// relayRecord is a record of the relay's journal: a checkpoint or the state of a delivery. A delivery has a record from
// the write of the frame that contained it until its origin has the result. The dispatcher's write-ahead log gets
// the webhook later and drops it earlier. A delivery without a result that isn't in that log has yet to be submitted.
type relayRecord struct {
	Checkpoint     *stream.Checkpoint `cbor:"1,keyasint,omitempty"`
	Delivery       stream.Delivery    `cbor:"2,keyasint"`
	RequestID      inflight.RequestID `cbor:"3,keyasint,omitempty"`
	Webhook        []byte             `cbor:"4,keyasint,omitempty"` // encoded by inflight.Webhook.Encode
	Attempts       int                `cbor:"5,keyasint,omitempty"`
	FirstAttemptAt api.Micros         `cbor:"6,keyasint,omitempty"`
	Zone           api.ZoneID         `cbor:"7,keyasint,omitempty"`
	Result         *stream.Result     `cbor:"8,keyasint,omitempty"`
}

// relayReceiver is this member's relay: it stores the deliveries that it receives, submits them to the local
// dispatcher, and stores the results. It implements relay.ReceiverStore.
type relayReceiver struct {
	localDispatcher
	receiver *relay.Receiver

	mu                   sync.Mutex
	journal              *recordJournal
	checkpointRecord     api.WebhookID // 0: none
	recordIDs            map[stream.Delivery]api.WebhookID
	pending              map[inflight.RequestID]*relayRecord // deliveries without a stored result
	pendingByDestination map[api.DestinationID]int
	unsubmitted          []*relayRecord    // to be submitted by run
	finished             []finishedWebhook // results to be stored by run
	wakeup               chan struct{}
	closed               chan struct{}
}

// localDispatcher is the dispatcher of the relay's process.
type localDispatcher struct {
	loop        *eventloop.Loop
	inbox       *inflight.Inbox
	capacity    func() int  // maximum number of pending deliveries
	isAccepting func() bool // whether this member accepts webhooks
}

var errNotAccepting = errors.New("this member no longer accepts webhooks")

var _ relay.ReceiverStore = (*relayReceiver)(nil)

// openRelayReceiver opens the relay's journal, recovers the deliveries of an earlier process and starts run.
func openRelayReceiver(dir string, diskMB float64, dispatcher localDispatcher, messenger relay.Messenger,
	timing relay.Timing) (*relayReceiver, error) {
	journal, err := openJournal(dir, diskMB)
	if err != nil {
		return nil, err
	}
	r := &relayReceiver{
		localDispatcher:      dispatcher,
		journal:              journal,
		recordIDs:            map[stream.Delivery]api.WebhookID{},
		pending:              map[inflight.RequestID]*relayRecord{},
		pendingByDestination: map[api.DestinationID]int{},
		wakeup:               make(chan struct{}, 1),
		closed:               make(chan struct{}),
	}
	checkpoint, records, err := r.readJournal()
	if err != nil {
		return nil, err
	}
	var pending []stream.Delivery
	var pendingIDs []inflight.RequestID
	var unacknowledged []stream.Result
	for _, record := range records {
		if record.Result != nil {
			unacknowledged = append(unacknowledged, *record.Result)
			continue
		}
		pending = append(pending, record.Delivery)
		pendingIDs = append(pendingIDs, record.RequestID)
		r.addPending(record)
	}
	if checkpoint.Incarnation == 0 {
		checkpoint.Incarnation = newIncarnation()
		if r.checkpointRecord, err = r.write([]*relayRecord{{Checkpoint: &checkpoint}}); err != nil {
			return nil, err
		}
	}
	state := stream.NewReceiver(checkpoint, pending, unacknowledged)
	r.receiver = relay.NewReceiver(state, r, messenger, timing, inflight.Now)
	r.reconcileDispatcher(pendingIDs)
	if len(pending)+len(unacknowledged) > 0 {
		slog.Info("relay recovered its deliveries", "pending", len(pending), "unsubmitted", len(r.unsubmitted),
			"unacknowledged_results", len(unacknowledged))
	}
	go r.run()
	r.notify()
	return r, nil
}

// readJournal returns the last checkpoint and the last record of each delivery. The deliveries are in the order of
// their first records.
func (r *relayReceiver) readJournal() (checkpoint stream.Checkpoint, records []*relayRecord, err error) {
	last := map[stream.Delivery]*relayRecord{}
	var deliveries []stream.Delivery
	for _, e := range r.journal.Entries() {
		var record relayRecord
		if err := transport.Decode(e.Payload, &record); err != nil {
			return stream.Checkpoint{}, nil, fmt.Errorf("relay: record %d: %w", e.ID, err)
		}
		// The removal of a replaced record is stored only by a later write, so the journal may still have both.
		if record.Checkpoint != nil {
			if r.checkpointRecord != 0 {
				r.journal.Finish(r.checkpointRecord, nil)
			}
			checkpoint = *record.Checkpoint
			r.checkpointRecord = e.ID
			continue
		}
		if replaced, isReplacing := r.recordIDs[record.Delivery]; isReplacing {
			r.journal.Finish(replaced, nil)
		} else {
			deliveries = append(deliveries, record.Delivery)
		}
		r.recordIDs[record.Delivery] = e.ID
		last[record.Delivery] = &record
	}
	for _, d := range deliveries {
		records = append(records, last[d])
	}
	return checkpoint, records, nil
}

func newIncarnation() uint64 {
	var random [8]byte
	_, _ = crand.Read(random[:]) // never fails
	return max(1, binary.LittleEndian.Uint64(random[:]))
}

// reconcileDispatcher determines which of the pending webhooks the dispatcher has finished or still has. It queues the
// others for submission.
func (r *relayReceiver) reconcileDispatcher(pending []inflight.RequestID) {
	finished, known := r.loop.NotifyInsteadOfCallback(pending, r.recordFinished)
	for id, result := range finished {
		r.recordFinished(id, result)
		known[result.RequestID] = true
	}
	for _, id := range pending { // in the order of acceptance
		if !known[id] {
			r.unsubmitted = append(r.unsubmitted, r.pending[id])
		}
	}
}

func (r *relayReceiver) addPending(record *relayRecord) {
	r.pending[record.RequestID] = record
	r.pendingByDestination[record.Delivery.Destination]++
}

func (r *relayReceiver) removePending(record *relayRecord) {
	delete(r.pending, record.RequestID)
	destination := record.Delivery.Destination
	r.pendingByDestination[destination]--
	if r.pendingByDestination[destination] == 0 {
		delete(r.pendingByDestination, destination)
	}
}

// notify wakes up run.
func (r *relayReceiver) notify() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// write stores records in one write and returns the id of the first. If it returns an error, no record is stored. The
// caller holds mu, or is still constructing the relayReceiver.
func (r *relayReceiver) write(records []*relayRecord) (first api.WebhookID, err error) {
	encoded := make([][]byte, len(records))
	for i, record := range records {
		encoded[i] = transport.Encode(record)
	}
	return r.journal.append(encoded)
}

// Persist stores a checkpoint and the new items of a frame in one write.
func (r *relayReceiver) Persist(c stream.Checkpoint, fresh []stream.Item) error {
	if len(fresh) > 0 && !r.isAccepting() { // this member is shutting down; the sender keeps the items
		return errNotAccepting
	}
	records := []*relayRecord{{Checkpoint: &c}}
	for _, i := range fresh {
		for _, destination := range i.Destinations {
			records = append(records, newRelayRecord(&i, destination))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	first, err := r.write(records)
	if err != nil {
		return err
	}
	r.journal.Finish(r.checkpointRecord, nil)
	r.checkpointRecord = first
	for n, record := range records[1:] {
		r.recordIDs[record.Delivery] = first + 1 + api.WebhookID(n)
		r.addPending(record)
		r.unsubmitted = append(r.unsubmitted, record)
	}
	r.notify()
	return nil
}

func newRelayRecord(i *stream.Item, destination api.DestinationID) *relayRecord {
	w := inflight.Webhook{
		RequestID:   inflight.RequestID(i.RequestIDFor(destination)),
		Token:       inflight.Token(i.Token),
		EventType:   i.EventType,
		Tenant:      i.Tenant,
		OrderingKey: i.Key,
		Destination: destination,
		Deadline:    i.Deadline,
		Body:        i.Body,
	}
	return &relayRecord{
		Delivery:       stream.Delivery{Message: i.ID, Destination: destination},
		RequestID:      w.RequestID,
		Webhook:        w.Encode(),
		Attempts:       i.Attempts,
		FirstAttemptAt: i.FirstAttemptAt,
		Zone:           i.Zone,
	}
}

// hasPending reports whether a delivery to the destination has no result yet.
func (r *relayReceiver) hasPending(d api.DestinationID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pendingByDestination[d] > 0
}

// Capacity returns the maximum number of pending deliveries.
func (r *relayReceiver) Capacity() int { return r.capacity() }

// ForgetResults removes results that their origins have acknowledged. If the removal isn't stored, the next process
// reports the results again.
func (r *relayReceiver) ForgetResults(acknowledged []stream.Delivery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range acknowledged {
		if id, known := r.recordIDs[d]; known {
			r.journal.Finish(id, nil)
			delete(r.recordIDs, d)
		}
	}
	if err := r.journal.Commit(); err != nil {
		slog.Error("relay: removal of acknowledged results not stored", "error", err)
	}
}

// close stops run and closes the journal. It does not close the relay.Receiver, which reports results until the process
// ends.
func (r *relayReceiver) close() error {
	close(r.closed)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.Close()
}
