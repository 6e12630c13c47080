package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// The endpoint that tests call, and its destination.
const (
	testEndpoint    = api.EndpointID(1)
	testDestination = api.DestinationID(3)
)

const emptyOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// webhookResult is the result of one webhook.
type webhookResult struct {
	outcome    api.Outcome
	final      bool
	retryAfter api.Micros
}

// testClient is a Client with testEndpoint.
type testClient struct {
	*Client
	results chan webhookResult
	lastID  api.WebhookID
}

// startClient starts a client with testEndpoint at an address.
func startClient(address string) *testClient {
	client := &testClient{results: make(chan webhookResult, 9)}
	onResult := func(_ *inflight.Webhook, result api.AttemptResult) {
		client.results <- webhookResult{
			outcome:    result.Outcome,
			final:      result.Final,
			retryAfter: result.RetryAfter,
		}
	}
	client.Client = New(&inflight.Counters{}, onResult, api.Second/5, api.Second, 4)
	client.setAddress(address)
	return client
}

// setAddress lists testEndpoint at an address.
func (c *testClient) setAddress(address string) {
	entry := api.EndpointEntry{Endpoint: testEndpoint, Destination: testDestination}
	c.UpdateEndpoint(entry, address, api.DestinationKind{BatchSize: 1})
}

// setStatus updates testEndpoint with a list entry that has only a status.
func (c *testClient) setStatus(status api.EndpointStatus) {
	entry := api.EndpointEntry{Endpoint: testEndpoint, Destination: testDestination, Status: status}
	c.UpdateEndpoint(entry, "", api.DestinationKind{})
}

// send starts a call to testEndpoint with one webhook; the result arrives on results.
func (c *testClient) send(timeout api.Micros) {
	c.lastID++
	c.Send(testEndpoint, []Attempt{newAttempt(c.lastID, "a", timeout)})
}

// call calls testEndpoint with one webhook and waits for its result.
func (c *testClient) call(timeout api.Micros) webhookResult {
	c.send(timeout)
	return <-c.results
}

func newAttempt(id api.WebhookID, requestID inflight.RequestID, timeout api.Micros) Attempt {
	return Attempt{
		Webhook: &inflight.Webhook{ID: id, RequestID: requestID},
		Timeout: timeout,
		Latest:  inflight.Now() + timeout,
	}
}

// connectionHandler serves one connection of an endpoint.
type connectionHandler func(conn net.Conn, reader *bufio.Reader)

// serveConnections listens and returns the address. It accepts one connection after the other and runs the next handler on
// each.
func serveConnections(t *testing.T, handlers ...connectionHandler) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, listener.Close()) })
	go func() {
		for _, handle := range handlers {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn, bufio.NewReader(conn))
		}
	}()
	return listener.Addr().String()
}

// emptyAnswer returns an answer without a body; head is the status and further header lines.
func emptyAnswer(head string) string {
	return "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n"
}

// answerEach answers each request with an empty answer of the head given.
func answerEach(head string) connectionHandler {
	return func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = conn.Write([]byte(emptyAnswer(head)))
		}
	}
}

// writeAfterEach writes raw bytes after each request and leaves the connection open.
func writeAfterEach(raw string) connectionHandler {
	return func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = conn.Write([]byte(raw))
		}
	}
}

// neverAnswer reads a request and waits until the connection ends.
func neverAnswer(_ net.Conn, reader *bufio.Reader) {
	_, _ = http.ReadRequest(reader)
	_, _ = reader.ReadByte()
}

// closeAfterRequest reads a request and closes the connection.
func closeAfterRequest(conn net.Conn, reader *bufio.Reader) {
	_, _ = http.ReadRequest(reader)
	_ = conn.Close()
}
