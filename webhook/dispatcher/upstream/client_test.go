package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

func TestOutcomeOfEachStatus(t *testing.T) {
	for head, want := range map[string]webhookResult{
		"200 OK":                                  {outcome: api.Delivered},
		"500 Oh":                                  {outcome: api.ErrorResponse},
		"302 Elsewhere":                           {outcome: api.ErrorResponse},
		"429 Slow\r\nRetry-After: 0.0000011":      {outcome: api.Rejected, retryAfter: 2},
		"503 Shut\r\nRetry-After: 2":              {outcome: api.Rejected, retryAfter: 2 * api.Second},
		"503 Shut\r\nRetry-After: soon":           {outcome: api.Rejected},
		"503 Slots\r\nX-Egress-Full: 1":           {outcome: api.NotSent},
		"504 Spent":                               {outcome: api.NotSent},
		"410 Over":                                {outcome: api.NotSent, final: true},
		"100 Go on\r\n\r\nHTTP/1.1 429 x\r\nA: b": {outcome: api.Rejected},
	} {
		client := startClient(serveConnections(t, answerEach(head)))
		assert.Equal(t, want, client.call(api.Second), head)
	}
}

// Guards against trusting a malformed answer, keeping its slot for the whole time-out, and applying its Retry-After.
func TestMalformedAnswerMayHaveRunAndFreesItsSlotEarly(t *testing.T) {
	const complete = "HTTP/1.1 503 Shut\r\nContent-Length: 0\r\n\r\n"
	for text, want := range map[string]api.Outcome{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf":                        api.Delivered,
		"HTTP/1.1 200 OK\r\nnonsense":                                             api.Delivered,
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx":                api.Delivered,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx":     api.Delivered,
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + complete: api.Rejected,
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n":            api.TimedOut,
		complete + complete: api.ErrorResponse,
		"HTTP/1.1 429 Slow\r\nRetry-After: 9\r\nContent-Length: 9\r\n\r\nhalf":      api.ErrorResponse,
		"HTTP/1.1 429 Slow\r\nRetry-After: 9\r\n nonsense":                          api.ErrorResponse,
		"HTTP/1.1 503 x\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n": api.ErrorResponse,
		"HTTP/1.1 410 Over\r\nContent-Length: -1\r\n\r\n":                           api.ErrorResponse,
		"HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nhalf":                          api.ErrorResponse,
		"HTTP/1.1 503 Shut\r\nX-Long: " + strings.Repeat("x", 9000):                 api.ErrorResponse,
		"HTTP/1.1 200":        api.ErrorResponse,
		"HTTP/1.1 2000 x\r\n": api.ErrorResponse,
		"HTTP/1.1 2":          api.ErrorResponse,
		"garbage\r\n\r\n":     api.ErrorResponse,
	} {
		client := startClient(serveConnections(t, writeAfterEach(text)))
		start := time.Now()
		got := client.call(api.Second / 2)
		assert.Equal(t, webhookResult{outcome: want}, got, text)
		if want != api.TimedOut {
			assert.Less(t, time.Since(start), time.Second/5, text)
		}
		if want == api.ErrorResponse || want == api.Delivered {
			assert.Zero(t, client.open, text)
		}
	}
}

// Guards against accepting a part of a bundle's malformed answer: all webhooks of the bundle may have run.
func TestBundleAnswerIsAcceptedOnlyIfComplete(t *testing.T) {
	for body, want := range map[string]map[api.Outcome]int{
		"a delivered\r\nb refused\r\n":              {api.Delivered: 1, api.Rejected: 1},
		"a delivered\r\nb refuse":                   {api.ErrorResponse: 2},
		"a delivered\r\n":                           {api.ErrorResponse: 2},
		"a delivered\r\nb odd\r\n":                  {api.ErrorResponse: 2},
		"a delivered\r\na refused\r\nb refused\r\n": {api.ErrorResponse: 2},
		"a delivered\r\nb refused\r\nc refused\r\n": {api.ErrorResponse: 2},
	} {
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		address := serveConnections(t, writeAfterEach(text))
		client := startClient(address)
		const batching = testEndpoint + 1
		entry := api.EndpointEntry{Endpoint: batching, Destination: testDestination}
		client.UpdateEndpoint(entry, address, api.DestinationKind{BatchSize: 2})
		client.Send(batching, []Attempt{
			newAttempt(1, "a", api.Second),
			newAttempt(2, "b", api.Second),
		})
		got := map[api.Outcome]int{}
		for range 2 {
			got[(<-client.results).outcome]++
		}
		assert.Equal(t, want, got, body)
	}
}

// Guards against surplus bytes that are read as the answer to the next call, also if they arrive late.
func TestSurplusBytesAreNeverTheNextAnswer(t *testing.T) {
	answerTwice := func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = conn.Write([]byte(emptyOK))
		_, _ = reader.Peek(1) // the next call has begun
		_, _ = conn.Write([]byte(emptyOK))
		_, _ = io.Copy(io.Discard, reader)
	}
	client := startClient(serveConnections(t, answerTwice, answerEach("503 Shut")))
	assert.Equal(t, api.Delivered, client.call(api.Second).outcome)
	idle, _ := client.acquire(client.endpoints[testEndpoint])
	_, err := idle.Write([]byte("P"))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	always := func() bool { return true }
	written := idle.write([]byte("call"), time.Now().Add(time.Second), always)
	assert.False(t, written, "an answer arrived before the call was written")
	client.discard(idle)
	assert.Equal(t, api.Rejected, client.call(api.Second).outcome)
}
