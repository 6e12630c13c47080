package relay

import (
	"log/slog"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
)

// Run sends until Close.
func (t *Stream) Run() {
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
func (t *Stream) rings(wait time.Duration) <-chan struct{} {
	if !t.open && wait > 0 {
		return nil
	}
	return t.bell
}

// once says one message at the most, and tells how long to wait before the next.
func (t *Stream) once() time.Duration {
	if time.Since(t.looked) > t.pace.Poll {
		t.looked = time.Now()
		t.with(func() { t.books.Late(t.s.Late(t.now())) })
	}
	if !t.holds() {
		return t.asks()
	}
	if !t.open {
		return t.opening()
	}
	t.mu.Lock()
	f, ok := t.s.Next(t.now())
	at, due := t.s.Due()
	t.mu.Unlock()
	if !ok {
		if due {
			return max(time.Duration(at-t.now())*time.Microsecond, 0)
		}
		return t.poll()
	}
	if err := t.notes(f); err != nil { // not sent: it goes again as it is
		slog.Error("stream: not noted", "relay", t.relay, "why", err)
		t.with(t.s.Cut)
		return t.pace.Poll
	}
	return t.says(FramePath, transport.Encode(f), func(a stream.Answer) {
		if a.Run == f.Run && a.Upto < f.Seq { // behind a gap
			t.s.Cut()
		}
	})
}

// notes has a frame noted before it is sent first. Guards against one that goes again after some of it has
// ended, which can't be noted any more and need not.
func (t *Stream) notes(f stream.Frame) error {
	if f.Run == t.notedIn && f.Seq <= t.noted {
		return nil
	}
	items, _, err := f.Unpack()
	if err == nil {
		t.mu.Lock()
		err = t.books.Sending(items, f.Life, t.now())
		t.mu.Unlock()
	}
	if err == nil {
		t.notedIn, t.noted = f.Run, f.Seq
	}
	return err
}

// asks is for one that is sender no more: the relay's word on what it sent is still wanted.
func (t *Stream) asks() time.Duration {
	t.lose()
	t.mu.Lock()
	outs := t.s.Outs()
	t.mu.Unlock()
	if outs > 0 && time.Since(t.asked) > t.pace.Gone {
		t.asked = time.Now()
		t.opening()
	}
	return t.pace.Poll
}

// poll asks for news of the relay's room now and then, as a full one may have told it in vain.
func (t *Stream) poll() time.Duration {
	if rest := t.pace.Gone/2 - time.Since(t.heard); rest > 0 {
		return min(rest, t.pace.Gone/2)
	}
	t.mu.Lock()
	ask := t.s.Opening()
	t.mu.Unlock()
	return t.says(OpenPath, transport.Encode(Opening{Ask: ask, At: t.now()}), func(stream.Answer) {})
}

func (t *Stream) says(path string, body []byte, then func(stream.Answer)) time.Duration {
	code, raw, err := t.said.Call(t.relay, path, body, t.pace.Within)
	var a stream.Answer
	switch {
	case err != nil || code == statusUnkept:
		t.with(t.s.Cut)
		if time.Since(t.heard) > t.pace.Gone {
			t.lose()
		}
		return t.pace.Poll
	case code != fasthttp.StatusOK || transport.Decode(raw, &a) != nil:
		slog.Warn("stream: to be opened anew", "relay", t.relay, "status", code)
		t.lose()
		return 0
	}
	t.heard = time.Now()
	same := true
	t.with(func() {
		if same = t.s.Answered(a, t.now()); same {
			then(a)
		}
	})
	if !same {
		t.lose()
	}
	return 0
}

// lose has what is unsure go by its rule, each time anew: it changes with time.
func (t *Stream) lose() {
	t.open = false
	t.with(func() {
		for _, d := range t.books.Unsure(t.s.Gone(), false) {
			t.s.Ended(d)
		}
	})
}

func (t *Stream) opening() time.Duration {
	t.mu.Lock()
	ask := t.s.Opening()
	t.mu.Unlock()
	raw := transport.Encode(Opening{Ask: ask, Learned: t.books.Learned(), At: t.now()})
	code, raw, err := t.said.Call(t.relay, OpenPath, raw, t.pace.Within)
	var a stream.Answer
	if err != nil || code != fasthttp.StatusOK && code != statusFenced || transport.Decode(raw, &a) != nil {
		if time.Since(t.heard) > t.pace.Gone {
			t.lose()
		}
		return t.pace.Poll
	}
	t.heard = time.Now()
	t.with(func() {
		again, lost := t.s.Opened(ask, a, code == statusFenced, t.now())
		t.books.Unsent(again)
		for _, d := range t.books.Unsure(lost, true) {
			t.s.Ended(d)
		}
	})
	t.open = code == fasthttp.StatusOK
	t.fenced.Store(!t.open && t.holds())
	slog.Info("stream opened", "relay", t.relay, "run", a.Run, "fenced", !t.open, "held", len(a.Held))
	if t.open {
		return 0
	}
	return t.pace.Gone
}
