package raftnode

import (
	"bufio"
	"context"
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

// streamLayer implements raft.StreamLayer and raft.ServerAddressProvider over TCP. A server's raft address is its id,
// MEMBER/NAME (see storage); each node looks up the member's network address in its own table. Each connection begins with
// a greeting that names the cluster and both servers. Without it, a request for a server that lost its folder could reach
// the server that replaced it at the same address, which could then vote a second time in the same term.
type streamLayer struct {
	listener    net.Listener
	clusterName string
	self        raft.ServerID
	timeout     time.Duration // to receive the greeting
	accepted    chan net.Conn
	closed      chan struct{}
	closeOnce   sync.Once

	mu               sync.Mutex
	addresses        map[cluster.MemberID]string
	loggedMismatches map[string]bool // rejected greetings that were logged, each once
}

const (
	// greetingMagic begins the greeting line; its number is the version of the protocol.
	greetingMagic = "rowanfleet-log/1"
	// greetingFormat is the greeting: magic, cluster, calling server, called server.
	greetingFormat = "%s %q %q %q\n"

	maxGreetingSize     = 1024
	maxLoggedMismatches = 100
)

func newStreamLayer(
	listener net.Listener, clusterName string, self raft.ServerID, timeout time.Duration,
) *streamLayer {
	s := &streamLayer{
		listener:         listener,
		clusterName:      clusterName,
		self:             self,
		timeout:          timeout,
		accepted:         make(chan net.Conn),
		closed:           make(chan struct{}),
		loggedMismatches: map[string]bool{},
	}
	go s.acceptConns()
	return s
}

// memberOf returns the member part of a server id, or an empty id if there is none.
func memberOf(id raft.ServerID) cluster.MemberID {
	s := string(id)
	return cluster.MemberID(s[:max(strings.LastIndexByte(s, '/'), 0)])
}

func (s *streamLayer) setAddresses(addresses map[cluster.MemberID]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
}

func (s *streamLayer) addressOf(id raft.ServerID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[memberOf(id)]
}

// ServerAddr returns the raft address of a server, which is its id.
func (s *streamLayer) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	return raft.ServerAddress(id), nil
}

// Dial connects to a server and sends the greeting.
func (s *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address := s.addressOf(raft.ServerID(to))
	if address == "" {
		return nil, fmt.Errorf("raft node %s has no configured address", to)
	}
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(context.Background(), "tcp", address) // raft passes no context
	if err != nil {
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(timeout)) // on a closed connection the write fails
	if _, err = fmt.Fprintf(conn, greetingFormat, greetingMagic, s.clusterName, s.self, to); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, conn.SetWriteDeadline(time.Time{})
}

// acceptConns accepts connections until the listener is closed.
func (s *streamLayer) acceptConns() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(s.timeout / 10) // avoids a busy loop when the process is out of file descriptors
			continue
		}
		go s.checkGreeting(conn)
	}
}

// checkGreeting passes a connection on to Accept if its greeting names this cluster and this server.
func (s *streamLayer) checkGreeting(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(s.timeout)) // on a closed connection the read fails
	reader := bufio.NewReaderSize(io.LimitReader(conn, maxGreetingSize), maxGreetingSize)
	var magic, clusterName, from, to string
	line, err := reader.ReadString('\n')
	if err == nil {
		_, err = fmt.Sscanf(line, greetingFormat, &magic, &clusterName, &from, &to)
	}
	if err != nil || magic != greetingMagic || clusterName != s.clusterName || to != string(s.self) {
		s.rejectConn(conn, from, to, clusterName)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	prefix, _ := reader.Peek(reader.Buffered()) // only what is buffered: it can't fail
	select {
	case s.accepted <- &prefixedConn{conn, append([]byte(nil), prefix...)}:
	case <-s.closed:
		_ = conn.Close()
	}
}

// rejectConn closes a connection, and logs it once for each combination of servers and cluster.
func (s *streamLayer) rejectConn(conn net.Conn, from, to, clusterName string) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	mismatch := from + to + clusterName
	if from == "" || s.loggedMismatches[mismatch] || len(s.loggedMismatches) >= maxLoggedMismatches {
		return
	}
	s.loggedMismatches[mismatch] = true
	slog.Warn("raft connection rejected: it is meant for another server",
		"from", from, "to", to, "cluster", clusterName, "self", s.self)
}

// prefixedConn is a connection whose first bytes after the greeting were already read into a buffer, the prefix.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read reads the prefix first, then from the connection.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) > 0 {
		n := copy(p, c.prefix)
		c.prefix = c.prefix[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// Accept waits for a connection with a valid greeting.
func (s *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.accepted:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (s *streamLayer) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.listener.Close()
}

// Addr returns the raft address of this server.
func (s *streamLayer) Addr() net.Addr { return serverAddr(s.self) }

// serverAddr is a server id as a net.Addr.
type serverAddr raft.ServerID

func (a serverAddr) Network() string { return "log" }
func (a serverAddr) String() string  { return string(a) }
