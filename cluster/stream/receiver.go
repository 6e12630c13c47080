package stream

import (
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// destinationShare is the share of the free capacity that one subscriber may have: an unhealthy one gets a third of
// it all, and any number of them leave some free (Choudhury and Hahne, Dynamic Queue Length Thresholds for
// Shared-Memory Packet Switches, 1998).
const destinationShare = 0.5

// Checkpoint is what a relay has to store in one write with what a frame brought, before it acknowledges the frame.
// If it were stored separately, a frame could be accepted again after its deliveries had their results and were
// forgotten.
type Checkpoint struct {
	Incarnation  uint64     `cbor:"1,keyasint"` // random, generated with the folder, never 0
	Generation   Generation `cbor:"2,keyasint"`
	LastSequence Sequence   `cbor:"3,keyasint"`
	Received     uint64     `cbor:"4,keyasint"` // deliveries of the generation
}

// Receiver is the relay's side of its site's stream.
type Receiver struct {
	checkpoint     Checkpoint
	credit         uint64               // as granted in acks
	deliveries     map[Delivery]*Result // nil: pending; else not acknowledged by its origin
	pending        int
	unacknowledged []Delivery // in the order of their results; some may have been acknowledged
	rollback       func()     // nil: nothing to roll back
}

// NewReceiver returns a receiver with what the journal has: the pending deliveries, and the unacknowledged results in
// order.
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

// Credit returns how many further deliveries a relay accepts, in all and in flight to one subscriber.
func Credit(pending, capacity int) (total, perDestination int) {
	total = max(capacity-pending, 0)
	return total, max(1, int(destinationShare*float64(total)))
}

// Ack returns the state of the generation; capacity is how many deliveries may be pending at once. Credit that was
// granted is never withdrawn.
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

// ReservedCredit returns how many deliveries the sender may still send: the relay must keep that capacity free.
func (r *Receiver) ReservedCredit() int { return int(r.credit - min(r.checkpoint.Received, r.credit)) }

// Open begins a generation, which ends all earlier ones; the checkpoint has to be stored before the ack is sent.
// Of the deliveries asked about, it returns those that are pending or have an unacknowledged result. The others,
// as far as they were sent to this incarnation, were never received and never will be. That also holds with
// cluster.ErrFenced, as a generation that is rejected has ended.
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
	if r.checkpoint.Generation != generation { // else the request is repeated
		r.checkpoint.Generation = generation
		r.checkpoint.LastSequence = 0
		r.checkpoint.Received = 0
		r.credit = 0
	}
	return known, nil
}

// Receive accepts a frame. It returns the items to be journalled now, in one write with the checkpoint, with times
// of this clock; if the write fails, call Rollback. A frame that was received before, or that is behind a gap, has no
// effect: the ack says which is expected.
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
		i.TTL += f.ClockOffset
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

// addPending adds the deliveries of an item that are not known yet, and reduces the item to them: some of an
// announcement may be here already, sent by an earlier incarnation of the sender.
func (r *Receiver) addPending(i *Item) (added []Delivery) {
	destinations := i.Destinations
	i.Destinations = nil // not truncated: items share the list
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

// Rollback reverts the last Receive or Open after its write has failed. It has to be called at once, before anything
// is sent.
func (r *Receiver) Rollback() {
	if r.rollback != nil {
		r.rollback()
		r.rollback = nil
	}
}

// RecordResult records the result of a pending delivery, which has to be stored before it is reported to the origin.
func (r *Receiver) RecordResult(result Result) {
	if earlier, known := r.deliveries[result.Delivery]; !known || earlier != nil {
		return
	}
	r.deliveries[result.Delivery] = &result
	r.pending--
	r.unacknowledged = append(r.unacknowledged, result.Delivery)
}

// UnacknowledgedResults returns up to limit results that an origin has not acknowledged, oldest first.
func (r *Receiver) UnacknowledgedResults(origin cluster.MemberID, limit int) (results []Result) {
	for _, d := range r.unacknowledged {
		result := r.deliveries[d]
		if result != nil && d.Message.Origin == origin && len(results) < limit {
			results = append(results, *result)
		}
	}
	return results
}

// OriginsAwaitingResults returns the members that have not acknowledged all their results.
func (r *Receiver) OriginsAwaitingResults() []cluster.MemberID {
	origins := map[cluster.MemberID]bool{}
	for _, d := range r.unacknowledged {
		origins[d.Message.Origin] = true
	}
	return slices.Sorted(maps.Keys(origins))
}

// AcknowledgeResults forgets results that their origin has in its own journal.
func (r *Receiver) AcknowledgeResults(acknowledged []Delivery) {
	for _, d := range acknowledged {
		if result := r.deliveries[d]; result != nil {
			delete(r.deliveries, d)
		}
	}
	r.unacknowledged = slices.DeleteFunc(r.unacknowledged, func(d Delivery) bool { return r.deliveries[d] == nil })
}
