package raftnode

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"rowanlink/cluster"
)

// streamLayer is how keepers reach each other's logs. A server's id is its member's name and its folder's: it stands
// for the address too, which each keeper looks up in its own table. Each connection begins with a line that
// says who calls whom: guards against a call to a folder that was lost reaching the new one in its place,
// which would vote again where the lost one had voted.
type streamLayer struct {
	listener    net.Listener
	clusterName string
	self        raft.ServerID
	timeout     time.Duration
	accepted    chan net.Conn
	closed      chan struct{}
	closeOnce   sync.Once

	mu               sync.Mutex
	addresses        map[cluster.MemberID]string
	loggedMismatches map[string]bool // said in the log already
}

const (
	greeting        = "rowanfleet-log/1"
	maxGreetingSize = 1024
)

func newStreamLayer(on net.Listener, fleetName string, self raft.ServerID, within time.Duration) *streamLayer {
	w := &streamLayer{listener: on, clusterName: fleetName, self: self, timeout: within, accepted: make(chan net.Conn),
		closed: make(chan struct{}), loggedMismatches: map[string]bool{}}
	go w.acceptConns()
	return w
}

// memberOf is whose folder a server id is.
func memberOf(id raft.ServerID) cluster.MemberID {
	s := string(id)
	return cluster.MemberID(s[:max(strings.LastIndexByte(s, '/'), 0)])
}

func (w *streamLayer) setAddresses(addrs map[cluster.MemberID]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses = addrs
}

// ServerAddr is the id itself.
func (w *streamLayer) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	return raft.ServerAddress(id), nil
}

// Dial reaches a server by its id.
func (w *streamLayer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	w.mu.Lock()
	addr := w.addresses[memberOf(raft.ServerID(to))]
	w.mu.Unlock()
	if addr == "" {
		return nil, fmt.Errorf("no address of keeper %s", to)
	}
	c, err := (&net.Dialer{Timeout: within, KeepAlive: -1}).Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c.SetWriteDeadline(time.Now().Add(within))
	if _, err = fmt.Fprintf(c, "%s %q %q %q\n", greeting, w.clusterName, w.self, to); err != nil {
		c.Close()
		return nil, err
	}
	return c, c.SetWriteDeadline(time.Time{})
}

func (w *streamLayer) acceptConns() {
	for {
		c, err := w.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(w.timeout / 10) // guards against a turn without rest when descriptors run out
			continue
		}
		go w.checkGreeting(c)
	}
}

// checkGreeting lets a connection in whose first line is meant for this very server.
func (w *streamLayer) checkGreeting(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(w.timeout))
	in := bufio.NewReaderSize(io.LimitReader(c, maxGreetingSize), maxGreetingSize)
	var word, name, from, to string
	line, err := in.ReadString('\n')
	if err == nil {
		_, err = fmt.Sscanf(line, "%s %q %q %q\n", &word, &name, &from, &to)
	}
	if err != nil || word != greeting || name != w.clusterName || to != string(w.self) {
		w.rejectConn(c, from, to, name)
		return
	}
	c.SetReadDeadline(time.Time{})
	rest, _ := in.Peek(in.Buffered())
	select {
	case w.accepted <- &prefixedConn{c, append([]byte(nil), rest...)}:
	case <-w.closed:
		c.Close()
	}
}

func (w *streamLayer) rejectConn(c net.Conn, from, to, name string) {
	c.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if from != "" && !w.loggedMismatches[from+to+name] && len(w.loggedMismatches) < 100 {
		w.loggedMismatches[from+to+name] = true
		slog.Warn("keeper called by another name", "by", from, "called", to, "fleet", name, "self", w.self)
	}
}

// prefixedConn begins with what came with the first line.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) > 0 {
		n := copy(p, c.prefix)
		c.prefix = c.prefix[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// Accept waits for a connection that was greeted.
func (w *streamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-w.accepted:
		return c, nil
	case <-w.closed:
		return nil, net.ErrClosed
	}
}

// Close ends it.
func (w *streamLayer) Close() error {
	w.closeOnce.Do(func() { close(w.closed) })
	return w.listener.Close()
}

// Addr is the server's id.
func (w *streamLayer) Addr() net.Addr { return serverAddr(w.self) }

type serverAddr raft.ServerID

func (n serverAddr) Network() string { return "log" }
func (n serverAddr) String() string  { return string(n) }
