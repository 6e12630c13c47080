// Package raftleader fakes the only raft node of a cluster, for tests of how members handle responses that are lost, late
// or stale. It applies commands to a lease table of its own.
package raftleader

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// GrantReply returns the leader's response to a request for grants: no counts these requests from 1, real is the response
// of a leader without faults.
type GrantReply func(no int, real transport.ProposeResponse) (status int, body []byte)

// ReplyTruthfully is the GrantReply of a leader without faults.
func ReplyTruthfully(_ int, real transport.ProposeResponse) (status int, body []byte) {
	return fasthttp.StatusOK, transport.Encode(real)
}

// Leader is a raft node that leads for as long as the test runs.
type Leader struct {
	Addr string

	leaseTTL   api.Micros
	grantReply GrantReply

	mu             sync.Mutex
	leases         *lease.Table
	index          uint64
	planStates     []transport.ComponentState
	polledVersions []uint64
	grantRequests  int
	mapCommands    int
}

// Start starts a leader that accepts so many connections. It is stopped when the test ends.
func Start(t testing.TB, leaseTTL api.Micros, maxConnections int, reply GrantReply) *Leader {
	t.Helper()
	l := &Leader{leases: lease.NewTable(), leaseTTL: leaseTTL, grantReply: reply}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Addr = listener.Addr().String()
	server := transport.NewServer(maxConnections, time.Second)
	server.Handle(transport.SessionPath, l.handleSession)
	server.Handle(transport.ProposePath, l.handlePropose)
	server.Handle(transport.StatePath, l.handleState)
	go func() { _ = server.Serve(listener) }()          // ends by Close
	t.Cleanup(func() { _ = server.Close(time.Second) }) // connections that are still open end with the process
	return l
}

// QueuePlanStates sets the states with which the next polls are answered, one each; later ones get none.
func (l *Leader) QueuePlanStates(states ...transport.ComponentState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planStates = append(l.planStates, states...)
}

// PolledVersions returns the versions of the plan in the polls that were answered with a state.
func (l *Leader) PolledVersions() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]uint64(nil), l.polledVersions...)
}

// MapCommands counts the commands to the shard map. None is accepted.
func (l *Leader) MapCommands() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mapCommands
}

// WasRequestedAndIsFree reports whether grants were requested and nobody holds the resource now.
func (l *Leader) WasRequestedAndIsFree(resource cluster.Resource) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, held := l.leases.Holder(resource)
	return l.grantRequests > 0 && !held
}

// apply applies a command. The caller holds the lock.
func (l *Leader) apply(c cluster.Command) transport.ProposeResponse {
	l.index++
	answer, err := l.leases.Apply(l.index, c.Body)
	return transport.ProposeResponse{Result: answer, ErrorCode: fsm.ErrorCode(err), Index: l.index}
}

func (l *Leader) handleSession(ctx *fasthttp.RequestCtx) {
	var request transport.SessionRequest
	if err := transport.Decode(ctx.Request.Body(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := transport.SessionResponse{Session: request.Session, TTL: l.leaseTTL}
	if request.Session == 0 {
		opened, err := lease.DecodeResult(l.apply(lease.OpenSession(request.Member, request.Incarnation)).Result)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		answer.Session = opened.Session
	} else if l.leases.Digest(request.Session) != request.GrantDigest {
		answer.Grants = l.leases.GrantsOf(request.Session)
	}
	ctx.SetBody(transport.Encode(answer))
}

func (l *Leader) handlePropose(ctx *fasthttp.RequestCtx) {
	var command cluster.Command
	if err := transport.Decode(ctx.Request.Body(), &command); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if command.Component == cluster.ShardMapComponent {
		l.mapCommands++
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	var operation lease.Operation
	if err := transport.Decode(command.Body, &operation); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	real := l.apply(command)
	status, body := fasthttp.StatusOK, transport.Encode(real)
	if operation.Kind == lease.OpAcquire {
		l.grantRequests++
		status, body = l.grantReply(l.grantRequests, real)
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}

func (l *Leader) handleState(ctx *fasthttp.RequestCtx) {
	var request transport.StateRequest
	if err := transport.Decode(ctx.Request.Body(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	answer := transport.StateResponse{Components: l.nextPlanState(request.Versions[cluster.RebalanceComponent])}
	if len(answer.Components) == 0 {
		time.Sleep((l.leaseTTL / 3).Duration())
	}
	ctx.SetBody(transport.Encode(answer))
}

func (l *Leader) nextPlanState(polled uint64) []transport.ComponentState {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.polledVersions)
	if n >= len(l.planStates) {
		return nil
	}
	l.polledVersions = append(l.polledVersions, polled)
	return l.planStates[n : n+1]
}
