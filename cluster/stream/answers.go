package stream

import "rowanlink/webhook/api"

// HandleAck takes what the relay said of this run; older and doubled answers do no harm. False: its folder is
// another than the one that was opened, and so the relay counts as gone.
func (s *Sender) HandleAck(a Ack, now api.Micros) bool {
	if !s.opened || a.Generation != s.run || a.Incarnation != s.life {
		return !s.opened || a.Generation != s.run
	}
	s.look(a, now)
	n := 0
	for n < len(s.kept) && s.kept[n].Sequence <= a.LastSequence {
		n++
	}
	s.kept, s.again = s.kept[n:], max(s.again-n, 0)
	s.limit = max(s.limit, a.Credit)
	if rose := a.DestinationLimit > s.each; a.DestinationLimit > 0 {
		s.each = a.DestinationLimit
		if rose {
			s.wakeAll()
		}
	}
	return true
}

func (s *Sender) wakeAll() {
	for _, l := range s.all {
		s.wake(l)
	}
}

// Retransmit tells that the link broke or an answer showed a gap: all that is not answered goes again, as it is.
// What was sent proves nothing: only an answer does.
func (s *Sender) Retransmit() { s.again = 0 }

// UnackedFrames is how many frames the relay is not known to have.
func (s *Sender) UnackedFrames() int { return len(s.kept) }

// Complete tells that a delivery is over, or that it goes beside the stream by the rule on what is unsure.
func (s *Sender) Complete(d Delivery) {
	was := s.out[d]
	if was == nil {
		return
	}
	s.forget(d, was)
	if s.opened && s.window > 0 && !was.beside {
		s.window++ // it doubles with each round, and soon the limit alone counts
	}
	s.wake(s.line(d.Destination))
}

func (s *Sender) forget(d Delivery, was *sent) {
	delete(s.out, d)
	key := was.item.Key
	w := s.ways(d.Destination, key)
	if was.beside {
		w.beside--
	} else {
		w.out--
		s.outs--
		s.line(d.Destination).out--
	}
	if *w == (ways{}) {
		delete(s.keys, keyed{d.Destination, key})
	}
}

// hold counts a delivery once, wherever it was: guards against one that goes beside the stream twice, as its
// owner listed it before it was told of the first time. Its key would stay beside for good.
func (s *Sender) hold(l *line, e *entry, as *sent) {
	d := Delivery{Message: e.item.ID, Destination: l.to}
	if was := s.out[d]; was != nil {
		s.forget(d, was)
	}
	s.out[d] = as
	if as.beside {
		s.ways(l.to, e.item.Key).beside++
		return
	}
	l.out++
	s.outs++
	s.ways(l.to, e.item.Key).out++
}

// lag is by how much the relay's clock shows more, at the least: an answer was said before it was heard. So
// no time that goes over is later there than here, however long messages are on their way; it is early by no
// more than the quickest answer took.
func (s *Sender) lag(now api.Micros) api.Micros {
	return s.lead - api.Micros(s.apart*float64(now-s.seen))
}

func (s *Sender) look(a Ack, now api.Micros) {
	if s.seen == api.Never || a.ReceiverTime-now > s.lag(now) {
		s.lead, s.seen = a.ReceiverTime-now, now
	}
}
