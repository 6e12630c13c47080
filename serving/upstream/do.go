package upstream

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/attempt"
)

// asyncBodySize is the size, in bytes, from which on a body is written by a separate goroutine, since the response may
// arrive before the body has been written.
const asyncBodySize = 16 << 10

var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Do sends the request once and waits for the response's status and headers. It returns the response, whose body the
// caller reads and which the caller must close, or a failure. The end of the context ends the call at once.
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
		response := &Response{
			pool:       p,
			call:       call,
			connection: c,
			ctx:        ctx,
			cancel:     cancel,
			watchdog:   watchdog{mayAbandon: call.MayAbandon, abandon: c.closeOnce},
		}
		response.stopCancelHook = context.AfterFunc(ctx, c.closeOnce)
		if sent, err := response.sendRequest(); !sent {
			stale := reused && ctx.Err() == nil
			failure := response.fail(err, attempt.ConnectFailed)
			if stale {
				continue // the endpoint had closed the idle connection, and nothing of the request was sent
			}
			cancel()
			return nil, failure
		}
		response.watchdog.arm(call.ProgressTimeout)
		if failure := response.receiveHead(); failure != nil {
			cancel()
			return nil, failure
		}
		return response, nil
	}
}

// acquireConnection takes an idle connection or opens a new one.
func (p *Pool) acquireConnection(ctx context.Context, call *Call) (c *connection, reused bool, failure *Failure) {
	c, hasCapacity := p.acquire(call.EndpointID, call.MaxConnections, call.Resent, time.Now())
	if c != nil {
		return c, true, nil
	}
	if !hasCapacity {
		return nil, false, &Failure{Outcome: attempt.AtConnectionLimit}
	}
	c, err := p.dialer.dial(ctx, call.Address, call.Zone)
	if err == nil && !c.isQuiet() {
		err = errors.New("endpoint closed a new connection")
	}
	if err != nil {
		p.discard(call.EndpointID, c)
		return nil, false, unsentFailure(ctx, err)
	}
	p.addBusy(call.EndpointID, c)
	return c, false, nil
}

// unsentFailure returns the failure of a request of which nothing was sent.
func unsentFailure(ctx context.Context, cause error) *Failure {
	outcome := attempt.ConnectFailed
	if errors.Is(ctx.Err(), context.Canceled) {
		outcome = attempt.Canceled
	}
	return &Failure{Outcome: outcome, Cause: cause}
}

// sendRequest writes the request. It returns false if not one byte of it was sent. An error after the first byte is
// not handled here: it shows when the response is read.
func (r *Response) sendRequest() (sent bool, err error) {
	head := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(head)
	head.Reset()
	r.connection.markSent()
	r.call.writeHead(head, time.Until(r.call.Deadline))
	if len(r.call.Body) < asyncBodySize {
		head.Write(r.call.Body)
		n, err := r.connection.Write(head.Bytes())
		r.requestWritten = err == nil
		return n > 0, err
	}
	n, err := r.connection.Write(head.Bytes())
	if err != nil {
		return n > 0, err
	}
	r.bodyWritten = make(chan error, 1)
	go writeBody(r.connection, r.call.Body, r.bodyWritten)
	return true, nil
}

// writeBody writes the body and then sends the result to done.
func writeBody(c net.Conn, body []byte, done chan<- error) {
	_, err := c.Write(body)
	done <- err
}

// isRequestWritten reports, without waiting, whether the complete request has been written.
func (r *Response) isRequestWritten() bool {
	if r.bodyWritten == nil {
		return r.requestWritten
	}
	select {
	case err := <-r.bodyWritten:
		r.bodyWritten = nil
		r.requestWritten = err == nil
	default:
	}
	return r.bodyWritten == nil && r.requestWritten
}
