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

// Mark is what a relay must keep in one write with what a frame brought, before it answers. Were it kept by
// itself, a frame could be taken again whose deliveries had ended and been heard.
type Mark struct {
	Life  uint64 `cbor:"1,keyasint"` // random, drawn with the folder, never 0
	Run   Run    `cbor:"2,keyasint"`
	Upto  Seq    `cbor:"3,keyasint"`
	Taken uint64 `cbor:"4,keyasint"` // deliveries of the run
}

// Receiver is a relay's side of its site's stream.
type Receiver struct {
	mark  Mark
	limit uint64
	of    map[Delivery]*End // nil: held; else owed to its owner
	held  int
	owed  []Delivery // in the order in which they ended; some may have been heard
	undo  func()
}

// NewReceiver begins with what the journal knows: what it holds, and the ends that it owes, in order.
func NewReceiver(m Mark, held []Delivery, owed []End) *Receiver {
	r := &Receiver{mark: m, of: map[Delivery]*End{}}
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

// Mark is what to keep.
func (r *Receiver) Mark() Mark { return r.mark }

// Credit is how many deliveries a relay still takes, in all and of one subscriber.
func Credit(held, buffer int) (all, each int) {
	all = max(buffer-held, 0)
	return all, max(1, int(freePart*float64(all)))
}

// Answer tells where the run stands; buffer: deliveries that may be held at once. What was promised stays so.
func (r *Receiver) Answer(buffer int, now api.Micros) Answer {
	all, each := Credit(r.held, buffer)
	r.limit = max(r.limit, r.mark.Taken+uint64(all))
	return Answer{Life: r.mark.Life, Run: r.mark.Run, Upto: r.mark.Upto, Limit: r.limit, Each: each, At: now}
}

// Reserved is what is promised to the sender and has not come: whatever else the relay takes must leave it.
func (r *Receiver) Reserved() int { return int(r.limit - min(r.mark.Taken, r.limit)) }

// Open begins a run, which ends all before it; the mark must be kept before Answer is said. Of what was
// asked, held is here or owed; of the rest, what was sent to this life was never taken and never will be.
// That holds with cluster.ErrFenced too, as a run that is refused is over.
func (r *Receiver) Open(a Ask) (held []Delivery, err error) {
	r.undo = nil
	if a.Run.Epoch == 0 || a.Run.No == 0 {
		return nil, fmt.Errorf("%w: run %v", ErrForm, a.Run)
	}
	for _, d := range a.Sent {
		if _, ok := r.of[d]; ok {
			held = append(held, d)
		}
	}
	if a.Run.before(r.mark.Run) {
		return held, cluster.ErrFenced
	}
	was, limit := r.mark, r.limit
	r.undo = func() { r.mark, r.limit = was, limit }
	if r.mark.Run != a.Run { // else it is asked again
		r.mark.Run, r.mark.Upto, r.mark.Taken, r.limit = a.Run, 0, 0, 0
	}
	return held, nil
}

// Take takes a frame. Fresh is what is to be journalled now, in one write with the mark, by this clock; where
// that fails, Undo. A frame seen before, and one behind a gap, bring nothing: the answer tells from where on.
func (r *Receiver) Take(f Frame) (fresh []Item, err error) {
	r.undo = nil
	switch {
	case f.Run.before(r.mark.Run):
		return nil, cluster.ErrFenced
	case f.Run != r.mark.Run || f.Run.Epoch == 0 || f.Life != r.mark.Life:
		return nil, ErrUnopened
	}
	items, n, err := f.Unpack()
	if err != nil {
		return nil, err
	}
	if f.Seq != r.mark.Upto+1 {
		return nil, nil
	}
	was, took := r.mark, []Delivery{}
	for _, i := range items {
		// Fresh by subscriber: an announcement may be half here, of an earlier life of its sender.
		all := i.To
		i.To = nil
		for _, to := range all {
			d := Delivery{Name: i.Name, To: to}
			if _, ok := r.of[d]; ok {
				continue
			}
			r.of[d] = nil
			took = append(took, d)
			i.To = append(i.To, to)
		}
		if i.TTL += f.Lag; i.MayRun != api.Never {
			i.MayRun += f.Lag
		}
		if len(i.To) > 0 {
			fresh = append(fresh, i)
		}
	}
	r.held += len(took)
	r.mark.Upto, r.mark.Taken = f.Seq, r.mark.Taken+uint64(n)
	r.undo = func() {
		r.mark, r.held = was, r.held-len(took)
		for _, d := range took {
			delete(r.of, d)
		}
	}
	return fresh, nil
}

// Undo takes back the last Take or Open, whose write failed: at once, and nothing of it was said.
func (r *Receiver) Undo() {
	if r.undo != nil {
		r.undo()
		r.undo = nil
	}
}

// Ended takes a delivery's end, which is owed to its owner from now on: kept before it is told.
func (r *Receiver) Ended(e End) {
	if was, ok := r.of[e.Delivery]; !ok || was != nil {
		return
	}
	r.of[e.Delivery] = &e
	r.held--
	r.owed = append(r.owed, e.Delivery)
}

// Owed lists up to most ends that an owner has not heard, first ended first.
func (r *Receiver) Owed(owner cluster.MemberID, most int) (ends []End) {
	for _, d := range r.owed {
		if e := r.of[d]; e != nil && d.Name.Owner == owner && len(ends) < most {
			ends = append(ends, *e)
		}
	}
	return ends
}

// Owners are those that are owed ends.
func (r *Receiver) Owners() []cluster.MemberID {
	owners := map[cluster.MemberID]bool{}
	for _, d := range r.owed {
		owners[d.Name.Owner] = true
	}
	return slices.Sorted(maps.Keys(owners))
}

// Told forgets ends that their owner has in its own journal.
func (r *Receiver) Told(heard []Delivery) {
	for _, d := range heard {
		if e, ok := r.of[d]; ok && e != nil {
			delete(r.of, d)
		}
	}
	r.owed = slices.DeleteFunc(r.owed, func(d Delivery) bool { return r.of[d] == nil })
}
