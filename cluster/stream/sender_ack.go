package stream

import "rowanlink/webhook/api"

// HandleAck processes an ack of the relay. Old and duplicate acks do no harm. It returns false if the relay's folder is
// not the one that the stream was opened with; the caller must then call MarkUnreachable.
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

// Retransmit makes NextFrame return all frames without an ack again, with no change but ClockOffset. The caller calls it
// when the connection broke or an ack showed that the relay missed a frame. It is unknown which of the frames arrived.
func (s *Sender) Retransmit() { s.nextRetransmit = 0 }

// UnackedFrames returns how many frames were sent and not acknowledged.
func (s *Sender) UnackedFrames() int { return len(s.unacked) }

// clockOffset returns a lower bound of how far the relay's clock is ahead of the sender's. It is a lower bound because an
// ack's ReceiverTime is older than its arrival. A time shifted by the offset therefore comes no later at the relay than
// here, however slow messages are, and too early by at most the travel time of the fastest ack and the clocks' drift
// since that.
func (s *Sender) clockOffset(now api.Micros) api.Micros {
	return s.clockLead - api.Micros(s.clockDrift*float64(now-s.leadMeasuredAt))
}

// measureClock updates the measured lead of the relay's clock, if the ack gives a greater lower bound.
func (s *Sender) measureClock(a Ack, now api.Micros) {
	lead := a.ReceiverTime - now
	if s.leadMeasuredAt == api.Never || lead > s.clockOffset(now) {
		s.clockLead = lead
		s.leadMeasuredAt = now
	}
}
