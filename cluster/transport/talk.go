package transport

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/internal/socket"
)

// How a message without an answer ended.
var (
	ErrNotSent = errors.New("not sent") // it never arrived as a whole, so that nobody acted on it
	ErrUnsure  = errors.New("no answer: it may have arrived")
)

const (
	linksEach = 64               // connections to one member; what finds none free waits
	idleFor   = 10 * time.Second // the side that hears keeps them for longer
)

// Talk says messages to other members, each once: nothing is said again by itself.
type Talk struct {
	self cluster.MemberID

	mu     sync.Mutex
	places map[cluster.MemberID]*place
}

// place is one member's address and the connections to it.
type place struct {
	addr string
	http *fasthttp.HostClient
}

// New makes a Talk by the addresses as this member reaches the others.
func New(self cluster.MemberID, addrs map[cluster.MemberID]string) *Talk {
	t := &Talk{self: self, places: map[cluster.MemberID]*place{}}
	t.Renew(addrs)
	return t
}

// Renew takes other addresses. Messages out to an address that is gone still have their answers.
func (t *Talk) Renew(addrs map[cluster.MemberID]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.places {
		if addrs[id] != p.addr {
			p.http.CloseIdleConnections()
			delete(t.places, id)
		}
	}
	for id, addr := range addrs {
		if t.places[id] == nil {
			t.places[id] = &place{addr: addr, http: client(addr)}
		}
	}
}

// Close ends the idle connections.
func (t *Talk) Close() { t.Renew(nil) }

func client(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: addr, MaxConns: linksEach, MaxIdleConnDuration: idleFor, MaxConnWaitTimeout: time.Hour,
		MaxIdemponentCallAttempts: 1, RetryIfErr: never, ConnPoolStrategy: fasthttp.LIFO,
		MaxResponseBodySize: MostBody, NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
		DialTimeout: func(addr string, within time.Duration) (net.Conn, error) {
			// A part only: where no connection comes up there is time left to ask another member.
			c, err := (&net.Dialer{Timeout: within / 3, KeepAlive: -1}).Dial("tcp", addr)
			if err != nil {
				return nil, err
			}
			return &link{Conn: c}, nil
		},
	}
}

func never(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Say brings a message to a member and returns its answer. Errors are ErrNotSent or ErrUnsure, wrapped.
// Guards against a wait that never ends: within must be positive.
func (t *Talk) Say(to cluster.MemberID, path string, body []byte, within time.Duration) (status int,
	answer []byte, err error) {
	t.mu.Lock()
	p := t.places[to]
	t.mu.Unlock()
	switch {
	case p == nil:
		return 0, nil, fmt.Errorf("%w: no address of member %s", ErrNotSent, to)
	case len(body) > MostBody:
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, errTooLarge)
	case within <= 0:
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, fasthttp.ErrTimeout)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + p.addr + path)
	req.Header.Set(saidBy, string(t.self))
	if packed, smaller := pack(body); smaller {
		req.Header.Set(packedBy, packedAsS2)
		body = packed
	}
	req.SetBodyRaw(body)
	until := time.Now().Add(within)
	for {
		err = p.http.DoTimeout(req, resp, time.Until(until))
		// A connection that had ended while it was idle took no byte of it: another one may.
		if err == nil || !errors.Is(err, errEnded) || !time.Now().Before(until) {
			break
		}
	}
	if err != nil {
		why := ErrUnsure
		if l, written := resp.LocalAddr().(*link); !written || l.short {
			why = ErrNotSent
		}
		return 0, nil, fmt.Errorf("%w: %w", why, err)
	}
	answer, err = unpack(resp.Body(), string(resp.Header.Peek(packedBy)))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnsure, err)
	}
	return resp.StatusCode(), append([]byte(nil), answer...), nil
}

var errEnded = errors.New("the connection had ended")

// link is one connection. It has one message at a time and knows whether the last one was written as a whole;
// it stands for its own address, since that is what an answer is told of the connection that it came on.
type link struct {
	net.Conn
	begun bool // a byte of the message was written, and nothing read since
	short bool // not written as a whole
}

func (l *link) LocalAddr() net.Addr { return l }
func (l *link) Network() string     { return "tcp" }
func (l *link) String() string      { return l.Conn.LocalAddr().String() }

// Write looks first whether the other side has said or ended nothing: guards against a message written to a
// connection that is gone, which could then not be told from one that arrived.
func (l *link) Write(p []byte) (n int, err error) {
	if quiet, _ := socket.Inspect(l.Conn); !quiet {
		l.short = true
		if l.begun {
			return 0, net.ErrClosed
		}
		return 0, errEnded
	}
	n, err = l.Conn.Write(p)
	l.short, l.begun = n < len(p), true
	return n, err
}

func (l *link) Read(p []byte) (int, error) {
	l.begun = false
	return l.Conn.Read(p)
}
