package register

import (
	"context"
	"net/http"
	"time"

	"rowanlink/serving/rpc"
)

// Bounds of one call to one replica. A replica that is slower counts as silent.
const (
	callTimeout = 700 * time.Millisecond
	// initialCallTimeout is the bound of the first try of a prepare or query, which loses nothing by being sent again: a call
	// that went out just before its replica came back hangs, the next one doesn't. The bound grows with each try.
	initialCallTimeout = 250 * time.Millisecond
)

// attemptTimeout returns the bound of the calls of a try, counted from 0.
func attemptTimeout(attempt int) time.Duration {
	return min(initialCallTimeout*time.Duration(attempt+1), callTimeout)
}

// Transport carries calls to the replica at an address. An error stands for silence: nothing is known of whether the
// call took effect.
type Transport interface {
	Prepare(ctx context.Context, address string, request *PrepareRequest) (*Vote, error)
	Accept(ctx context.Context, address string, request *AcceptRequest) (*Vote, error)
	Query(ctx context.Context, address string, request *QueryRequest) (*Vote, error)
	Describe(ctx context.Context, address string, request *DescribeRequest) (*Description, error)
}

// Server answers calls to the replica of this process.
type Server interface {
	Prepare(ctx context.Context, request *PrepareRequest) (*Vote, error)
	Accept(ctx context.Context, request *AcceptRequest) (*Vote, error)
	Query(ctx context.Context, request *QueryRequest) (*Vote, error)
	Describe(ctx context.Context, request *DescribeRequest) (*Description, error)
}

// rpcTransport carries calls over rpc, and those to the replica of the same process directly.
type rpcTransport struct {
	client *rpc.Client
	own    string
	local  Server
}

func (n *rpcTransport) Prepare(ctx context.Context, address string, request *PrepareRequest) (*Vote, error) {
	if address == n.own {
		return n.local.Prepare(ctx, request)
	}
	return prepareMethod.Call(ctx, n.client, address, request)
}

func (n *rpcTransport) Accept(ctx context.Context, address string, request *AcceptRequest) (*Vote, error) {
	if address == n.own {
		return n.local.Accept(ctx, request)
	}
	return acceptMethod.Call(ctx, n.client, address, request)
}

func (n *rpcTransport) Query(ctx context.Context, address string, request *QueryRequest) (*Vote, error) {
	if address == n.own {
		return n.local.Query(ctx, request)
	}
	return queryMethod.Call(ctx, n.client, address, request)
}

func (n *rpcTransport) Describe(ctx context.Context, address string, request *DescribeRequest) (*Description, error) {
	return describeMethod.Call(ctx, n.client, address, request)
}

// registerHandlers registers the calls. Each is bounded, also where the caller names no bound.
func registerHandlers(mux *http.ServeMux, server Server) {
	prepareMethod.Serve(mux, bounded(server.Prepare))
	acceptMethod.Serve(mux, bounded(server.Accept))
	queryMethod.Serve(mux, bounded(server.Query))
	describeMethod.Serve(mux, bounded(server.Describe))
}

func bounded[Request, Response any](
	answer func(context.Context, *Request) (*Response, error),
) func(context.Context, *Request) (*Response, error) {
	return func(ctx context.Context, request *Request) (*Response, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return answer(ctx, request)
	}
}

var _ Transport = (*rpcTransport)(nil)
