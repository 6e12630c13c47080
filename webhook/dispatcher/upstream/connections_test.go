package upstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// Guards against memory use that grows with every endpoint ever listed, and against a webhook without a result because it
// was sent to a forgotten endpoint.
func TestRemovedEndpointIsForgottenOnceNothingIsInFlight(t *testing.T) {
	client := startClient(serveConnections(t, answerEach("200 OK")))
	client.call(api.Second)
	client.setStatus(api.EndpointRemoved)
	assert.Zero(t, client.open, "its idle connections are closed at once")
	client.Sweep()
	assert.Empty(t, client.endpoints)
	assert.Equal(t, api.NotSent, client.call(api.Second).outcome)
}

// Guards against mistaking a connection limit for the destination's rate limit, which would lower its window and rate.
func TestConnectionLimitIsDistinguishedFromTheDestinationsRateLimit(t *testing.T) {
	const refusal = "503 Shut\r\nConnection: close"
	for head, want := range map[string]webhookResult{
		refusal:                              {outcome: api.ConnectionLimited},
		refusal + "\r\nRetry-After: 1":       {outcome: api.Rejected, retryAfter: api.Second},
		refusal + "\r\nX-Egress-Full: 1":     {outcome: api.NotSent},
		"429 Slow\r\nConnection: close":      {outcome: api.Rejected},
		"503 Shut\r\nConnection: keep-alive": {outcome: api.Rejected},
	} {
		client := startClient(serveConnections(t, answerEach(head)))
		assert.Equal(t, want, client.call(api.Second), head)
	}
	refuseSecond := func(conn net.Conn, reader *bufio.Reader) {
		for _, head := range []string{"200 OK", refusal} {
			_, _ = http.ReadRequest(reader)
			_, _ = conn.Write([]byte(emptyAnswer(head)))
		}
	}
	client := startClient(serveConnections(t, refuseSecond))
	client.call(api.Second)
	assert.Equal(t, api.Rejected, client.call(api.Second).outcome, "a connection that has served a call is within the limit")
}

func TestCallThatEndsBeforeTheLastByteNeverRan(t *testing.T) {
	client := startClient("127.0.0.1:1") // nobody listens
	assert.Equal(t, api.ConnectFailed, client.call(api.Second).outcome)
	client = startClient(serveConnections(t, closeAfterRequest))
	assert.Equal(t, api.ConnectionReset, client.call(api.Second).outcome)
	client = startClient(serveConnections(t, neverAnswer))
	assert.Equal(t, api.TimedOut, client.call(api.Second/20).outcome)
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	closeAfterAnswer := func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = conn.Write([]byte(emptyOK))
		time.Sleep(20 * time.Millisecond)
		_ = conn.Close()
	}
	client := startClient(serveConnections(t, closeAfterAnswer, answerEach("200 OK")))
	for range 2 {
		assert.Equal(t, api.Delivered, client.call(api.Second).outcome)
		time.Sleep(60 * time.Millisecond)
	}
	assert.EqualValues(t, 2, client.counters.Connections.Load())
}

func TestIdleConnectionsAreReusedAndClosedBeforeTheirLimit(t *testing.T) {
	client := startClient(serveConnections(t, answerEach("200 OK"), answerEach("200 OK")))
	for range 3 {
		client.call(api.Second)
	}
	time.Sleep(200 * time.Millisecond) // beyond the deadline for the rest of the last answer
	client.call(api.Second)
	assert.EqualValues(t, 1, client.counters.Connections.Load())
	time.Sleep(850 * time.Millisecond) // the other side would close after 1 s
	client.Sweep()
	assert.Zero(t, client.open)
	assert.Equal(t, api.Delivered, client.call(api.Second).outcome)
	time.Sleep(5 * time.Millisecond)
	client.CloseIdle(testEndpoint)
	assert.Zero(t, client.open)
}

func TestRetryAfterOrDrainingStopsACallThatIsConnecting(t *testing.T) {
	rejecting, ok := answerEach("429 Slow\r\nRetry-After: 0.3"), answerEach("200 OK")
	client := startClient(serveConnections(t, rejecting, ok, ok))
	assert.Equal(t, api.Rejected, client.call(api.Second).outcome)
	assert.Equal(t, api.NotSent, client.call(api.Second).outcome, "Retry-After")
	time.Sleep(300 * time.Millisecond)
	client.setStatus(api.EndpointDraining)
	assert.Equal(t, api.NotSent, client.call(api.Second).outcome, "draining")
}

// Guards against a duplicate delivery: by the time that the connection is established, the destination may have forgotten
// the webhook's token.
func TestCallIsNotMadeAfterItsLatestStart(t *testing.T) {
	calls := make(chan bool, 9)
	countCalls := func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			calls <- true
			_, _ = conn.Write([]byte(emptyOK))
		}
	}
	client := startClient(serveConnections(t, countCalls, countCalls))
	callLate := func() api.Outcome {
		attempt := newAttempt(7, "b", api.Second)
		attempt.Latest = inflight.Now() - 1
		client.Send(testEndpoint, []Attempt{attempt})
		return (<-client.results).outcome
	}
	assert.True(t, callLate().NeverRan(), "on a new connection")
	assert.Equal(t, api.Delivered, client.call(api.Second).outcome)
	assert.Equal(t, api.NotSent, callLate(), "on an idle connection")
	client.call(api.Second)
	assert.Len(t, calls, 2)
}

func TestChangedAddressIsCalled(t *testing.T) {
	client := startClient(serveConnections(t, answerEach("200 OK")))
	assert.Equal(t, api.Delivered, client.call(api.Second).outcome)
	client.setAddress(serveConnections(t, answerEach("503 New")))
	assert.Equal(t, api.Rejected, client.call(api.Second).outcome)
}

func TestCancelEndsTheConnection(t *testing.T) {
	ended := make(chan bool, 1)
	waitForEnd := func(conn net.Conn, reader *bufio.Reader) {
		neverAnswer(conn, reader)
		ended <- true
	}
	client := startClient(serveConnections(t, waitForEnd))
	client.send(api.Second)
	time.Sleep(50 * time.Millisecond)
	client.Cancel(1)
	assert.Equal(t, api.Cancelled, (<-client.results).outcome)
	assert.True(t, <-ended)
	assert.Zero(t, client.InFlight())
}
