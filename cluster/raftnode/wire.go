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

// wire is how keepers reach each other's logs. A server's id is its member's name and its folder's: it stands
// for the address too, which each keeper looks up in its own table. Each connection begins with a line that
// says who calls whom: guards against a call to a folder that was lost reaching the new one in its place,
// which would vote again where the lost one had voted.
type wire struct {
	on     net.Listener
	fleet  string
	self   raft.ServerID
	within time.Duration
	came   chan net.Conn
	ended  chan struct{}
	end    sync.Once

	mu    sync.Mutex
	addrs map[cluster.MemberID]string
	wrong map[string]bool // said in the log already
}

const (
	greeting     = "rowanfleet-log/1"
	longestHello = 1024
)

func newWire(on net.Listener, fleetName string, self raft.ServerID, within time.Duration) *wire {
	w := &wire{on: on, fleet: fleetName, self: self, within: within, came: make(chan net.Conn),
		ended: make(chan struct{}), wrong: map[string]bool{}}
	go w.accept()
	return w
}

// memberOf is whose folder a server id is.
func memberOf(id raft.ServerID) cluster.MemberID {
	s := string(id)
	return cluster.MemberID(s[:max(strings.LastIndexByte(s, '/'), 0)])
}

func (w *wire) renew(addrs map[cluster.MemberID]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addrs = addrs
}

// ServerAddr is the id itself.
func (w *wire) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	return raft.ServerAddress(id), nil
}

// Dial reaches a server by its id.
func (w *wire) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	w.mu.Lock()
	addr := w.addrs[memberOf(raft.ServerID(to))]
	w.mu.Unlock()
	if addr == "" {
		return nil, fmt.Errorf("no address of keeper %s", to)
	}
	c, err := (&net.Dialer{Timeout: within, KeepAlive: -1}).Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c.SetWriteDeadline(time.Now().Add(within))
	if _, err = fmt.Fprintf(c, "%s %q %q %q\n", greeting, w.fleet, w.self, to); err != nil {
		c.Close()
		return nil, err
	}
	return c, c.SetWriteDeadline(time.Time{})
}

func (w *wire) accept() {
	for {
		c, err := w.on.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(w.within / 10) // guards against a turn without rest when descriptors run out
			continue
		}
		go w.greeted(c)
	}
}

// greeted lets a connection in whose first line is meant for this very server.
func (w *wire) greeted(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(w.within))
	in := bufio.NewReaderSize(io.LimitReader(c, longestHello), longestHello)
	var word, name, from, to string
	line, err := in.ReadString('\n')
	if err == nil {
		_, err = fmt.Sscanf(line, "%s %q %q %q\n", &word, &name, &from, &to)
	}
	if err != nil || word != greeting || name != w.fleet || to != string(w.self) {
		w.refuse(c, from, to, name)
		return
	}
	c.SetReadDeadline(time.Time{})
	rest, _ := in.Peek(in.Buffered())
	select {
	case w.came <- &greetedConn{c, append([]byte(nil), rest...)}:
	case <-w.ended:
		c.Close()
	}
}

func (w *wire) refuse(c net.Conn, from, to, name string) {
	c.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if from != "" && !w.wrong[from+to+name] && len(w.wrong) < 100 {
		w.wrong[from+to+name] = true
		slog.Warn("keeper called by another name", "by", from, "called", to, "fleet", name, "self", w.self)
	}
}

// greetedConn begins with what came with the first line.
type greetedConn struct {
	net.Conn
	rest []byte
}

func (c *greetedConn) Read(p []byte) (int, error) {
	if len(c.rest) > 0 {
		n := copy(p, c.rest)
		c.rest = c.rest[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// Accept waits for a connection that was greeted.
func (w *wire) Accept() (net.Conn, error) {
	select {
	case c := <-w.came:
		return c, nil
	case <-w.ended:
		return nil, net.ErrClosed
	}
}

// Close ends it.
func (w *wire) Close() error {
	w.end.Do(func() { close(w.ended) })
	return w.on.Close()
}

// Addr is the server's id.
func (w *wire) Addr() net.Addr { return named(w.self) }

type named raft.ServerID

func (n named) Network() string { return "log" }
func (n named) String() string  { return string(n) }
