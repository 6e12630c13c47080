package register

import (
	"context"
	"net/http"
	"time"

	"rowanlink/serving/rpc"
)

// Time-outs of one call to one replica.
const (
	callTimeout = 700 * time.Millisecond
	// initialCallTimeout bounds the calls of the first attempt of a Prepare or Query round, which are safe to repeat: a
	// call that was sent just before its replica restarted hangs, whereas a repeated call is answered. The time-out
	// grows with each attempt.
	initialCallTimeout = 250 * time.Millisecond
)

// attemptTimeout returns the time-out of the calls of an attempt, which is numbered from 0.
func attemptTimeout(attempt int) time.Duration {
	return min(initialCallTimeout*time.Duration(attempt+1), callTimeout)
}

// Transport carries calls to the node at an address. After an error it is unknown whether the call took effect.
type Transport interface {
	Prepare(ctx context.Context, address string, request *PrepareRequest) (*Vote, error)
	Accept(ctx context.Context, address string, request *AcceptRequest) (*Vote, error)
	Query(ctx context.Context, address string, request *QueryRequest) (*Vote, error)
	Describe(ctx context.Context, address string, request *DescribeRequest) (*Description, error)
}

// Server answers the calls of other nodes to the node of this process.
type Server interface {
	Prepare(ctx context.Context, request *PrepareRequest) (*Vote, error)
	Accept(ctx context.Context, request *AcceptRequest) (*Vote, error)
	Query(ctx context.Context, request *QueryRequest) (*Vote, error)
	Describe(ctx context.Context, request *DescribeRequest) (*Description, error)
}

// rpcTransport carries calls over rpc; calls to the process's own replica are function calls.
type rpcTransport struct {
	client *rpc.Client
	own    string // the address of this process
	local  Server
}

var _ Transport = (*rpcTransport)(nil)

func (t *rpcTransport) Prepare(ctx context.Context, address string, request *PrepareRequest) (*Vote, error) {
	if address == t.own {
		return t.local.Prepare(ctx, request)
	}
	return prepareMethod.Call(ctx, t.client, address, request)
}

func (t *rpcTransport) Accept(ctx context.Context, address string, request *AcceptRequest) (*Vote, error) {
	if address == t.own {
		return t.local.Accept(ctx, request)
	}
	return acceptMethod.Call(ctx, t.client, address, request)
}

func (t *rpcTransport) Query(ctx context.Context, address string, request *QueryRequest) (*Vote, error) {
	if address == t.own {
		return t.local.Query(ctx, request)
	}
	return queryMethod.Call(ctx, t.client, address, request)
}

func (t *rpcTransport) Describe(
	ctx context.Context, address string, request *DescribeRequest,
) (*Description, error) {
	return describeMethod.Call(ctx, t.client, address, request)
}

// registerHandlers adds the handlers of a server's calls to the mux. Each call is bounded by callTimeout, even if the
// caller sets no deadline.
func registerHandlers(mux *http.ServeMux, server Server) {
	prepareMethod.Serve(mux, withTimeout(server.Prepare))
	acceptMethod.Serve(mux, withTimeout(server.Accept))
	queryMethod.Serve(mux, withTimeout(server.Query))
	describeMethod.Serve(mux, withTimeout(server.Describe))
}

// withTimeout returns a handler whose context ends after callTimeout.
func withTimeout[Request, Response any](
	handle func(context.Context, *Request) (*Response, error),
) func(context.Context, *Request) (*Response, error) {
	return func(ctx context.Context, request *Request) (*Response, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return handle(ctx, request)
	}
}
