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
	ErrNotSent        = errors.New("not sent") // it never arrived as a whole, so that nobody acted on it
	ErrOutcomeUnknown = errors.New("no answer: it may have arrived")
)

const (
	maxConnsPerPeer = 64               // connections to one member; what finds none free waits
	maxIdleDuration = 10 * time.Second // the side that hears keeps them for longer
)

// Client says messages to other members, each once: nothing is said again by itself.
type Client struct {
	self cluster.MemberID

	mu    sync.Mutex
	peers map[cluster.MemberID]*peer
}

// peer is one member's address and the connections to it.
type peer struct {
	addr string
	http *fasthttp.HostClient
}

// NewClient makes a Talk by the addresses as this member reaches the others.
func NewClient(self cluster.MemberID, addrs map[cluster.MemberID]string) *Client {
	t := &Client{self: self, peers: map[cluster.MemberID]*peer{}}
	t.SetAddresses(addrs)
	return t
}

// SetAddresses takes other addresses. Messages out to an address that is gone still have their answers.
func (t *Client) SetAddresses(addrs map[cluster.MemberID]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		if addrs[id] != p.addr {
			p.http.CloseIdleConnections()
			delete(t.peers, id)
		}
	}
	for id, addr := range addrs {
		if t.peers[id] == nil {
			t.peers[id] = &peer{addr: addr, http: newHostClient(addr)}
		}
	}
}

// Close ends the idle connections.
func (t *Client) Close() { t.SetAddresses(nil) }

func newHostClient(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: addr, MaxConns: maxConnsPerPeer, MaxIdleConnDuration: maxIdleDuration, MaxConnWaitTimeout: time.Hour,
		MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, ConnPoolStrategy: fasthttp.LIFO,
		MaxResponseBodySize: MaxMessageSize, NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
		DialTimeout: func(addr string, within time.Duration) (net.Conn, error) {
			// A part only: where no connection comes up there is time left to ask another member.
			c, err := (&net.Dialer{Timeout: within / 3, KeepAlive: -1}).Dial("tcp", addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c}, nil
		},
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Call brings a message to a member and returns its answer. Errors are ErrNotSent or ErrOutcomeUnknown, wrapped.
// Guards against a wait that never ends: within must be positive.
func (t *Client) Call(to cluster.MemberID, path string, body []byte, within time.Duration) (status int,
	answer []byte, err error) {
	t.mu.Lock()
	p := t.peers[to]
	t.mu.Unlock()
	switch {
	case p == nil:
		return 0, nil, fmt.Errorf("%w: no address of member %s", ErrNotSent, to)
	case len(body) > MaxMessageSize:
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, errMessageTooLarge)
	case within <= 0:
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, fasthttp.ErrTimeout)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + p.addr + path)
	req.Header.Set(senderHeader, string(t.self))
	if packed, smaller := compress(body); smaller {
		req.Header.Set(compressionHeader, compressionS2)
		body = packed
	}
	req.SetBodyRaw(body)
	until := time.Now().Add(within)
	for {
		err = p.http.DoTimeout(req, resp, time.Until(until))
		// A connection that had ended while it was idle took no byte of it: another one may.
		if err == nil || !errors.Is(err, errConnWasClosed) || !time.Now().Before(until) {
			break
		}
	}
	if err != nil {
		why := ErrOutcomeUnknown
		if l, written := resp.LocalAddr().(*trackedConn); !written || l.isIncomplete {
			why = ErrNotSent
		}
		return 0, nil, fmt.Errorf("%w: %w", why, err)
	}
	answer, err = decompress(resp.Body(), string(resp.Header.Peek(compressionHeader)))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return resp.StatusCode(), append([]byte(nil), answer...), nil
}

var errConnWasClosed = errors.New("the connection had ended")

// trackedConn is one connection. It has one message at a time and knows whether the last one was written as a whole;
// it stands for its own address, since that is what an answer is told of the connection that it came on.
type trackedConn struct {
	net.Conn
	isStarted    bool // a byte of the message was written, and nothing read since
	isIncomplete bool // not written as a whole
}

func (l *trackedConn) LocalAddr() net.Addr { return l }
func (l *trackedConn) Network() string     { return "tcp" }
func (l *trackedConn) String() string      { return l.Conn.LocalAddr().String() }

// Write looks first whether the other side has said or ended nothing: guards against a message written to a
// connection that is gone, which could then not be told from one that arrived.
func (l *trackedConn) Write(p []byte) (n int, err error) {
	if quiet, _ := socket.Inspect(l.Conn); !quiet {
		l.isIncomplete = true
		if l.isStarted {
			return 0, net.ErrClosed
		}
		return 0, errConnWasClosed
	}
	n, err = l.Conn.Write(p)
	l.isIncomplete, l.isStarted = n < len(p), true
	return n, err
}

func (l *trackedConn) Read(p []byte) (int, error) {
	l.isStarted = false
	return l.Conn.Read(p)
}
