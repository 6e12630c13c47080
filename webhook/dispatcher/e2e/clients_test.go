package e2e_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const liveRequest = "GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"

func TestInvalidRequestsAreAnsweredAndHaveNoEffect(t *testing.T) {
	env := startEnvironment(t, "token")
	env.handleCalls(holdCall)
	for _, header := range [][]string{
		{"Request-Id", ""},
		{"Request-Id", "a b"},
		{"Request-Id", strings.Repeat("x", 200)},
		{"Request-Class", "other"},
		{"Request-Class", ""},
		{"Request-Timeout-Ms", "soon"},
		{"Request-Timeout-Ms", "-5"},
		{"Request-Timeout-Ms", "2000000000"},
		{"X-Route-To", "dest=4294967296"},
		{"X-Route-To", "7"},
		{"X-Route-To", ""},
		{"Idempotency-Key", ""},
	} {
		assert.Equal(t, 400, env.submit("a1", "x", header...), header)
	}
	statusLine := make([]byte, len("HTTP/1.1 413"))
	_, err := io.ReadFull(env.sendRaw("a1", "Content-Length: 65537\r\n\r\n"), statusLine)
	assert.Equal(t, "HTTP/1.1 413 <nil>", fmt.Sprint(string(statusLine), " ", err), "answered from the request's head")
	assert.Equal(t, 202, env.submit("a1", "x"))
	assert.Equal(t, 409, env.submit("a1", "x"), "already pending")
	assert.Equal(t, 503, env.submit("a2", "x", "X-Route-To", "dest=4"), "not in the endpoint list")
	env.kill()
	lines := strings.Count(env.output.String(), "\n")
	assert.Less(t, lines, 12, "many invalid requests must not fill the log")
}

// Guards against request smuggling: a body whose end can be read in two ways may hide another request.
func TestAmbiguousFramingIsRejectedAndItsConnectionClosed(t *testing.T) {
	env := startEnvironment(t, "token")
	for i, rest := range []string{
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"Content-Length: -4\r\n\r\nx",
		"Content-Length: 99999999999999999999\r\n\r\nx",
		"Content-Length: 1, 1\r\n\r\nx",
		"Transfer-Encoding: identity\r\nContent-Length: 1\r\n\r\nx",
		"Transfer-Encoding: gzip\r\n\r\nx",
		"Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
		"nonsense\r\n\r\n",
		"Content-Length: 1\r\n\r\nxxx",
		"Content-Length : 1\r\n\r\nx",
		"\r\nx",
		"Request-Id: b\r\nContent-Length: 1\r\n\r\nx",
		"Content-Length: 60000000\r\n\r\n",
		"X-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n",
	} {
		conn := env.sendRaw(fmt.Sprint("a", i), rest)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second/2)))
		received, err := io.ReadAll(conn)
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, rest[:min(60, len(rest))])
		assert.NotContains(t, string(received), "HTTP/1.1 20", rest[:min(60, len(rest))])
	}
	env.submit("z", "x")
	env.eventually("called", env.receivedCalls(1))
	assert.Equal(t, "z", env.recordedCalls()[0].id)
	assert.Len(t, env.recordedCalls(), 1)
}

// countOpen returns how many connections the dispatcher has not closed.
func countOpen(t *testing.T, conns []net.Conn) int {
	t.Helper()
	open := 0
	for _, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
		if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	return open
}

// Guards against clients that send one request each and stay connected: many of them would displace the connections that
// other clients reuse.
func TestManyIdleConnectionsDoNotDisplaceReusedOnes(t *testing.T) {
	env := startEnvironment(t, "token")
	raw := env.sendRaw("u0", "Content-Length: 1\r\n\r\nx")
	reused := &clientConn{Conn: raw, reader: bufio.NewReader(raw)}
	requireAccepted := func() {
		received, err := reused.readAnswer()
		require.NoError(t, err)
		assert.Equal(t, 202, received.status)
	}
	requireAccepted()
	var idle []net.Conn
	for i := range 700 { // more than the connection limit
		conn, err := env.dial()
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		idle = append(idle, conn)
		_, _ = fmt.Fprint(conn, liveRequest)
		_, _ = io.ReadFull(conn, make([]byte, 12)) // the dispatcher may have closed the idle connection
		if i == 399 {
			assert.LessOrEqual(t, countOpen(t, idle), 1024/6, "idle connections leave capacity to others")
		}
		if i%200 == 100 {
			_, _ = fmt.Fprintf(reused, requestHead, fmt.Sprint("u", i), "Content-Length: 1\r\n\r\nx")
			requireAccepted()
		}
	}
}

// Guards against silent connections, incomplete request heads and idle connections that exhaust the connection limit.
func TestSilentConnectionsDoNotKeepClientsOut(t *testing.T) {
	env := startEnvironment(t, "token")
	beginnings := []string{"", "POST /api HTTP/1.1\r\n", liveRequest}
	var conns []net.Conn
	for i := range 1000 { // more than twice the connection limit
		conn, err := env.dial()
		require.NoError(t, err)
		conns = append(conns, conn)
		_, _ = fmt.Fprint(conn, beginnings[i%3])
		if i%100 == 99 {
			start := time.Now()
			assert.Equal(t, 202, env.submit(fmt.Sprint("a", i), "x"))
			assert.Less(t, time.Since(start), 400*time.Millisecond)
		}
	}
	deadline := time.Now().Add(3 * time.Second)
	for i, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(deadline))
		_, err := io.ReadAll(conn)
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, i)
		_ = conn.Close()
	}
}

func TestWebhookOfADisconnectedClientIsNotAccepted(t *testing.T) {
	env := startEnvironment(t, "token")
	env.suspend()
	conn := env.sendRaw("a1", "Content-Length: 1\r\n\r\nx")
	_ = conn.Close() // the client goes to another dispatcher
	env.signal(syscall.SIGCONT)
	assert.Equal(t, 202, env.submit("a2", "x"))
	env.eventually("called", env.receivedCalls(1))
	time.Sleep(50 * time.Millisecond)
	want := endpointCall{path: "/events", id: "a2", token: "ka2", body: "x"}
	assert.Equal(t, []endpointCall{want}, env.recordedCalls())
}
