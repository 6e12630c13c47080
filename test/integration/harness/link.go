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

// linkMode is what a link does with connections.
type linkMode int

const (
	open     linkMode = iota
	hanging           // new ones never come up, old ones stay
	refusing          // new ones are refused, old ones reset
)

// link is one address that a member has for another: what connects there goes on to the real one.
type link struct {
	port              *portalloc.Port
	from, to          string
	target            string
	forward, backward *dataPath

	mu          sync.Mutex
	mode        linkMode
	listener    net.Listener
	connections map[*proxiedConnection]bool
}

// addLink makes one, open, and returns its address.
func (n *Network) addLink(from, to, real string) (string, error) {
	at, err := portalloc.Reserve()
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &link{port: at, from: from, to: to, target: real, forward: n.pathBetween(from, to), backward: n.pathBetween(to, from),
		mode: refusing, connections: map[*proxiedConnection]bool{}}
	n.links = append(n.links, l)
	l.setMode(open)
	return at.Addr, nil
}

// setMode goes over to a mode. A port that can't be listened on would make a test mean nothing.
func (l *link) setMode(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == m {
		return
	}
	if l.mode == open {
		l.listener.Close()
	}
	l.port.Refuse()
	var err error
	switch l.mode = m; m {
	case open:
		if l.listener, err = l.port.Listen(); err == nil {
			go l.accept(l.listener)
		}
	case hanging:
		err = l.port.Hang()
	case refusing:
		for p := range l.connections {
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
		go l.proxyConnection(c)
	}
}

// proxyConnection connects on. Where the real address refuses, so does the link, as far as it can any more.
func (l *link) proxyConnection(c net.Conn) {
	far, err := net.DialTimeout("tcp", l.target, 2*time.Second)
	if err != nil {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return
	}
	p := &proxiedConnection{client: c.(*net.TCPConn), server: far.(*net.TCPConn), closed: make(chan struct{})}
	l.mu.Lock()
	l.connections[p] = true
	if l.mode == refusing {
		p.reset()
	}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyData(p.client, p.server, l.forward) })
	both.Go(func() { p.copyData(p.server, p.client, l.backward) })
	both.Wait()
	p.close()
	l.mu.Lock()
	delete(l.connections, p)
	l.mu.Unlock()
}

// proxiedConnection is one connection's two halves.
type proxiedConnection struct {
	client, server *net.TCPConn
	once           sync.Once
	closed         chan struct{}
}

// reset ends both halves so that whoever uses them sees a reset.
func (p *proxiedConnection) reset() {
	p.once.Do(func() {
		p.client.SetLinger(0)
		p.server.SetLinger(0)
		close(p.closed)
	})
	p.client.Close()
	p.server.Close()
}

func (p *proxiedConnection) close() {
	p.once.Do(func() { close(p.closed) })
	p.client.Close()
	p.server.Close()
}

// chunk is what came at one time, or how it ended.
type chunk struct {
	receivedAt time.Time
	data       []byte
	err        error
}

const (
	maxChunkBytes          = 16 << 10
	throttleStepsPerSecond = 50 // of a second's bytes, each written at once
)

// copyData carries what one half sends to the other, as the flow's faults have it.
func (p *proxiedConnection) copyData(from, to *net.TCPConn, f *dataPath) {
	chunks := make(chan chunk, 16) // bounded: behind it the sender's own buffers fill
	go func() {
		for {
			b := make([]byte, maxChunkBytes)
			n, err := from.Read(b)
			select {
			case chunks <- chunk{time.Now(), b[:n], err}:
			case <-p.closed:
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
		case <-p.closed:
			return
		}
		for first := true; first || len(c.data) > 0; first = false {
			fault, now, ok := p.awaitDelivery(f, c.receivedAt)
			if !ok {
				return
			}
			if now != turn {
				turn, sent = now, 0
			}
			piece := len(c.data)
			if fault.BytesPerSecond > 0 {
				piece = min(piece, max(1, fault.BytesPerSecond/throttleStepsPerSecond))
			}
			if fault.ResetAfterBytes > 0 {
				piece = min(piece, fault.ResetAfterBytes-sent)
			}
			if piece > 0 {
				if _, err := to.Write(c.data[:piece]); err != nil {
					p.reset()
					return
				}
			}
			c.data, sent = c.data[piece:], sent+piece
			if fault.ResetAfterBytes > 0 && sent >= fault.ResetAfterBytes {
				p.reset()
				return
			}
			if fault.BytesPerSecond > 0 && !p.sleep(time.Duration(piece)*time.Second/time.Duration(fault.BytesPerSecond), nil) {
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

// awaitDelivery waits until what came at a time may go on.
func (p *proxiedConnection) awaitDelivery(f *dataPath, at time.Time) (Fault, int, bool) {
	for {
		fault, turn, changed := f.current()
		switch left := time.Until(at.Add(fault.Delay)); {
		case fault.HoldData:
			select {
			case <-changed:
			case <-p.closed:
				return fault, turn, false
			}
		case fault.Delay > 0 && left > 0:
			if !p.sleep(left, changed) {
				return fault, turn, false
			}
		default:
			return fault, turn, true
		}
	}
}

// sleep waits, and tells whether the connection still stands.
func (p *proxiedConnection) sleep(span time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-p.closed:
		return false
	}
	return true
}
