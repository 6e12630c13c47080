package harness

import (
	"context"
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
	hanging           // new ones are never established, old ones stay
	refusing          // new ones are refused, old ones reset
)

// link is a proxy: an address that a member has for another, which forwards connections to the real one.
type link struct {
	port              *portalloc.Port
	from, to          string
	target            string // the real address
	forward, backward *dataPath

	mu          sync.Mutex
	mode        linkMode
	listener    net.Listener
	connections map[*proxiedConnection]bool
}

// addLink adds an open link and returns its address.
func (n *Network) addLink(from, to, target string) (string, error) {
	port, err := portalloc.Reserve()
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &link{
		port:        port,
		from:        from,
		to:          to,
		target:      target,
		forward:     n.pathBetween(from, to),
		backward:    n.pathBetween(to, from),
		mode:        refusing,
		connections: map[*proxiedConnection]bool{},
	}
	n.links = append(n.links, l)
	l.setMode(open)
	return port.Addr, nil
}

// setMode changes the mode. It panics if it can't listen on the port, since the test would mean nothing then.
func (l *link) setMode(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == mode {
		return
	}
	if l.mode == open {
		_ = l.listener.Close()
	}
	l.port.Refuse()
	l.mode = mode
	var err error
	switch mode {
	case open:
		if l.listener, err = l.port.Listen(); err == nil {
			go l.accept(l.listener)
		}
	case hanging:
		err = l.port.Hang()
	case refusing:
		for c := range l.connections {
			c.reset()
		}
	}
	if err != nil {
		panic(fmt.Sprintf("link from %s to %s: %s", l.from, l.to, err))
	}
}

func (l *link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go l.proxyConnection(c)
	}
}

// proxyConnection connects a client to the real address until either ends. If that refuses, so does the link, as far
// as it still can.
func (l *link) proxyConnection(client net.Conn) {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	server, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	c := &proxiedConnection{
		client: client.(*net.TCPConn),
		server: server.(*net.TCPConn),
		closed: make(chan struct{}),
	}
	l.mu.Lock()
	l.connections[c] = true
	if l.mode == refusing {
		c.reset()
	}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copyData(c.client, c.server, l.forward) })
	both.Go(func() { c.copyData(c.server, c.client, l.backward) })
	both.Wait()
	c.close()
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
}

// proxiedConnection is a connection of a client to the link and the one of the link to the server.
type proxiedConnection struct {
	client, server *net.TCPConn
	once           sync.Once
	closed         chan struct{}
}

// reset ends the connection so that both sides see a reset.
func (c *proxiedConnection) reset() {
	c.once.Do(func() {
		_ = c.client.SetLinger(0) // fails only if it is closed already, as do the others
		_ = c.server.SetLinger(0)
		close(c.closed)
	})
	_ = c.client.Close()
	_ = c.server.Close()
}

func (c *proxiedConnection) close() {
	c.once.Do(func() { close(c.closed) })
	_ = c.client.Close()
	_ = c.server.Close()
}

// chunk is data that was received at once, or how the stream ended.
type chunk struct {
	receivedAt time.Time
	data       []byte
	err        error
}

const (
	maxChunkBytes          = 16 << 10
	maxBufferedChunks      = 16 // beyond these, the sender's own buffers fill
	throttleStepsPerSecond = 50
)

// receive sends what arrives on a connection to a channel, until it ends or the proxied connection is closed.
func (c *proxiedConnection) receive(from *net.TCPConn, chunks chan<- chunk) {
	for {
		buffer := make([]byte, maxChunkBytes)
		n, err := from.Read(buffer)
		select {
		case chunks <- chunk{time.Now(), buffer[:n], err}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// copyData sends what one side sends to the other, with the faults of the path.
func (c *proxiedConnection) copyData(from, to *net.TCPConn, path *dataPath) {
	chunks := make(chan chunk, maxBufferedChunks)
	go c.receive(from, chunks)
	s := &faultySender{connection: c, to: to, path: path, generation: -1}
	for {
		var next chunk
		select {
		case next = <-chunks:
		case <-c.closed:
			return
		}
		if !s.send(next) {
			return
		}
		switch {
		case errors.Is(next.err, io.EOF):
			_ = to.CloseWrite()
			return
		case next.err != nil:
			c.reset()
			return
		}
	}
}

// faultySender sends data to one side of a connection with the faults of a path.
type faultySender struct {
	connection *proxiedConnection
	to         *net.TCPConn
	path       *dataPath
	generation int // of the path's fault
	sent       int // bytes since that fault began
}

// send sends a chunk, which may be empty, and returns false if the connection has ended.
func (s *faultySender) send(c chunk) bool {
	for isFirst := true; isFirst || len(c.data) > 0; isFirst = false {
		fault, generation, ok := s.connection.awaitDelivery(s.path, c.receivedAt)
		if !ok {
			return false
		}
		if generation != s.generation {
			s.generation, s.sent = generation, 0
		}
		n := s.allowedBytes(fault, len(c.data))
		if n > 0 {
			if _, err := s.to.Write(c.data[:n]); err != nil {
				s.connection.reset()
				return false
			}
		}
		c.data = c.data[n:]
		s.sent += n
		if fault.ResetAfterBytes > 0 && s.sent >= fault.ResetAfterBytes {
			s.connection.reset()
			return false
		}
		if fault.BytesPerSecond > 0 {
			took := time.Duration(n) * time.Second / time.Duration(fault.BytesPerSecond)
			if !s.connection.sleep(took, nil) {
				return false
			}
		}
	}
	return true
}

// allowedBytes returns how many bytes a fault lets through at once.
func (s *faultySender) allowedBytes(fault Fault, n int) int {
	if fault.BytesPerSecond > 0 {
		n = min(n, max(1, fault.BytesPerSecond/throttleStepsPerSecond))
	}
	if fault.ResetAfterBytes > 0 {
		n = min(n, fault.ResetAfterBytes-s.sent)
	}
	return n
}

// awaitDelivery waits until data that was received at a time may be delivered. It returns the fault and its
// generation, and false if the connection has ended.
func (c *proxiedConnection) awaitDelivery(path *dataPath, receivedAt time.Time) (Fault, int, bool) {
	for {
		fault, generation, changed := path.current()
		remaining := time.Until(receivedAt.Add(fault.Delay))
		switch {
		case fault.HoldData:
			select {
			case <-changed:
			case <-c.closed:
				return fault, generation, false
			}
		case fault.Delay > 0 && remaining > 0:
			if !c.sleep(remaining, changed) {
				return fault, generation, false
			}
		default:
			return fault, generation, true
		}
	}
}

// sleep waits for a time or until the fault changes, and returns false if the connection has ended.
func (c *proxiedConnection) sleep(duration time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-c.closed:
		return false
	}
	return true
}
