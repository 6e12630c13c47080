package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
)

func TestDo_NobodyListens(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	call := (&testEndpoint{listener: listener}).call()
	call.Address = address
	pool := New(testOptions)
	_, failure := pool.Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.ConnectFailed, failure.Outcome)
	assert.Zero(t, pool.Open())
}

func TestDo_ConnectionLimits(t *testing.T) {
	e := newTestEndpoint(t, func(p *endpointConn) {
		p.readRequest()
		p.write(okResponse)
		p.readToEnd()
	})
	pool := New(Options{MaxOpen: 2})
	call := e.call()
	call.MaxConnections = 1
	held, failure := pool.Do(context.Background(), call)
	require.Nil(t, failure)
	_, failure = pool.Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.AtLimit, failure.Outcome)
	assert.True(t, failure.Outcome.NeverRan(), "it may go again")

	other := e.call()
	other.EndpointID = "i-2"
	_, _, failure = doCall(t, pool, other)
	require.Nil(t, failure, "another endpoint has a limit of its own")
	third := e.call()
	third.EndpointID = "i-3"
	_, _, failure = doCall(t, pool, third)
	require.Nil(t, failure, "an idle connection gives way")
	assert.Equal(t, 2, pool.Open())
	held.Close()
}

func TestDo_ClientDisconnects(t *testing.T) {
	for name, sent := range map[string]string{"before the head": "", "in the body": okResponse[:len(okResponse)-1]} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			closed := make(chan struct{})
			e := newTestEndpoint(t, func(p *endpointConn) {
				p.readRequest()
				p.write(sent)
				if sent == "" {
					cancel()
				}
				p.readToEnd()
				close(closed)
			})
			pool := New(testOptions)
			response, failure := pool.Do(ctx, e.call())
			if sent != "" {
				require.Nil(t, failure)
				cancel()
				_, err := io.ReadAll(response)
				require.ErrorAs(t, err, &failure)
			}
			assert.Equal(t, attempt.Canceled, failure.Outcome)
			<-closed
			assert.Zero(t, pool.Open())
		})
	}
}

func TestDo_Deadline(t *testing.T) {
	e := newTestEndpoint(t, func(p *endpointConn) { p.readToEnd() })
	call := e.call()
	call.Deadline = time.Now().Add(20 * time.Millisecond)
	_, failure := New(testOptions).Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.TimedOut, failure.Outcome)
	assert.False(t, failure.Abandoned)
}

func TestDo_ProgressTimeout(t *testing.T) {
	release := make(chan struct{})
	e := newTestEndpoint(t, func(p *endpointConn) {
		p.readRequest()
		<-release
		p.write(okResponse)
		p.readToEnd()
	})
	call := e.call()
	call.ProgressTimeout = time.Millisecond
	call.MayAbandon = func() bool {
		close(release)
		return false
	}
	_, body, failure := doCall(t, New(testOptions), call)
	require.Nil(t, failure, "the caller wants to wait on")
	assert.Equal(t, "body", body)

	silent := newTestEndpoint(t, func(p *endpointConn) { p.readToEnd() })
	call = silent.call()
	call.ProgressTimeout = time.Millisecond
	call.MayAbandon = func() bool { return true }
	pool := New(testOptions)
	_, failure = pool.Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.TimedOut, failure.Outcome)
	assert.True(t, failure.Abandoned)
	assert.Zero(t, pool.Open())
}
