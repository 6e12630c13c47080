package stream

import "rowanlink/webhook/api"

// HandleAck processes an ack of the relay; old and duplicate ones do no harm. It returns false if the relay has
// another folder than the one that was opened, so that the caller has to treat it as unreachable.
func (s *Sender) HandleAck(a Ack, now api.Micros) bool {
	if !s.opened || a.Generation != s.generation {
		return true
	}
	if a.Incarnation != s.receiverIncarnation {
		return false
	}
	s.measureClock(a, now)
	acked := 0
	for acked < len(s.unacked) && s.unacked[acked].Sequence <= a.LastSequence {
		acked++
	}
	s.unacked = s.unacked[acked:]
	s.nextRetransmit = max(s.nextRetransmit-acked, 0)
	s.credit = max(s.credit, a.Credit)
	s.updateDestinationLimit(a.DestinationLimit)
	return true
}

func (s *Sender) updateDestinationLimit(limit int) {
	if limit <= 0 {
		return
	}
	isRaised := limit > s.destinationLimit
	s.destinationLimit = limit
	if isRaised {
		s.markAllReady()
	}
}

// Retransmit is called when the connection broke or an ack showed a gap: all frames without an ack are sent again
// unchanged. That they were sent proves nothing.
func (s *Sender) Retransmit() { s.nextRetransmit = 0 }

// UnackedFrames returns how many frames the relay is not known to have.
func (s *Sender) UnackedFrames() int { return len(s.unacked) }

// clockOffset returns how much the relay's clock is ahead at the least, as acks are older than their arrival. A
// time shifted by it is never later at the relay than here, however slow messages are, and early by no more than
// the fastest ack took.
func (s *Sender) clockOffset(now api.Micros) api.Micros {
	return s.clockLead - api.Micros(s.clockDrift*float64(now-s.leadMeasuredAt))
}

func (s *Sender) measureClock(a Ack, now api.Micros) {
	lead := a.ReceiverTime - now
	if s.leadMeasuredAt == api.Never || lead > s.clockOffset(now) {
		s.clockLead = lead
		s.leadMeasuredAt = now
	}
}
