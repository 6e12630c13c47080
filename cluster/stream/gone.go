package stream

import (
	"slices"

	"rowanlink/webhook/api"
)

// RestoreSent takes what this owner's journal says was sent in an earlier life or epoch and has not ended, in the
// order in which it was taken among what is added, before anything is opened. life: of the relay's folder.
func (s *Sender) RestoreSent(i Item, life uint64, sentAt api.Micros) {
	e := s.entry(i, 0)
	for _, to := range i.Destinations {
		s.hold(s.line(to), e, &sent{e, life, sentAt, false})
	}
}

// RestoreBypassing takes what went beside the stream in an earlier life and has not ended, as Resume does.
func (s *Sender) RestoreBypassing(i Item) {
	e := s.entry(i, 0)
	for _, to := range i.Destinations {
		if i.Key != 0 {
			s.hold(s.line(to), e, &sent{entry: e, beside: true})
		}
	}
}

// DropExpired takes out what is queued and past its time to live, in no order that matters: it never ran.
func (s *Sender) DropExpired(now api.Micros) (late []Delivery) {
	for _, l := range s.all {
		l.queue = slices.DeleteFunc(l.queue, func(e *entry) bool {
			if e.item.TTL <= now {
				late = append(late, Delivery{Message: e.item.ID, Destination: l.to})
			}
			return e.item.TTL <= now
		})
		s.wake(l)
	}
	return late
}

// MarkUnreachable tells that the relay can't be reached: nothing is sent until it is opened anew. unsure is what may be
// there, for Rule; see Free for what was never sent.
func (s *Sender) MarkUnreachable() (unsure []InDoubt) {
	if !s.gone {
		s.gone = true
		s.close()
	}
	for _, d := range s.sentInOrder() {
		unsure = append(unsure, InDoubt{d, s.out[d].at, s.out[d].item.Key})
	}
	return unsure
}

func (s *Sender) close() {
	if s.opened {
		s.run.Number++
	}
	s.opened = false
	s.kept, s.again, s.seq, s.count, s.limit, s.window = nil, 0, 0, 0, 0, 0
}

// DetachDestination tells that a subscriber is no longer reached by this relay. What is sent ends where it is.
func (s *Sender) DetachDestination(to api.DestinationID) { s.line(to).leaves = true }

// AttachDestination takes it back.
func (s *Sender) AttachDestination(to api.DestinationID) {
	l := s.line(to)
	l.leaves = false
	s.wake(l)
}

// TakeBypassing takes out what may go beside the stream at once, in order, as it was never sent: all while the relay
// is gone or its subscriber leaves, and what is behind one that went so before. What is behind one that may
// be at the relay waits: asked again after an end, Free tells more. Ended is owed for each.
func (s *Sender) TakeBypassing() (never []Delivery) {
	type freed struct {
		Delivery
		order uint64
	}
	var all []freed
	for _, l := range s.all {
		l.queue = slices.DeleteFunc(l.queue, func(e *entry) bool {
			w := s.keys[keyed{l.to, e.item.Key}]
			if w == nil || e.item.Key == 0 {
				w = &ways{}
			}
			if w.out > 0 || !s.gone && !l.leaves && w.beside == 0 {
				return false
			}
			d := Delivery{Message: e.item.ID, Destination: l.to}
			if e.item.Key != 0 {
				s.hold(l, e, &sent{entry: e, beside: true})
			}
			all = append(all, freed{d, e.order})
			return true
		})
		s.wake(l)
	}
	slices.SortStableFunc(all, func(a, b freed) int { return int(int64(a.order) - int64(b.order)) })
	for _, f := range all {
		never = append(never, f.Delivery)
	}
	return never
}

// OpenRequest is what to ask the relay first, and again until Opened; also while open, for news of its room.
func (s *Sender) OpenRequest() OpenRequest {
	a := OpenRequest{Generation: s.run}
	if !s.opened {
		a.Sent = s.sentInOrder()
	}
	return a
}

func (s *Sender) sentInOrder() (all []Delivery) {
	for d, o := range s.out {
		if !o.beside {
			all = append(all, d)
		}
	}
	slices.SortFunc(all, func(a, b Delivery) int {
		if c := int(int64(s.out[a].order) - int64(s.out[b].order)); c != 0 {
			return c
		}
		return int(int64(a.Destination) - int64(b.Destination))
	})
	return all
}

// HandleOpened takes the answer to an opening. again: the relay never took them and never will, they are queued
// where they were. lost: they were sent to a folder that is no more, so that nobody can tell: for Rule, and
// out of the sender's hands. refused: a later epoch was seen; the same is told, and all else goes to its
// holder.
func (s *Sender) HandleOpened(asked OpenRequest, a Ack, refused bool, now api.Micros) (again []Delivery,
	lost []InDoubt) {
	if s.opened || asked.Generation != s.run || !refused && a.Generation != s.run {
		return nil, nil
	}
	held := make(map[Delivery]bool, len(a.Pending))
	for _, d := range a.Pending {
		held[d] = true
	}
	back := map[*line][]*entry{}
	for _, d := range asked.Sent {
		was := s.out[d]
		switch {
		case was == nil || was.beside || held[d]:
			continue
		case was.life != a.Incarnation:
			lost = append(lost, InDoubt{d, was.at, was.item.Key})
			s.forget(d, was)
			if was.item.Key != 0 { // what is behind it follows it
				s.hold(s.line(d.Destination), was.entry, &sent{entry: was.entry, beside: true})
			}
		default:
			again = append(again, d)
			s.forget(d, was)
			back[s.line(d.Destination)] = append(back[s.line(d.Destination)], was.entry)
		}
	}
	for l, first := range back {
		l.queue = append(first, l.queue...)
	}
	s.life, s.seen = a.Incarnation, api.Never
	s.look(a, now)
	if refused {
		s.gone = true
		return again, lost
	}
	s.opened, s.limit, s.each = true, a.Credit, max(a.DestinationLimit, 1)
	if s.gone {
		s.window = max(1, int(startPart*float64(s.limit)))
	}
	s.gone = false
	s.wakeAll()
	return again, lost
}

// IsUnreachable tells whether the relay counts as gone.
func (s *Sender) IsUnreachable() bool { return s.gone }
