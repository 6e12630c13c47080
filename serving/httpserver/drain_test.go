package httpserver

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDrainTakesEachStepInItsTurn: the pauses of the end are where the test looks at what holds meanwhile.
func TestDrainTakesEachStepInItsTurn(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(p *peer) {
		for request := p.request(); request != nil; request = p.request() {
			if request.RequestURI == "/once/long" {
				close(reached)
				<-release
			}
			p.say(okAnswer)
		}
	})
	long, refused := r.dial(), r.dial()
	long.send(get("/once/long"))
	<-reached

	plan := planDrain(time.Minute)
	var pauses []time.Duration
	r.server.sleep = func(_ context.Context, span time.Duration) bool {
		pauses = append(pauses, span)
		switch len(pauses) {
		case 1:
			fresh := r.dial()
			fresh.send(get("/once/x"))
			answer := fresh.receive()
			assert.Equal(t, 200, answer.StatusCode, "clients learn only by and by")
			assert.True(t, answer.Close)
		case 2:
			refused.send(get("/once/x"))
			assert.Equal(t, 503, refused.receive().StatusCode)
		case 3:
			assert.False(t, r.server.isDrained())
			close(release)
			assert.Equal(t, 200, long.receive().StatusCode)
		}
		return true
	}
	r.server.Drain(time.Minute)
	require.GreaterOrEqual(t, len(pauses), 3, "an answer was under way")
	assert.Equal(t, []time.Duration{plan.serve, plan.reject, drainPollInterval}, pauses[:3])
}

// TestUnreadRequestHoldsTheEndUp: it lies in the connection, where no handler counts it.
func TestUnreadRequestHoldsTheEndUp(t *testing.T) {
	own, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer own.Close()
	client, err := net.Dial("tcp", own.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	l := newListener(own, 1, func() (time.Duration, time.Duration) { return 0, 0 }, func() {})
	s := &Server{listener: l}
	held, err := l.Accept()
	require.NoError(t, err)
	defer held.Close()
	recordConnState(held, http.StateIdle)
	assert.True(t, s.isDrained())

	_, err = client.Write([]byte(get("/once/x")))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !s.isDrained() }, 10*time.Second, time.Millisecond)
	recordConnState(held, http.StateActive)
	assert.False(t, s.isDrained(), "its head is being read")
}
