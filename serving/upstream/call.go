package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/attempt"
)

// Call is one request to one endpoint.
type Call struct {
	EndpointID string
	Address    string // host:port
	Zone       string // of the endpoint, for what is known of the way there

	Method        string
	RequestTarget string // path and query as the client sent them
	Host          string
	Header        http.Header // end-to-end headers; not changed
	Body          []byte      // the whole body; not changed, and in use until the answer is closed
	// HasBody: the client sent a body, even if it is empty.
	HasBody bool

	// Again: the request was sent to this endpoint before. An endpoint in trouble may answer it once more, and late; on a
	// connection that was used for it, that answer could be taken for the one to this call. It gets a new one.
	Resent bool

	Deadline       time.Time // for the whole answer; the endpoint is told what is left
	MaxConnections int       // connections that this process may have to the endpoint; zero: no limit
	Priority       string    // empty: none is set
	LastEventID    string    // where a stream is taken up again; empty: as the client's headers say

	// ProgressTimeout is how long nothing may come before MayAbandon is asked whether to end the attempt; zero: for ever.
	// MayAbandon is called at most once for each time that the patience ends, from another goroutine.
	ProgressTimeout time.Duration
	MayAbandon      func() bool
}

// asyncBodySize is the size from which a body is written by a goroutine of its own, as an answer may come meanwhile.
const asyncBodySize = 16 << 10

var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Do sends the request once and returns the answer's head with its body still to be read, or what went wrong. The
// context ends the call at once. An answer must be closed.
func (p *Pool) Do(ctx context.Context, call *Call) (*Response, *Failure) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	for {
		if ctx.Err() != nil {
			cancel()
			return nil, unsentFailure(ctx, ctx.Err())
		}
		c, reused, failure := p.acquireConnection(ctx, call)
		if failure != nil {
			cancel()
			return nil, failure
		}
		answer := &Response{pool: p, call: call, connection: c, ctx: ctx, cancel: cancel}
		answer.watchdog = watchdog{mayAbandon: call.MayAbandon, abandon: c.closeOnce}
		answer.stopCancelHook = context.AfterFunc(ctx, c.closeOnce)
		if sent, err := answer.sendRequest(); !sent {
			stale := reused && ctx.Err() == nil
			failure := answer.fail(err, attempt.ConnectFailed)
			if stale {
				continue // the endpoint had closed it: no attempt was made
			}
			cancel()
			return nil, failure
		}
		answer.watchdog.arm(call.ProgressTimeout)
		if failure := answer.receiveHead(); failure != nil {
			cancel()
			return nil, failure
		}
		return answer, nil
	}
}

// acquireConnection takes a kept connection or makes a new one.
func (p *Pool) acquireConnection(ctx context.Context, call *Call) (c *connection, reused bool, failure *Failure) {
	c, room := p.acquire(call.EndpointID, call.MaxConnections, call.Resent, time.Now())
	if c != nil {
		return c, true, nil
	}
	if !room {
		return nil, false, &Failure{Outcome: attempt.AtLimit}
	}
	c, err := p.dialer.dial(ctx, call.Address, call.Zone)
	if err == nil && !c.isQuiet() {
		err = errors.New("the endpoint ended a new connection")
	}
	if err != nil {
		p.discard(call.EndpointID, c)
		return nil, false, unsentFailure(ctx, err)
	}
	p.addBusy(call.EndpointID, c)
	return c, false, nil
}

// unsentFailure is the failure of a request of which nothing was sent.
func unsentFailure(ctx context.Context, cause error) *Failure {
	outcome := attempt.ConnectFailed
	if errors.Is(ctx.Err(), context.Canceled) {
		outcome = attempt.Canceled
	}
	return &Failure{Outcome: outcome, Cause: cause}
}

// sendRequest writes the request. It returns false if not one byte of it was sent. Errors after that show when the answer
// is read.
func (a *Response) sendRequest() (sent bool, err error) {
	head := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(head)
	head.Reset()
	a.connection.markSent()
	a.call.writeHead(head, time.Until(a.call.Deadline))
	if len(a.call.Body) < asyncBodySize {
		head.Write(a.call.Body)
		n, err := a.connection.Write(head.Bytes())
		a.requestWritten = err == nil
		return n > 0, err
	}
	n, err := a.connection.Write(head.Bytes())
	if err != nil {
		return n > 0, err
	}
	a.bodyWritten = make(chan error, 1)
	go writeBody(a.connection, a.call.Body, a.bodyWritten)
	return true, nil
}

func writeBody(c net.Conn, body []byte, done chan<- error) {
	_, err := c.Write(body)
	done <- err
}

// isRequestWritten tells, without waiting, whether the whole request has been written.
func (a *Response) isRequestWritten() bool {
	if a.bodyWritten == nil {
		return a.requestWritten
	}
	select {
	case err := <-a.bodyWritten:
		a.bodyWritten, a.requestWritten = nil, err == nil
	default:
	}
	return a.bodyWritten == nil && a.requestWritten
}

// reservedHeaders are the headers that the system writes itself, or that no endpoint is to see as the client sent them.
var reservedHeaders = map[string]bool{
	"Host": true, "Content-Length": true, headerTimeLeft: true, headerDeliverTo: true,
}

// ownWith are the same and those that a call may replace.
var (
	reservedWithPriority = withHeader(reservedHeaders, headerPriority)
	reservedWithResume   = withHeader(reservedHeaders, headerLastEvent)
	reservedWithBoth     = withHeader(reservedWithPriority, headerLastEvent)
)

func withHeader(set map[string]bool, name string) map[string]bool {
	larger := map[string]bool{name: true}
	for key := range set {
		larger[key] = true
	}
	return larger
}

// excludedHeaders are the client's headers that are not passed on.
func (c *Call) excludedHeaders() map[string]bool {
	switch {
	case c.Priority != "" && c.LastEventID != "":
		return reservedWithBoth
	case c.Priority != "":
		return reservedWithPriority
	case c.LastEventID != "":
		return reservedWithResume
	}
	return reservedHeaders
}

// writeHead writes the request line and the headers.
func (c *Call) writeHead(to *bytes.Buffer, left time.Duration) {
	to.WriteString(c.Method + " " + c.RequestTarget + " HTTP/1.1\r\n")
	writeField(to, "Host", c.Host)
	_ = c.Header.WriteSubset(to, c.excludedHeaders()) // a buffer takes all
	writeField(to, headerTimeLeft, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	writeField(to, headerDeliverTo, c.EndpointID)
	if c.Priority != "" {
		writeField(to, headerPriority, c.Priority)
	}
	if c.LastEventID != "" {
		writeField(to, headerLastEvent, c.LastEventID)
	}
	if c.HasBody || len(c.Body) > 0 {
		writeField(to, "Content-Length", strconv.Itoa(len(c.Body)))
	}
	to.WriteString("\r\n")
}

func writeField(to *bytes.Buffer, name, value string) { to.WriteString(name + ": " + value + "\r\n") }
