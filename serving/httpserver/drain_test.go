package httpserver

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/placement"
	"rowanlink/test/fake/scriptedendpoint"
)

// TestDrain_Phases replaces the sleeps of Drain, to check the server's behavior in each phase.
func TestDrain_Phases(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		for request := conn.ReadRequest(); request != nil; request = conn.ReadRequest() {
			if request.RequestURI == "/once/long" {
				close(reached)
				<-release
			}
			conn.WriteText(okResponse)
		}
	})
	long, rejected := proxy.dial(), proxy.dial()
	long.send(rawGet("/once/long"))
	<-reached

	plan := planDrain(time.Minute)
	var sleeps []time.Duration
	observePhase := func(duration time.Duration) {
		sleeps = append(sleeps, duration)
		switch len(sleeps) {
		case 1:
			fresh := proxy.dial()
			fresh.send(rawGet("/once/x"))
			response := fresh.receive()
			assert.Equal(t, 200, response.StatusCode, "clients switch to other proxies only gradually")
			assert.True(t, response.Close)
		case 2:
			rejected.send(rawGet("/once/x"))
			assert.Equal(t, 503, rejected.receive().StatusCode)
		case 3:
			assert.False(t, proxy.server.isDrained())
			close(release)
			assert.Equal(t, 200, long.receive().StatusCode)
		}
	}
	proxy.server.sleep = func(_ context.Context, duration time.Duration) bool {
		observePhase(duration)
		return true
	}
	proxy.server.Drain(t.Context(), time.Minute)
	require.GreaterOrEqual(t, len(sleeps), 3, "a response was in flight")
	assert.Equal(t, []time.Duration{plan.serve, plan.reject, drainPollInterval}, sleeps[:3])
}

// TestDrain_EndsWaitingRequestsWithAResponse: a request that waits for an endpoint while its proxy shuts down is told to
// try another proxy, before the process exits.
func TestDrain_EndsWaitingRequestsWithAResponse(t *testing.T) {
	proxy := newTestProxy(t, respondWith(okResponse))
	proxy.picker.decisions = slices.Repeat([]placement.Decision{{Kind: placement.Wait, Delay: time.Millisecond}}, 100_000)
	response := make(chan clientResponse)
	go func() { response <- proxy.do(proxy.requestWithLongDeadline("/once/x", "")) }()
	require.Eventually(t, func() bool { return proxy.server.InFlight() == 1 }, 10*time.Second, time.Millisecond)
	proxy.server.startDraining()
	proxy.server.rejectNewRequests()
	got := <-response
	assert.Equal(t, 503, got.status)
	assert.True(t, got.complete)
	assert.Equal(t, "0.020", got.header.Get("Retry-After"))
}

// TestDrain_WaitsForUnreadRequest: a request that has arrived on an idle connection but was not read yet is not among
// the requests in flight. Drain must wait for it nevertheless.
func TestDrain_WaitsForUnreadRequest(t *testing.T) {
	tcpListener := listen(t)
	client := dial(t, tcpListener.Addr().String())
	l := newListener(tcpListener, 1, func() (time.Duration, time.Duration) { return 0, 0 }, func() {})
	s := &Server{listener: l}
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	recordConnState(accepted, http.StateIdle)
	assert.True(t, s.isDrained())

	_, err = client.Write([]byte(rawGet("/once/x")))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !s.isDrained() }, 10*time.Second, time.Millisecond)
	recordConnState(accepted, http.StateActive)
	assert.False(t, s.isDrained(), "the headers are being read")
}
