package relay

import (
	"log/slog"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
)

// Run sends to the relay until Close is called.
func (s *Sender) Run() {
	defer close(s.done)
	s.lastContact = time.Now()
	for {
		wait := s.step()
		timer := time.NewTimer(wait)
		select {
		case <-s.closed:
			timer.Stop()
			return
		case <-timer.C:
		case <-s.wakeupUnlessBackingOff(wait):
			timer.Stop()
		}
	}
}

// wakeupUnlessBackingOff returns the wakeup channel. It returns nil, which never receives, while the stream is not
// open: then Run waits for the whole backoff.
func (s *Sender) wakeupUnlessBackingOff(wait time.Duration) <-chan struct{} {
	if !s.opened && wait > 0 {
		return nil
	}
	return s.wakeup
}

// step sends at most one message. It returns how long to wait for a wakeup before the next step.
func (s *Sender) step() time.Duration {
	if time.Since(s.lastExpiryCheck) > s.timing.PollInterval {
		s.lastExpiryCheck = time.Now()
		s.update(func() { s.store.DropExpired(s.state.DropExpired(s.now())) })
	}
	if !s.holdsLease() {
		return s.inquire()
	}
	if !s.opened {
		return s.openStream()
	}
	s.mu.Lock()
	f, ok := s.state.NextFrame(s.now())
	at, due := s.state.NextFrameAt()
	s.mu.Unlock()
	switch {
	case ok:
		return s.sendFrame(f)
	case due:
		return max(time.Duration(at-s.now())*time.Microsecond, 0)
	default:
		return s.pollCredit()
	}
}

// sendFrame records a frame and sends it. If the relay's ack shows that it still waits for an earlier frame, all frames
// without an ack are sent again.
func (s *Sender) sendFrame(f stream.Frame) time.Duration {
	if err := s.record(f); err != nil { // the frame is not sent now; Retransmit has it sent later, unchanged
		slog.Error("stream: frame not recorded", "relay", s.relay, "error", err)
		s.update(s.state.Retransmit)
		return s.timing.PollInterval
	}
	return s.send(FramePath, transport.Encode(f), func(a stream.Ack) {
		isEarlierFrameMissing := a.Generation == f.Generation && a.LastSequence < f.Sequence
		if isEarlierFrameMissing {
			s.state.Retransmit()
		}
	})
}

// record calls RecordSending for a frame before it is first sent. A retransmitted frame must not be recorded again: some
// of its deliveries may already have a result.
func (s *Sender) record(f stream.Frame) error {
	if f.Generation == s.recordedGeneration && f.Sequence <= s.recordedSequence {
		return nil
	}
	items, _, err := f.Unpack()
	if err != nil {
		return err
	}
	s.mu.Lock()
	err = s.store.RecordSending(items, f.ReceiverIncarnation, s.now())
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.recordedGeneration = f.Generation
	s.recordedSequence = f.Sequence
	return nil
}

// inquire is the step of a sender that no longer holds the lease. It requests the state of the deliveries that it sent and
// that have no result, at most once per UnreachableTimeout.
func (s *Sender) inquire() time.Duration {
	s.markUnreachable()
	s.mu.Lock()
	inFlight := s.state.InFlight()
	s.mu.Unlock()
	if inFlight > 0 && time.Since(s.lastInquiry) > s.timing.UnreachableTimeout {
		s.lastInquiry = time.Now()
		s.openStream()
	}
	return s.timing.PollInterval
}

// pollCredit requests the relay's credit when there was no contact for half of UnreachableTimeout. A relay that was full
// reports its new credit by itself, with results, but that message may have been lost.
func (s *Sender) pollCredit() time.Duration {
	interval := s.timing.UnreachableTimeout / 2
	if rest := interval - time.Since(s.lastContact); rest > 0 {
		return min(rest, interval)
	}
	s.mu.Lock()
	request := s.state.OpenRequest()
	s.mu.Unlock()
	message := OpenMessage{OpenRequest: request, SentAt: s.now()}
	return s.send(OpenPath, transport.Encode(message), func(stream.Ack) {})
}

// send sends a request while the stream is open. If the relay responds with an ack, send processes it and calls onAck with
// the lock held. It returns how long to wait before the next step.
func (s *Sender) send(path string, body []byte, onAck func(stream.Ack)) time.Duration {
	response, err := s.messenger.Call(s.relay, path, body, s.timing.RequestTimeout)
	var a stream.Ack
	switch {
	case err != nil || response.Status == statusNotStored:
		s.update(s.state.Retransmit)
		s.checkReachable()
		return s.timing.PollInterval
	case response.Decode(&a) != nil:
		slog.Warn("stream: request rejected or response invalid, reopening", "relay", s.relay, "status", response.Status)
		s.markUnreachable()
		return 0
	}
	s.lastContact = time.Now()
	isSameIncarnation := true
	s.update(func() {
		isSameIncarnation = s.state.HandleAck(a, s.now())
		if isSameIncarnation {
			onAck(a)
		}
	})
	if !isSameIncarnation {
		s.markUnreachable()
	}
	return 0
}

// checkReachable marks the relay as unreachable after UnreachableTimeout without contact.
func (s *Sender) checkReachable() {
	if time.Since(s.lastContact) > s.timing.UnreachableTimeout {
		s.markUnreachable()
	}
}

// markUnreachable marks the relay as unreachable and resolves the deliveries that it may have. It resolves them again at
// each call, as the resolution depends on the time.
func (s *Sender) markUnreachable() {
	s.opened = false
	s.update(func() {
		for _, d := range s.store.ResolveInDoubt(s.state.MarkUnreachable(), false) {
			s.state.Complete(d)
		}
	})
}

// openStream sends a request to open the stream and resolves the deliveries that were sent before. It returns how long to
// wait before the next step.
func (s *Sender) openStream() time.Duration {
	s.mu.Lock()
	request := s.state.OpenRequest()
	s.mu.Unlock()
	message := OpenMessage{
		OpenRequest:       request,
		DestinationStates: s.store.DestinationStates(),
		SentAt:            s.now(),
	}
	response, err := s.messenger.Call(s.relay, OpenPath, transport.Encode(message), s.timing.RequestTimeout)
	var a stream.Ack
	isAnswered := err == nil && (response.Status == fasthttp.StatusOK || response.Status == statusFenced)
	if !isAnswered || transport.Decode(response.Body, &a) != nil {
		s.checkReachable()
		return s.timing.PollInterval
	}
	s.lastContact = time.Now()
	s.update(func() {
		requeued, lost := s.state.HandleOpened(request, a, response.Status == statusFenced, s.now())
		s.store.Requeue(requeued)
		for _, d := range s.store.ResolveInDoubt(lost, true) {
			s.state.Complete(d)
		}
	})
	s.opened = response.Status == fasthttp.StatusOK
	s.fenced.Store(!s.opened && s.holdsLease())
	slog.Info("stream opened",
		"relay", s.relay, "generation", a.Generation, "fenced", !s.opened, "pending", len(a.Pending))
	if s.opened {
		return 0
	}
	return s.timing.UnreachableTimeout
}
