package upstream

import (
	"bufio"
	"bytes"
	"maps"
	"net"
	"regexp"
	"time"

	"rowanlink/internal/socket"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// link is one connection to an endpoint. One call at a time travels on it.
type link struct {
	net.Conn
	in     *bufio.Reader
	idleAt api.Micros // since when, while it is idle
}

func dial(addr string, within time.Duration) (*link, error) {
	c, err := (&net.Dialer{Timeout: within, KeepAlive: -1}).Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &link{Conn: c, in: bufio.NewReaderSize(c, 4096)}, nil
}

// quiet looks, without waiting, whether the other side has said or ended nothing that was not read.
// Guards against a call written to a connection that is gone, which would end as a reset that may have run,
// and against what follows an answer being read as the next one.
func (l *link) quiet() bool {
	if l.in.Buffered() > 0 {
		return false
	}
	quiet, _ := socket.Inspect(l.Conn)
	return quiet
}

// write writes a call, if it can be made on this link. Nothing can be an answer to it that comes before
// its last byte is written, so that the link is looked at once more before that. Not written, it never
// ran. So is whether it may still be made.
func (l *link) write(call []byte, until time.Time, still func() bool) bool {
	last := len(call) - 1
	if last < 0 || l.SetDeadline(until) != nil {
		return false
	}
	if _, err := l.Write(call[:last]); err != nil || !l.quiet() || !still() {
		return false
	}
	_, err := l.Write(call[last:])
	return err == nil
}

// head looks at an answer's head, interim ones before it left out: the whole of it, or all that came where it
// can't be had. Its first byte may come until the end, the rest soon after that.
func (l *link) head(until time.Time, rest api.Micros) ([]byte, error) {
	for {
		if _, err := l.in.Peek(1); err != nil {
			return nil, err
		}
		if soon := time.Now().Add(inflight.Duration(rest)); soon.Before(until) {
			if err := l.SetReadDeadline(soon); err != nil {
				return nil, err
			}
		}
		var head []byte
		var err error
		for n := 1; ; n = len(head) + 1 {
			_, err = l.in.Peek(n)
			head, _ = l.in.Peek(l.in.Buffered())
			if end := bytes.Index(head, []byte("\r\n\r\n")); end >= 0 {
				head, err = head[:end+4], nil
				break
			}
			if err != nil {
				break
			}
		}
		if err != nil || !interim.Match(head) {
			return head, err
		}
		if _, err := l.in.Discard(len(head)); err != nil {
			return nil, err
		}
		if err := l.SetReadDeadline(until); err != nil {
			return nil, err
		}
	}
}

var interim = regexp.MustCompile(`^HTTP/1\.1 1(0[02-9]|[1-9]\d)[ \r]`)

// keep returns a link whose call is over to the idle ones of its endpoint.
func (s *Client) keep(e *endpoint, l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Guards against a look at an idle link that fails at its last call's deadline, as if it had ended.
	if err := l.SetDeadline(time.Time{}); err != nil || s.ended {
		s.close(l)
		return
	}
	l.idleAt = inflight.Now()
	e.idle = append(e.idle, l)
}

// close ends a link; the caller holds the lock.
func (s *Client) close(l *link) {
	l.Conn.Close()
	s.open--
}

// take finds a live idle link, the one used last, or makes room for a new one.
func (s *Client) take(e *endpoint) (l *link, room bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(e.idle); n > 0; n = len(e.idle) {
		l, e.idle = e.idle[n-1], e.idle[:n-1]
		if int64(inflight.Now()-l.idleAt) < s.idleFor.Load() && l.quiet() {
			return l, true
		}
		s.close(l)
	}
	if s.open >= s.mostOpen && !s.closeOldest() {
		return nil, false
	}
	s.open++
	return nil, true
}

func (s *Client) closeOldest() bool {
	var at *endpoint
	for _, e := range s.all {
		if len(e.idle) > 0 && (at == nil || e.idle[0].idleAt < at.idle[0].idleAt) {
			at = e
		}
	}
	if at == nil {
		return false
	}
	s.close(at.idle[0])
	at.idle = at.idle[1:]
	return true
}

// Sweep closes what has been idle for long, before the other side does, and what that has ended. It forgets
// endpoints that are gone once nothing is out there.
func (s *Client) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := inflight.Now()
	for _, e := range s.all {
		kept := e.idle[:0]
		for _, l := range e.idle {
			if int64(now-l.idleAt) < s.idleFor.Load() && l.quiet() {
				kept = append(kept, l)
			} else {
				s.close(l)
			}
		}
		if e.idle = kept; e.gone && e.out == 0 && now >= s.waits[e.route] {
			delete(s.all, e.id)
		}
	}
	maps.DeleteFunc(s.waits, func(_ route, until api.Micros) bool { return now >= until })
}

// CloseIdle closes all idle links to an endpoint.
func (s *Client) CloseIdle(id api.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.all[id]; e != nil {
		s.closeIdle(e)
	}
}

func (s *Client) closeIdle(e *endpoint) {
	for _, l := range e.idle {
		s.close(l)
	}
	e.idle = nil
}
