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
	"rowanlink/test/fake/scriptedendpoint"
)

func TestDo_ConnectionRefused(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	call := newCall(address)
	pool := New(testOptions)
	_, failure := pool.Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.ConnectFailed, failure.Outcome)
	assert.Zero(t, pool.OpenConnections())
}

func TestDo_ConnectionLimits(t *testing.T) {
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
		conn.ReadRequest()
		conn.WriteText(okResponse)
		conn.ReadToEnd()
	})
	pool := New(Options{MaxConnections: 2})
	call := newCall(endpoint.Address())
	call.MaxConnections = 1
	pending, failure := pool.Do(context.Background(), call)
	require.Nil(t, failure)
	_, failure = pool.Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.AtConnectionLimit, failure.Outcome)
	assert.True(t, failure.Outcome.NeverRan(), "it may be retried")

	other := newCall(endpoint.Address())
	other.EndpointID = "i-2"
	_, _, failure = doCall(t, pool, other)
	require.Nil(t, failure, "another endpoint has its own limit")
	third := newCall(endpoint.Address())
	third.EndpointID = "i-3"
	_, _, failure = doCall(t, pool, third)
	require.Nil(t, failure, "an idle connection to another endpoint is closed to stay within the limit")
	assert.Equal(t, 2, pool.OpenConnections())
	pending.Close()
}

func TestDo_ClientDisconnects(t *testing.T) {
	for name, sent := range map[string]string{"before the head": "", "in the body": okResponse[:len(okResponse)-1]} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			closed := make(chan struct{})
			endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
				conn.ReadRequest()
				conn.WriteText(sent)
				if sent == "" {
					cancel()
				}
				conn.ReadToEnd()
				close(closed)
			})
			pool := New(testOptions)
			response, failure := pool.Do(ctx, newCall(endpoint.Address()))
			if sent != "" {
				require.Nil(t, failure)
				cancel()
				_, err := io.ReadAll(response)
				require.ErrorAs(t, err, &failure)
			}
			assert.Equal(t, attempt.Canceled, failure.Outcome)
			<-closed
			assert.Zero(t, pool.OpenConnections())
		})
	}
}

func TestDo_Deadline(t *testing.T) {
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) { conn.ReadToEnd() })
	call := newCall(endpoint.Address())
	call.Deadline = time.Now().Add(20 * time.Millisecond)
	_, failure := New(testOptions).Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.TimedOut, failure.Outcome)
	assert.False(t, failure.Abandoned)
}

func TestDo_ProgressTimeout(t *testing.T) {
	release := make(chan struct{})
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
		conn.ReadRequest()
		<-release
		conn.WriteText(okResponse)
		conn.ReadToEnd()
	})
	call := newCall(endpoint.Address())
	call.ProgressTimeout = time.Millisecond
	call.MayAbandon = func() bool {
		close(release)
		return false
	}
	_, body, failure := doCall(t, New(testOptions), call)
	require.Nil(t, failure, "the caller continues to wait")
	assert.Equal(t, "body", body)

	unresponsive := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) { conn.ReadToEnd() })
	call = newCall(unresponsive.Address())
	call.ProgressTimeout = time.Millisecond
	call.MayAbandon = func() bool { return true }
	pool := New(testOptions)
	_, failure = pool.Do(context.Background(), call)
	require.NotNil(t, failure)
	assert.Equal(t, attempt.TimedOut, failure.Outcome)
	assert.True(t, failure.Abandoned)
	assert.Zero(t, pool.OpenConnections())
}
