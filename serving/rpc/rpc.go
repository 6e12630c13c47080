// Package rpc carries typed calls between the system's own processes: connect over HTTP/1.1, messages in CBOR.
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
	// userTimeout ends a connection whose peer has lost power or is cut off.
	userTimeout = time.Second
)

// codec writes messages as CBOR. It implements connect.Codec.
type codec struct{}

func (codec) Name() string                          { return "cbor" }
func (codec) Marshal(message any) ([]byte, error)   { return cbor.Marshal(message) }
func (codec) Unmarshal(data []byte, into any) error { return cbor.Unmarshal(data, into) }

// Client calls other processes over kept connections. It is safe for use by several goroutines.
type Client struct {
	http    *http.Client
	methods *xsync.Map[string, any] // *connect.Client[Request, Response] by address and procedure
}

// NewClient makes a client with a connection pool of its own.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}, methods: xsync.NewMap[string, any]()}
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		limit := int(userTimeout / time.Millisecond)
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, limit)
	})
	return errors.CombineErrors(err, failed)
}

// Method is one typed call. Procedure is its path, such as "/rowanlink.register.v1/Prepare".
type Method[Request, Response any] struct{ Procedure string }

// Call makes the call at host:port. The context bounds it.
func (m Method[Request, Response]) Call(ctx context.Context, c *Client, address string,
	request *Request) (*Response, error) {
	key := address + m.Procedure
	kept, ok := c.methods.Load(key)
	if !ok {
		made := connect.NewClient[Request, Response](c.http, "http://"+key, connect.WithCodec(codec{}),
			connect.WithAcceptCompression("gzip", nil, nil))
		kept, _ = c.methods.LoadOrStore(key, made)
	}
	response, err := kept.(*connect.Client[Request, Response]).CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrapf(err, "call %s at %s", m.Procedure, address)
	}
	return response.Msg, nil
}

// Serve registers the function that answers the call.
func (m Method[Request, Response]) Serve(mux *http.ServeMux,
	answer func(context.Context, *Request) (*Response, error)) {
	handler := connect.NewUnaryHandler(m.Procedure,
		func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
			response, err := answer(ctx, request.Msg)
			if err != nil {
				return nil, connect.NewError(connect.CodeUnavailable, err)
			}
			return connect.NewResponse(response), nil
		}, connect.WithCodec(codec{}))
	mux.Handle(m.Procedure, handler)
}
