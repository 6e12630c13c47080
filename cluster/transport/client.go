package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
)

// The errors of Client.Call, which wraps them.
var (
	// ErrNotSent means that the request was not sent completely, so that the other member did not act on it.
	ErrNotSent = errors.New("message not sent")
	// ErrOutcomeUnknown means that no valid response came, and the other member may have acted on the request.
	ErrOutcomeUnknown = errors.New("no response: the message may have arrived")
)

const (
	maxConnsPerPeer = 64               // while all are in use, further requests wait
	maxIdleDuration = 10 * time.Second // shorter than the server's, so that the client closes an idle connection first

	// maxConnWait is longer than any request's time-out, so that only the request's own time-out ends its wait.
	maxConnWait = time.Hour
	// dialTimeoutDivisor makes the time-out for a connection a third of the request's. After a failed dial there is time
	// left to try another member.
	dialTimeoutDivisor = 3
)

// Client sends requests to other members, each request at most once. It is safe for concurrent use.
type Client struct {
	self cluster.MemberID

	mu    sync.Mutex
	peers map[cluster.MemberID]*peer
}

// peer is another member's address with the connections to it.
type peer struct {
	address string
	http    *fasthttp.HostClient
}

// NewClient returns a client for the member self. addresses has the host:port at which self reaches each other member.
func NewClient(self cluster.MemberID, addresses map[cluster.MemberID]string) *Client {
	c := &Client{self: self, peers: map[cluster.MemberID]*peer{}}
	c.SetAddresses(addresses)
	return c
}

// SetAddresses replaces the addresses. Requests in flight to a former address still get their responses.
func (c *Client) SetAddresses(addresses map[cluster.MemberID]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.peers {
		if addresses[id] != p.address {
			p.http.CloseIdleConnections()
			delete(c.peers, id)
		}
	}
	for id, address := range addresses {
		if c.peers[id] == nil {
			c.peers[id] = &peer{address: address, http: newHostClient(address)}
		}
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.SetAddresses(nil) }

func newHostClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConnsPerPeer,
		MaxIdleConnDuration:       maxIdleDuration,
		MaxConnWaitTimeout:        maxConnWait,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		ConnPoolStrategy:          fasthttp.LIFO,
		MaxResponseBodySize:       MaxMessageSize,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		DialTimeout:               dialTracked,
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialTracked dials a connection; timeout is that of the request. It uses no request context, as fasthttp passes none.
func dialTracked(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout / dialTimeoutDivisor, KeepAlive: -1}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// ErrStatus is the error of Response.Decode for a response whose status is not 200.
var ErrStatus = errors.New("the member has rejected the request")

// Response is a member's response to a request.
type Response struct {
	Status int // HTTP status code
	Body   []byte
}

// Decode decodes the body into message. For a status other than 200 it returns an error that wraps ErrStatus.
func (r Response) Decode(message any) error {
	if r.Status != fasthttp.StatusOK {
		return fmt.Errorf("%w: status %d", ErrStatus, r.Status)
	}
	return Decode(r.Body, message)
}

// Call sends a request to a member and returns its response, whatever the status. An error wraps ErrNotSent or
// ErrOutcomeUnknown. If the time-out is not positive, nothing is sent and the error wraps ErrNotSent.
func (c *Client) Call(to cluster.MemberID, path string, body []byte, timeout time.Duration) (Response, error) {
	c.mu.Lock()
	p := c.peers[to]
	c.mu.Unlock()
	switch {
	case p == nil:
		return Response{}, fmt.Errorf("%w: member %s has no configured address", ErrNotSent, to)
	case len(body) > MaxMessageSize:
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, errMessageTooLarge)
	case timeout <= 0:
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, fasthttp.ErrTimeout)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.fillRequest(request, "http://"+p.address+path, body)
	if err := p.do(request, response, timeout); err != nil {
		return Response{}, fmt.Errorf("%w: %w", outcomeOf(response), err)
	}
	responseBody, err := decompress(response.Body(), string(response.Header.Peek(compressionHeader)))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return Response{Status: response.StatusCode(), Body: bytes.Clone(responseBody)}, nil
}

// fillRequest sets a request's method, URL, headers and body. It compresses the body if that saves enough, see compress.
func (c *Client) fillRequest(request *fasthttp.Request, url string, body []byte) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(url)
	request.Header.Set(senderHeader, string(c.self))
	if compressed, isSmaller := compress(body); isSmaller {
		request.Header.Set(compressionHeader, compressionS2)
		body = compressed
	}
	request.SetBodyRaw(body)
}

// do sends a request. If the pooled connection was closed by the server before a byte of the request was written, do uses
// another connection. The request is still sent at most once.
func (p *peer) do(request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		err := p.http.DoTimeout(request, response, time.Until(deadline))
		if err == nil || !errors.Is(err, errConnWasClosed) || !time.Now().Before(deadline) {
			return err
		}
	}
}

// outcomeOf returns the error for a request that failed: ErrNotSent if it got no connection or was not written completely,
// else ErrOutcomeUnknown.
func outcomeOf(response *fasthttp.Response) error {
	conn, hasConn := response.LocalAddr().(*trackedConn)
	if !hasConn || conn.isIncomplete {
		return ErrNotSent
	}
	return ErrOutcomeUnknown
}
