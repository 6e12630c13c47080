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

func TestNobodyListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	call := (&endpoint{listener: listener}).call()
	call.Address = address
	pool := New(patient)
	_, failure := pool.Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.ConnectFailed, failure.Outcome)
	assert.Zero(t, pool.Open())
}

func TestLimits(t *testing.T) {
	e := newEndpoint(t, func(p *peer) {
		p.request()
		p.say(okAnswer)
		p.awaitEnd()
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
	_, _, failure = outcome(t, pool, other)
	require.Nil(t, failure, "another endpoint has a limit of its own")
	third := e.call()
	third.EndpointID = "i-3"
	_, _, failure = outcome(t, pool, third)
	require.Nil(t, failure, "an idle connection gives way")
	assert.Equal(t, 2, pool.Open())
	held.Close()
}

func TestClientLeaves(t *testing.T) {
	for name, said := range map[string]string{"before the head": "", "in the body": okAnswer[:len(okAnswer)-1]} {
		t.Run(name, func(t *testing.T) {
			ctx, leave := context.WithCancel(context.Background())
			gone := make(chan struct{})
			e := newEndpoint(t, func(p *peer) {
				p.request()
				p.say(said)
				if said == "" {
					leave()
				}
				p.awaitEnd()
				close(gone)
			})
			pool := New(patient)
			answer, failure := pool.Do(ctx, e.call())
			if said != "" {
				require.Nil(t, failure)
				leave()
				_, err := io.ReadAll(answer)
				require.ErrorAs(t, err, &failure)
			}
			assert.Equal(t, attempt.Canceled, failure.Outcome)
			<-gone
			assert.Zero(t, pool.Open())
		})
	}
}

func TestDeadline(t *testing.T) {
	e := newEndpoint(t, func(p *peer) { p.awaitEnd() })
	call := e.call()
	call.Deadline = time.Now().Add(20 * time.Millisecond)
	_, failure := New(patient).Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.TimedOut, failure.Outcome)
	assert.False(t, failure.Abandoned)
}

func TestPatience(t *testing.T) {
	release := make(chan struct{})
	e := newEndpoint(t, func(p *peer) {
		p.request()
		<-release
		p.say(okAnswer)
		p.awaitEnd()
	})
	call := e.call()
	call.ProgressTimeout = time.Millisecond
	call.MayAbandon = func() bool {
		close(release)
		return false
	}
	_, body, failure := outcome(t, New(patient), call)
	require.Nil(t, failure, "the caller wants to wait on")
	assert.Equal(t, "body", body)

	silent := newEndpoint(t, func(p *peer) { p.awaitEnd() })
	call = silent.call()
	call.ProgressTimeout = time.Millisecond
	call.MayAbandon = func() bool { return true }
	pool := New(patient)
	_, failure = pool.Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.TimedOut, failure.Outcome)
	assert.True(t, failure.Abandoned)
	assert.Zero(t, pool.Open())
}
