package stream

import (
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// freePart is how much of the room that is free one subscriber may have: one that is sick ends up with a
// third of it all, any number of them leave some (Choudhury and Hahne, Dynamic queue length thresholds,
// 1998).
const freePart = 0.5

// Checkpoint is what a relay must keep in one write with what a frame brought, before it answers. Were it kept by
// itself, a frame could be taken again whose deliveries had ended and been heard.
type Checkpoint struct {
	Incarnation  uint64     `cbor:"1,keyasint"` // random, drawn with the folder, never 0
	Generation   Generation `cbor:"2,keyasint"`
	LastSequence Sequence   `cbor:"3,keyasint"`
	Received     uint64     `cbor:"4,keyasint"` // deliveries of the run
}

// Receiver is a relay's side of its site's stream.
type Receiver struct {
	mark  Checkpoint
	limit uint64
	of    map[Delivery]*Result // nil: held; else owed to its owner
	held  int
	owed  []Delivery // in the order in which they ended; some may have been heard
	undo  func()
}

// NewReceiver begins with what the journal knows: what it holds, and the ends that it owes, in order.
func NewReceiver(m Checkpoint, held []Delivery, owed []Result) *Receiver {
	r := &Receiver{mark: m, of: map[Delivery]*Result{}}
	for _, d := range held {
		r.of[d] = nil
	}
	r.held = len(r.of)
	for _, e := range owed {
		r.of[e.Delivery] = &e
		r.owed = append(r.owed, e.Delivery)
	}
	return r
}

// Checkpoint is what to keep.
func (r *Receiver) Checkpoint() Checkpoint { return r.mark }

// Credit is how many deliveries a relay still takes, in all and of one subscriber.
func Credit(held, buffer int) (all, each int) {
	all = max(buffer-held, 0)
	return all, max(1, int(freePart*float64(all)))
}

// Ack tells where the run stands; buffer: deliveries that may be held at once. What was promised stays so.
func (r *Receiver) Ack(buffer int, now api.Micros) Ack {
	all, each := Credit(r.held, buffer)
	r.limit = max(r.limit, r.mark.Received+uint64(all))
	return Ack{Incarnation: r.mark.Incarnation, Generation: r.mark.Generation, LastSequence: r.mark.LastSequence, Credit: r.limit, DestinationLimit: each, ReceiverTime: now}
}

// ReservedCredit is what is promised to the sender and has not come: whatever else the relay takes must leave it.
func (r *Receiver) ReservedCredit() int { return int(r.limit - min(r.mark.Received, r.limit)) }

// Open begins a run, which ends all before it; the mark must be kept before Answer is said. Of what was
// asked, held is here or owed; of the rest, what was sent to this life was never taken and never will be.
// That holds with cluster.ErrFenced too, as a run that is refused is over.
func (r *Receiver) Open(a OpenRequest) (held []Delivery, err error) {
	r.undo = nil
	if a.Generation.Epoch == 0 || a.Generation.Number == 0 {
		return nil, fmt.Errorf("%w: run %v", ErrMalformed, a.Generation)
	}
	for _, d := range a.Sent {
		if _, ok := r.of[d]; ok {
			held = append(held, d)
		}
	}
	if a.Generation.precedes(r.mark.Generation) {
		return held, cluster.ErrFenced
	}
	was, limit := r.mark, r.limit
	r.undo = func() { r.mark, r.limit = was, limit }
	if r.mark.Generation != a.Generation { // else it is asked again
		r.mark.Generation, r.mark.LastSequence, r.mark.Received, r.limit = a.Generation, 0, 0, 0
	}
	return held, nil
}

// Receive takes a frame. Fresh is what is to be journalled now, in one write with the mark, by this clock; where
// that fails, Undo. A frame seen before, and one behind a gap, bring nothing: the answer tells from where on.
func (r *Receiver) Receive(f Frame) (fresh []Item, err error) {
	r.undo = nil
	switch {
	case f.Generation.precedes(r.mark.Generation):
		return nil, cluster.ErrFenced
	case f.Generation != r.mark.Generation || f.Generation.Epoch == 0 || f.ReceiverIncarnation != r.mark.Incarnation:
		return nil, ErrNotOpen
	}
	items, n, err := f.Unpack()
	if err != nil {
		return nil, err
	}
	if f.Sequence != r.mark.LastSequence+1 {
		return nil, nil
	}
	was, took := r.mark, []Delivery{}
	for _, i := range items {
		// Fresh by subscriber: an announcement may be half here, of an earlier life of its sender.
		all := i.Destinations
		i.Destinations = nil
		for _, to := range all {
			d := Delivery{Message: i.ID, Destination: to}
			if _, ok := r.of[d]; ok {
				continue
			}
			r.of[d] = nil
			took = append(took, d)
			i.Destinations = append(i.Destinations, to)
		}
		if i.TTL += f.ClockOffset; i.FirstAttemptAt != api.Never {
			i.FirstAttemptAt += f.ClockOffset
		}
		if len(i.Destinations) > 0 {
			fresh = append(fresh, i)
		}
	}
	r.held += len(took)
	r.mark.LastSequence, r.mark.Received = f.Sequence, r.mark.Received+uint64(n)
	r.undo = func() {
		r.mark, r.held = was, r.held-len(took)
		for _, d := range took {
			delete(r.of, d)
		}
	}
	return fresh, nil
}

// Rollback takes back the last Take or Open, whose write failed: at once, and nothing of it was said.
func (r *Receiver) Rollback() {
	if r.undo != nil {
		r.undo()
		r.undo = nil
	}
}

// RecordResult takes a delivery's end, which is owed to its owner from now on: kept before it is told.
func (r *Receiver) RecordResult(e Result) {
	if was, ok := r.of[e.Delivery]; !ok || was != nil {
		return
	}
	r.of[e.Delivery] = &e
	r.held--
	r.owed = append(r.owed, e.Delivery)
}

// UnacknowledgedResults lists up to most ends that an owner has not heard, first ended first.
func (r *Receiver) UnacknowledgedResults(owner cluster.MemberID, most int) (ends []Result) {
	for _, d := range r.owed {
		if e := r.of[d]; e != nil && d.Message.Origin == owner && len(ends) < most {
			ends = append(ends, *e)
		}
	}
	return ends
}

// OriginsAwaitingResults are those that are owed ends.
func (r *Receiver) OriginsAwaitingResults() []cluster.MemberID {
	owners := map[cluster.MemberID]bool{}
	for _, d := range r.owed {
		owners[d.Message.Origin] = true
	}
	return slices.Sorted(maps.Keys(owners))
}

// AcknowledgeResults forgets ends that their owner has in its own journal.
func (r *Receiver) AcknowledgeResults(heard []Delivery) {
	for _, d := range heard {
		if e, ok := r.of[d]; ok && e != nil {
			delete(r.of, d)
		}
	}
	r.owed = slices.DeleteFunc(r.owed, func(d Delivery) bool { return r.of[d] == nil })
}
