package harness

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"rowanlink/test/fake/portalloc"
)

// mode is what a link does with connections.
type mode int

const (
	open     mode = iota
	hanging       // new ones never come up, old ones stay
	refusing      // new ones are refused, old ones reset
)

// link is one address that a member has for another: what connects there goes on to the real one.
type link struct {
	at          *portalloc.Port
	from, to    string
	real        string
	there, back *flow

	mu    sync.Mutex
	is    mode
	on    net.Listener
	pairs map[*twin]bool
}

// link makes one, open, and returns its address.
func (n *Net) link(from, to, real string) (string, error) {
	at, err := portalloc.Keep()
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &link{at: at, from: from, to: to, real: real, there: n.flow(from, to), back: n.flow(to, from),
		is: refusing, pairs: map[*twin]bool{}}
	n.links = append(n.links, l)
	l.enter(open)
	return at.Addr, nil
}

// enter goes over to a mode. A port that can't be listened on would make a test mean nothing.
func (l *link) enter(m mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.is == m {
		return
	}
	if l.is == open {
		l.on.Close()
	}
	l.at.Free()
	var err error
	switch l.is = m; m {
	case open:
		if l.on, err = l.at.Listen(); err == nil {
			go l.accept(l.on)
		}
	case hanging:
		err = l.at.Hang()
	case refusing:
		for p := range l.pairs {
			p.reset()
		}
	}
	if err != nil {
		panic(fmt.Sprintf("link from %s to %s: %s", l.from, l.to, err))
	}
}

func (l *link) accept(on net.Listener) {
	for {
		c, err := on.Accept()
		if err != nil {
			return
		}
		go l.join(c)
	}
}

// join connects on. Where the real address refuses, so does the link, as far as it can any more.
func (l *link) join(c net.Conn) {
	far, err := net.DialTimeout("tcp", l.real, 2*time.Second)
	if err != nil {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return
	}
	p := &twin{near: c.(*net.TCPConn), far: far.(*net.TCPConn), dead: make(chan struct{})}
	l.mu.Lock()
	l.pairs[p] = true
	if l.is == refusing {
		p.reset()
	}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(p.near, p.far, l.there) })
	both.Go(func() { p.pump(p.far, p.near, l.back) })
	both.Wait()
	p.end()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// twin is one connection's two halves.
type twin struct {
	near, far *net.TCPConn
	once      sync.Once
	dead      chan struct{}
}

// reset ends both halves so that whoever uses them sees a reset.
func (p *twin) reset() {
	p.once.Do(func() {
		p.near.SetLinger(0)
		p.far.SetLinger(0)
		close(p.dead)
	})
	p.near.Close()
	p.far.Close()
}

func (p *twin) end() {
	p.once.Do(func() { close(p.dead) })
	p.near.Close()
	p.far.Close()
}

// chunk is what came at one time, or how it ended.
type chunk struct {
	at   time.Time
	data []byte
	err  error
}

const (
	mostChunk = 16 << 10
	slowParts = 50 // of a second's bytes, each written at once
)

// pump carries what one half sends to the other, as the flow's faults have it.
func (p *twin) pump(from, to *net.TCPConn, f *flow) {
	chunks := make(chan chunk, 16) // bounded: behind it the sender's own buffers fill
	go func() {
		for {
			b := make([]byte, mostChunk)
			n, err := from.Read(b)
			select {
			case chunks <- chunk{time.Now(), b[:n], err}:
			case <-p.dead:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	turn, sent := -1, 0
	for {
		var c chunk
		select {
		case c = <-chunks:
		case <-p.dead:
			return
		}
		for first := true; first || len(c.data) > 0; first = false {
			fault, now, ok := p.wait(f, c.at)
			if !ok {
				return
			}
			if now != turn {
				turn, sent = now, 0
			}
			piece := len(c.data)
			if fault.PerSecond > 0 {
				piece = min(piece, max(1, fault.PerSecond/slowParts))
			}
			if fault.ResetAfter > 0 {
				piece = min(piece, fault.ResetAfter-sent)
			}
			if piece > 0 {
				if _, err := to.Write(c.data[:piece]); err != nil {
					p.reset()
					return
				}
			}
			c.data, sent = c.data[piece:], sent+piece
			if fault.ResetAfter > 0 && sent >= fault.ResetAfter {
				p.reset()
				return
			}
			if fault.PerSecond > 0 && !p.sleep(time.Duration(piece)*time.Second/time.Duration(fault.PerSecond), nil) {
				return
			}
		}
		switch {
		case errors.Is(c.err, io.EOF):
			to.CloseWrite()
			return
		case c.err != nil:
			p.reset()
			return
		}
	}
}

// wait waits until what came at a time may go on.
func (p *twin) wait(f *flow, at time.Time) (Fault, int, bool) {
	for {
		fault, turn, changed := f.now()
		switch left := time.Until(at.Add(fault.Late)); {
		case fault.Hold:
			select {
			case <-changed:
			case <-p.dead:
				return fault, turn, false
			}
		case fault.Late > 0 && left > 0:
			if !p.sleep(left, changed) {
				return fault, turn, false
			}
		default:
			return fault, turn, true
		}
	}
}

// sleep waits, and tells whether the connection still stands.
func (p *twin) sleep(span time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-p.dead:
		return false
	}
	return true
}
