package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/webhook/refresh"
)

// errMalformed marks an object that can't be read.
var errMalformed = errors.New("list not read")

// Run watches until the process ends. A watch lasts until its connection ends, its idle time-out expires, or the address
// changes; the Scheduler decides when the next one begins.
func (c *Client) Run() {
	delay := c.scheduler.StartupDelay(c.currentCatalog().PushedLists)
	time.AfterFunc(delay.Duration(), c.ready)
	for reason := refresh.Started; ; {
		address, changed := c.currentAddress()
		request := c.scheduler.Next(reason, c.currentCatalog().PushedLists)
		select {
		case <-changed: // the last watch failed at the old address, so this request needn't be delayed for it
			reason = refresh.AddressChanged
			continue
		case <-time.After(request.Delay.Duration()):
		}
		ctx, cancel := contextUntil(changed)
		err := c.watch(ctx, address, request)
		c.ready()
		reason = endReason(ctx, err)
		slog.Debug("watch ended", "reason", err)
		cancel()
	}
}

// contextUntil returns a context that is cancelled when a channel is closed.
func contextUntil(closed <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// endReason returns why a watch ended.
func endReason(ctx context.Context, err error) refresh.Reason {
	var timeout interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		return refresh.AddressChanged
	case errors.As(err, &timeout) && timeout.Timeout():
		return refresh.TimedOut
	case errors.Is(err, errMalformed):
		return refresh.Malformed
	}
	return refresh.Closed
}

// watch requests the changes since the last list and reads them until the watch ends.
func (c *Client) watch(ctx context.Context, address string, request refresh.Request) error {
	responseUntil := time.Now().Add(request.ResponseTimeout.Duration())
	dialer := net.Dialer{Timeout: request.ConnectTimeout.Duration()}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	closeConnection := func() { _ = connection.Close() } // a pending read returns with an error
	defer context.AfterFunc(ctx, closeConnection)()
	defer closeConnection()
	if err := c.sendRequest(connection, address); err != nil {
		return err
	}
	reader := &deadlineReader{
		connection:    connection,
		responseUntil: responseUntil,
		idleTimeout:   request.IdleTimeout.Duration(),
	}
	var response fasthttp.Response
	response.StreamBody = true
	if err := response.Read(bufio.NewReader(reader)); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("answered %d", response.StatusCode())
	}
	reader.responseUntil = time.Time{}
	return c.readObjects(ctx, response.BodyStream())
}

func (c *Client) sendRequest(to io.Writer, address string) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetHost(address)
	request.SetRequestURI("/registry/instances?follow=1&since=" + strconv.FormatInt(c.generation, 10))
	out := bufio.NewWriter(to)
	if err := request.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// deadlineReader applies one deadline to the whole response header, and after that the idle time-out to each read.
type deadlineReader struct {
	connection    net.Conn
	responseUntil time.Time // zero once the header was received
	idleTimeout   time.Duration
}

// Read implements io.Reader.
func (r *deadlineReader) Read(p []byte) (int, error) {
	until := r.responseUntil
	if until.IsZero() {
		until = time.Now().Add(r.idleTimeout)
	}
	if err := r.connection.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return r.connection.Read(p)
}
