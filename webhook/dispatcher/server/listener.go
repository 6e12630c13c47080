package server

import (
	"container/list"
	"net"
	"sync"

	"rowanlink/internal/socket"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// pendingGrace is how long a new connection is kept in any case: a well-behaved client sends its request at once.
const pendingGrace = inflight.AnswerTimeout / 2

// idleClasses is the number of classes of idle connections, by how many webhooks they have carried: none, one, or more.
const idleClasses = 3

// limitListener limits the number of open connections. At the limit it closes a connection that doesn't wait for an answer,
// so that silent clients, incomplete requests and idle connections can't keep well-behaved clients out.
type limitListener struct {
	net.Listener
	maxOpen int
	// maxIdle bounds idle connections, which would otherwise use up the part of the descriptors that is for clients.
	maxIdle int

	mu         sync.Mutex
	freed      *sync.Cond
	open       int
	lastClosed api.Micros
	pending    list.List              // connections without a complete request, the longest waiting first
	idle       [idleClasses]list.List // connections that were answered, the longest idle first
}

// newLimitListener returns a limitListener; the caller sets its Listener field before Accept.
func newLimitListener(maxOpen, maxIdle int) *limitListener {
	l := &limitListener{maxOpen: max(maxOpen, 1), maxIdle: max(maxIdle, 1)}
	l.freed = sync.NewCond(&l.mu)
	return l
}

// Accept waits for a connection, then until fewer than maxOpen are open. Each submitted webhook is answered within a turn
// or so, and its connection may then be closed for another one.
func (l *limitListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.maxOpen {
		if victim := l.evictable(); victim != nil {
			victim.evict()
		} else {
			l.freed.Wait()
		}
	}
	l.open++
	c := &clientConn{TCPConn: accepted.(*net.TCPConn), listener: l}
	c.moveTo(&l.pending)
	return c, nil
}

// evictable returns the connection to close first: one that has been pending for long, then of the idle ones those that
// carried no webhook, then one webhook, then more. Clients that send one request and stay connected are evicted before
// clients that reuse their connections.
func (l *limitListener) evictable() *clientConn {
	pending := l.longestPending()
	if pending != nil && inflight.Now()-pending.since > pendingGrace {
		return pending
	}
	if idle := l.longestIdle(); idle != nil {
		return idle
	}
	return pending
}

// longestPending returns the connection that is pending for longest, except for those with unread data.
func (l *limitListener) longestPending() *clientConn {
	for e := l.pending.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); !socket.HasUnread(c.TCPConn) {
			return c
		}
	}
	return nil
}

// longestIdle returns the idle connection to close first. One whose next request has arrived is no longer idle: the request
// would be lost with its connection before this process has read it.
func (l *limitListener) longestIdle() *clientConn {
	for i := range l.idle {
		for e := l.idle[i].Front(); e != nil; e = l.idle[i].Front() {
			c := e.Value.(*clientConn)
			if !socket.HasUnread(c.TCPConn) {
				return c
			}
			c.moveTo(&l.pending)
		}
	}
	return nil
}

func (l *limitListener) hasTooManyIdle() bool {
	n := 0
	for i := range l.idle {
		n += l.idle[i].Len()
	}
	return n > l.maxIdle
}

// clientsGone reports whether no connection is open, and the last one was closed longer than AnswerTimeout ago: a client
// whose connection was closed during its request would have connected again by then.
func (l *limitListener) clientsGone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open == 0 && inflight.Now()-l.lastClosed > inflight.AnswerTimeout
}
