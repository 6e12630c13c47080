package stream

import (
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// destinationShare is the share of the free capacity that the pending deliveries of one destination may use. With 0.5,
// one unhealthy destination can fill a third of the whole capacity, and any number of them leave some capacity free
// (Choudhury and Hahne, Dynamic Queue Length Thresholds for Shared-Memory Packet Switches, 1998).
const destinationShare = 0.5

// Checkpoint is a relay's position in the stream. The relay must store it in one write with the items of a frame before
// it acknowledges the frame. If it stored the checkpoint in a later write and crashed in between, it could accept the
// frame a second time, after its deliveries had their results and were forgotten.
type Checkpoint struct {
	Incarnation  uint64     `cbor:"1,keyasint"` // random, generated with the folder, never 0
	Generation   Generation `cbor:"2,keyasint"`
	LastSequence Sequence   `cbor:"3,keyasint"`
	Received     uint64     `cbor:"4,keyasint"` // number of deliveries received in the generation
}

// Receiver is the relay's side of its site's stream.
type Receiver struct {
	checkpoint     Checkpoint
	credit         uint64               // greatest Ack.Credit granted in the generation
	deliveries     map[Delivery]*Result // nil: pending; else the result, which the origin has not acknowledged
	pending        int                  // number of pending deliveries
	unacknowledged []Delivery           // with a result that the origin has not acknowledged, in the order of the results
	rollback       func()               // reverts the last Receive or Open; nil if there is nothing to revert
}

// NewReceiver returns a receiver with the state from the journal: the checkpoint, the pending deliveries, and the
// unacknowledged results in the order in which they were recorded.
func NewReceiver(c Checkpoint, pending []Delivery, unacknowledged []Result) *Receiver {
	r := &Receiver{checkpoint: c, deliveries: map[Delivery]*Result{}}
	for _, d := range pending {
		r.deliveries[d] = nil
	}
	r.pending = len(r.deliveries)
	for _, result := range unacknowledged {
		r.deliveries[result.Delivery] = &result
		r.unacknowledged = append(r.unacknowledged, result.Delivery)
	}
	return r
}

// Checkpoint returns the checkpoint to store.
func (r *Receiver) Checkpoint() Checkpoint { return r.checkpoint }

// Credit returns how many further deliveries a relay accepts in total, and how many may be in flight to one
// destination. pending and capacity are the number of pending deliveries and its limit.
func Credit(pending, capacity int) (total, perDestination int) {
	total = max(capacity-pending, 0)
	return total, max(1, int(destinationShare*float64(total)))
}

// Ack returns an ack with the state of the generation. capacity is how many deliveries may be pending at once; if it
// falls, credit that was granted stays granted.
func (r *Receiver) Ack(capacity int, now api.Micros) Ack {
	total, perDestination := Credit(r.pending, capacity)
	r.credit = max(r.credit, r.checkpoint.Received+uint64(total))
	return Ack{
		Incarnation:      r.checkpoint.Incarnation,
		Generation:       r.checkpoint.Generation,
		LastSequence:     r.checkpoint.LastSequence,
		Credit:           r.credit,
		DestinationLimit: perDestination,
		ReceiverTime:     now,
	}
}

// ReservedCredit returns how many deliveries the sender may still send. The relay must keep this capacity free.
func (r *Receiver) ReservedCredit() int { return int(r.credit - min(r.checkpoint.Received, r.credit)) }

// Open begins a generation, which ends all earlier ones. The caller must store the checkpoint before it sends the ack.
// Of request.Sent, Open returns the deliveries that are pending or have an unacknowledged result. Any other
// delivery of request.Sent that was sent to this incarnation of the folder was never received and never will be. This
// also holds if the error is cluster.ErrFenced: the relay accepts no more frames of a generation that it rejects.
func (r *Receiver) Open(request OpenRequest) (known []Delivery, err error) {
	r.rollback = nil
	generation := request.Generation
	if generation.Epoch == 0 || generation.Number == 0 {
		return nil, fmt.Errorf("%w: generation %v", ErrMalformed, generation)
	}
	for _, d := range request.Sent {
		if _, ok := r.deliveries[d]; ok {
			known = append(known, d)
		}
	}
	if generation.precedes(r.checkpoint.Generation) {
		return known, cluster.ErrFenced
	}
	checkpoint, credit := r.checkpoint, r.credit
	r.rollback = func() {
		r.checkpoint = checkpoint
		r.credit = credit
	}
	if r.checkpoint.Generation != generation { // if equal, the request is a duplicate or a poll for credit
		r.checkpoint.Generation = generation
		r.checkpoint.LastSequence = 0
		r.checkpoint.Received = 0
		r.credit = 0
	}
	return known, nil
}

// Receive accepts a frame. It returns the new items, with times by the relay's clock. The caller must write them to the
// journal in one write with the checkpoint, and call Rollback if the write fails. A frame that was received before, or
// that follows a missing one, has no effect: the sender sees from Ack.LastSequence which frame is expected.
func (r *Receiver) Receive(f Frame) (fresh []Item, err error) {
	r.rollback = nil
	switch {
	case f.Generation.precedes(r.checkpoint.Generation):
		return nil, cluster.ErrFenced
	case f.Generation != r.checkpoint.Generation || f.Generation.Epoch == 0:
		return nil, ErrNotOpen
	case f.ReceiverIncarnation != r.checkpoint.Incarnation:
		return nil, ErrNotOpen
	}
	items, count, err := f.Unpack()
	if err != nil {
		return nil, err
	}
	if f.Sequence != r.checkpoint.LastSequence+1 {
		return nil, nil
	}
	checkpoint := r.checkpoint
	var added []Delivery
	for _, i := range items {
		addedOfItem := r.addPending(&i)
		added = append(added, addedOfItem...)
		i.Deadline += f.ClockOffset
		if i.FirstAttemptAt != api.Never {
			i.FirstAttemptAt += f.ClockOffset
		}
		if len(addedOfItem) > 0 {
			fresh = append(fresh, i)
		}
	}
	r.pending += len(added)
	r.checkpoint.LastSequence = f.Sequence
	r.checkpoint.Received += uint64(count)
	r.rollback = func() {
		r.checkpoint = checkpoint
		r.pending -= len(added)
		for _, d := range added {
			delete(r.deliveries, d)
		}
	}
	return fresh, nil
}

// addPending adds the unknown deliveries of an item as pending, and removes the known ones from the item. Some deliveries
// of an item with several destinations may be known, because a sender in an earlier incarnation of the origin sent
// them.
func (r *Receiver) addPending(i *Item) (added []Delivery) {
	destinations := i.Destinations
	i.Destinations = nil // a new list: other items may share the old one's memory
	for _, destination := range destinations {
		d := Delivery{Message: i.ID, Destination: destination}
		if _, known := r.deliveries[d]; known {
			continue
		}
		r.deliveries[d] = nil
		added = append(added, d)
		i.Destinations = append(i.Destinations, destination)
	}
	return added
}

// Rollback reverts the last Receive or Open, after the write of the checkpoint has failed. It must be called before any
// other method, so that no ack covers what was not stored.
func (r *Receiver) Rollback() {
	if r.rollback != nil {
		r.rollback()
		r.rollback = nil
	}
}

// RecordResult records the result of a pending delivery, and ignores others. The caller must have stored the result,
// which may be reported to the origin from now on.
func (r *Receiver) RecordResult(result Result) {
	if earlier, known := r.deliveries[result.Delivery]; !known || earlier != nil {
		return
	}
	r.deliveries[result.Delivery] = &result
	r.pending--
	r.unacknowledged = append(r.unacknowledged, result.Delivery)
}

// UnacknowledgedResults returns the results that an origin has not acknowledged, oldest first and at most limit.
func (r *Receiver) UnacknowledgedResults(origin cluster.MemberID, limit int) (results []Result) {
	for _, d := range r.unacknowledged {
		result := r.deliveries[d]
		if result != nil && d.Message.Origin == origin && len(results) < limit {
			results = append(results, *result)
		}
	}
	return results
}

// OriginsAwaitingResults returns the origins that have not acknowledged all of their results, sorted.
func (r *Receiver) OriginsAwaitingResults() []cluster.MemberID {
	origins := map[cluster.MemberID]bool{}
	for _, d := range r.unacknowledged {
		origins[d.Message.Origin] = true
	}
	return slices.Sorted(maps.Keys(origins))
}

// AcknowledgeResults forgets the results of deliveries, which their origin has in its own journal.
func (r *Receiver) AcknowledgeResults(acknowledged []Delivery) {
	for _, d := range acknowledged {
		if result := r.deliveries[d]; result != nil {
			delete(r.deliveries, d)
		}
	}
	r.unacknowledged = slices.DeleteFunc(r.unacknowledged, func(d Delivery) bool { return r.deliveries[d] == nil })
}
