package relay

import (
	"log/slog"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
)

// Run sends until Close.
func (t *Sender) Run() {
	defer close(t.done)
	t.heard = time.Now()
	for {
		wait := t.once()
		timer := time.NewTimer(wait)
		select {
		case <-t.ended:
			timer.Stop()
			return
		case <-timer.C:
		case <-t.rings(wait):
			timer.Stop()
		}
	}
}

// rings is the bell, but not while a try has just failed.
func (t *Sender) rings(wait time.Duration) <-chan struct{} {
	if !t.open && wait > 0 {
		return nil
	}
	return t.bell
}

// once says one message at the most, and tells how long to wait before the next.
func (t *Sender) once() time.Duration {
	if time.Since(t.looked) > t.pace.PollInterval {
		t.looked = time.Now()
		t.with(func() { t.books.DropExpired(t.s.DropExpired(t.now())) })
	}
	if !t.holds() {
		return t.asks()
	}
	if !t.open {
		return t.opening()
	}
	t.mu.Lock()
	f, ok := t.s.NextFrame(t.now())
	at, due := t.s.NextFrameAt()
	t.mu.Unlock()
	if !ok {
		if due {
			return max(time.Duration(at-t.now())*time.Microsecond, 0)
		}
		return t.poll()
	}
	if err := t.notes(f); err != nil { // not sent: it goes again as it is
		slog.Error("stream: not noted", "relay", t.relay, "why", err)
		t.with(t.s.Retransmit)
		return t.pace.PollInterval
	}
	return t.says(FramePath, transport.Encode(f), func(a stream.Ack) {
		if a.Generation == f.Generation && a.LastSequence < f.Sequence { // behind a gap
			t.s.Retransmit()
		}
	})
}

// notes has a frame noted before it is sent first. Guards against one that goes again after some of it has
// ended, which can't be noted any more and need not.
func (t *Sender) notes(f stream.Frame) error {
	if f.Generation == t.notedIn && f.Sequence <= t.noted {
		return nil
	}
	items, _, err := f.Unpack()
	if err == nil {
		t.mu.Lock()
		err = t.books.RecordSending(items, f.ReceiverIncarnation, t.now())
		t.mu.Unlock()
	}
	if err == nil {
		t.notedIn, t.noted = f.Generation, f.Sequence
	}
	return err
}

// asks is for one that is sender no more: the relay's word on what it sent is still wanted.
func (t *Sender) asks() time.Duration {
	t.lose()
	t.mu.Lock()
	outs := t.s.InFlight()
	t.mu.Unlock()
	if outs > 0 && time.Since(t.asked) > t.pace.UnreachableTimeout {
		t.asked = time.Now()
		t.opening()
	}
	return t.pace.PollInterval
}

// poll asks for news of the relay's room now and then, as a full one may have told it in vain.
func (t *Sender) poll() time.Duration {
	if rest := t.pace.UnreachableTimeout/2 - time.Since(t.heard); rest > 0 {
		return min(rest, t.pace.UnreachableTimeout/2)
	}
	t.mu.Lock()
	ask := t.s.OpenRequest()
	t.mu.Unlock()
	return t.says(OpenPath, transport.Encode(OpenMessage{OpenRequest: ask, SentAt: t.now()}), func(stream.Ack) {})
}

func (t *Sender) says(path string, body []byte, then func(stream.Ack)) time.Duration {
	code, raw, err := t.said.Call(t.relay, path, body, t.pace.RequestTimeout)
	var a stream.Ack
	switch {
	case err != nil || code == statusUnkept:
		t.with(t.s.Retransmit)
		if time.Since(t.heard) > t.pace.UnreachableTimeout {
			t.lose()
		}
		return t.pace.PollInterval
	case code != fasthttp.StatusOK || transport.Decode(raw, &a) != nil:
		slog.Warn("stream: to be opened anew", "relay", t.relay, "status", code)
		t.lose()
		return 0
	}
	t.heard = time.Now()
	same := true
	t.with(func() {
		if same = t.s.HandleAck(a, t.now()); same {
			then(a)
		}
	})
	if !same {
		t.lose()
	}
	return 0
}

// lose has what is unsure go by its rule, each time anew: it changes with time.
func (t *Sender) lose() {
	t.open = false
	t.with(func() {
		for _, d := range t.books.ResolveInDoubt(t.s.MarkUnreachable(), false) {
			t.s.Complete(d)
		}
	})
}

func (t *Sender) opening() time.Duration {
	t.mu.Lock()
	ask := t.s.OpenRequest()
	t.mu.Unlock()
	raw := transport.Encode(OpenMessage{OpenRequest: ask, Learned: t.books.Learned(), SentAt: t.now()})
	code, raw, err := t.said.Call(t.relay, OpenPath, raw, t.pace.RequestTimeout)
	var a stream.Ack
	if err != nil || code != fasthttp.StatusOK && code != statusFenced || transport.Decode(raw, &a) != nil {
		if time.Since(t.heard) > t.pace.UnreachableTimeout {
			t.lose()
		}
		return t.pace.PollInterval
	}
	t.heard = time.Now()
	t.with(func() {
		again, lost := t.s.HandleOpened(ask, a, code == statusFenced, t.now())
		t.books.Requeue(again)
		for _, d := range t.books.ResolveInDoubt(lost, true) {
			t.s.Complete(d)
		}
	})
	t.open = code == fasthttp.StatusOK
	t.fenced.Store(!t.open && t.holds())
	slog.Info("stream opened", "relay", t.relay, "run", a.Generation, "fenced", !t.open, "held", len(a.Pending))
	if t.open {
		return 0
	}
	return t.pace.UnreachableTimeout
}
