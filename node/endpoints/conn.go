package endpoints

import (
	"bufio"
	"net"
	"time"

	"rowanlink/gateway"
	"rowanlink/internal/socket"
	"rowanlink/node/exchange"
)

// link is one connection to an endpoint. One call at a time travels on it.
type link struct {
	net.Conn
	in     *bufio.Reader
	idleAt gateway.Micros // since when, while it is idle
}

func dial(addr string, within time.Duration) (*link, error) {
	c, err := (&net.Dialer{Timeout: within, KeepAlive: -1}).Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &link{Conn: c, in: bufio.NewReaderSize(c, 4096)}, nil
}

// alive looks, without waiting, whether the other side has said or ended anything while the link was idle.
// Guards against a call written to a connection that is gone, which would end as a reset that may have run.
func (l *link) alive() bool {
	if l.in.Buffered() > 0 {
		return false
	}
	quiet, _ := socket.Look(l.Conn)
	return quiet
}

// keep returns a link whose call is over to the idle ones of its endpoint.
func (s *Endpoints) keep(e *endpoint, l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		s.close(l)
		return
	}
	l.idleAt = exchange.Now()
	e.idle = append(e.idle, l)
}

// close ends a link; the caller holds the lock.
func (s *Endpoints) close(l *link) {
	l.Conn.Close()
	s.open--
}

// take finds a live idle link, the one used last, or makes room for a new one.
func (s *Endpoints) take(e *endpoint) (l *link, room bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(e.idle); n > 0; n = len(e.idle) {
		l, e.idle = e.idle[n-1], e.idle[:n-1]
		if exchange.Now()-l.idleAt < s.idleFor && l.alive() {
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

func (s *Endpoints) closeOldest() bool {
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

// Sweep closes what has been idle for long, before the other side does, and what that has ended.
func (s *Endpoints) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := exchange.Now()
	for _, e := range s.all {
		kept := e.idle[:0]
		for _, l := range e.idle {
			if now-l.idleAt < s.idleFor && l.alive() {
				kept = append(kept, l)
			} else {
				s.close(l)
			}
		}
		e.idle = kept
	}
}

// CloseIdle closes all idle links to an endpoint.
func (s *Endpoints) CloseIdle(id gateway.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.all[id]; e != nil {
		s.closeIdle(e)
	}
}

func (s *Endpoints) closeIdle(e *endpoint) {
	for _, l := range e.idle {
		s.close(l)
	}
	e.idle = nil
}
