// Package rpc makes and serves typed calls between the system's processes, by the Connect protocol over HTTP/1.1 with
// messages in CBOR. A call is never retried once the client has begun to send it.
package rpc

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/puzpuzpuz/xsync/v4"
	"golang.org/x/sys/unix"
)

// Limits of the connections between the system's processes.
const (
	dialTimeout     = 400 * time.Millisecond
	idleTimeout     = 30 * time.Second
	idleConnections = 2 // per peer
	// userTimeout is how long sent data may remain unacknowledged before the connection is closed, such as when the
	// peer has lost power (TCP_USER_TIMEOUT, RFC 5482).
	userTimeout = time.Second
)

// codec encodes messages as CBOR. It implements connect.Codec.
type codec struct{}

func (codec) Name() string                          { return "cbor" }
func (codec) Marshal(message any) ([]byte, error)   { return cbor.Marshal(message) }
func (codec) Unmarshal(data []byte, into any) error { return cbor.Unmarshal(data, into) }

// Client calls other processes over a pool of connections. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	clients *xsync.Map[string, any] // *connect.Client[Request, Response] by address and procedure
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		http:    &http.Client{Transport: transport},
		clients: xsync.NewMap[string, any](),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// setUserTimeout sets userTimeout on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		milliseconds := int(userTimeout / time.Millisecond)
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	return errors.CombineErrors(err, optionErr)
}

// Method describes a call by the types of its messages and by its path. Procedure is the path, such as
// "/rowanlink.register.v1/Prepare".
type Method[Request, Response any] struct{ Procedure string }

// Call calls the process at host:port. The context bounds the call.
func (m Method[Request, Response]) Call(ctx context.Context, c *Client, address string,
	request *Request) (*Response, error) {
	key := address + m.Procedure
	cached, ok := c.clients.Load(key)
	if !ok {
		created := connect.NewClient[Request, Response](c.http, "http://"+key, connect.WithCodec(codec{}),
			connect.WithAcceptCompression("gzip", nil, nil))
		cached, _ = c.clients.LoadOrStore(key, created)
	}
	response, err := cached.(*connect.Client[Request, Response]).CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrapf(err, "call %s at %s", m.Procedure, address)
	}
	return response.Msg, nil
}

// IsUnimplemented reports whether a call failed because the called process doesn't serve it, as in an earlier release.
func IsUnimplemented(err error) bool {
	var failure *connect.Error
	return errors.As(err, &failure) && failure.Code() == connect.CodeUnimplemented
}

// Serve registers the handler of the call. The caller gets the handler's errors with the code "unavailable".
func (m Method[Request, Response]) Serve(mux *http.ServeMux,
	handle func(context.Context, *Request) (*Response, error)) {
	handler := connect.NewUnaryHandler(m.Procedure,
		func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
			response, err := handle(ctx, request.Msg)
			if err != nil {
				return nil, connect.NewError(connect.CodeUnavailable, err)
			}
			return connect.NewResponse(response), nil
		}, connect.WithCodec(codec{}))
	mux.Handle(m.Procedure, handler)
}
