package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/stretchr/testify/require"

	"rowanlink/internal/socket"
)

// requestHead is the format of a webhook's request up to the headers that a test adds; its arguments are the request
// identifier and the rest of the request.
const requestHead = "POST /api HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nRequest-Class: status\r\n" +
	"Request-Timeout-Ms: 9000\r\nX-Route-To: dest=3\r\nIdempotency-Key: k\r\n%s"

// answer is the dispatcher's answer to a submitted webhook.
type answer struct {
	status          int
	closeConnection bool // the answer asks the client to close its connection
}

// submit submits a webhook and returns the status code of the answer. headers are names and values that replace the
// usual ones; an empty value removes the header.
func (env *environment) submit(id, body string, headers ...string) int {
	env.t.Helper()
	return env.submitForAnswer(id, body, headers...).status
}

// submitForAnswer is like submit, and returns the whole answer.
func (env *environment) submitForAnswer(id, body string, headers ...string) answer {
	env.t.Helper()
	url := "http://" + env.listen + "/api"
	request, err := http.NewRequestWithContext(env.t.Context(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(env.t, err)
	usual := []string{
		"Request-Id", id,
		"Request-Class", "status",
		"Request-Timeout-Ms", "9000",
		"X-Route-To", "dest=3",
		"Idempotency-Key", "k" + id,
	}
	all := append(usual, headers...)
	for i := 0; i+1 < len(all); i += 2 {
		name, value := all[i], all[i+1]
		request.Header.Set(name, value)
		if value == "" {
			request.Header.Del(name)
		}
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(env.t, err)
	_ = response.Body.Close()
	return answer{status: response.StatusCode, closeConnection: response.Close}
}

// dial connects to the dispatcher. The caller closes the connection.
func (env *environment) dial() (net.Conn, error) {
	return (&net.Dialer{}).DialContext(env.t.Context(), "tcp", env.listen)
}

// sendRaw sends the request head and rest on a new connection, which is closed when the test ends.
func (env *environment) sendRaw(id, rest string) net.Conn {
	env.t.Helper()
	conn, err := env.dial()
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, requestHead, id, rest) // the dispatcher may already have closed the connection
	return conn
}

// clientConn is a client's persistent connection, used for one request at a time.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func (env *environment) dialClient() (*clientConn, error) {
	conn, err := env.dial()
	if err != nil {
		return nil, err
	}
	env.t.Cleanup(func() { _ = conn.Close() })
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// submit writes a complete webhook request and waits for the answer.
func (c *clientConn) submit(id string) (answer, error) {
	if _, err := fmt.Fprintf(c, requestHead, id, "Content-Length: 1\r\n\r\nx"); err != nil {
		return answer{}, err
	}
	return c.readAnswer()
}

func (c *clientConn) readAnswer() (answer, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return answer{status: response.StatusCode, closeConnection: response.Close}, err
}

// submissionTally counts the outcomes of requests. It is safe for concurrent use.
type submissionTally struct {
	mu        sync.Mutex
	submitted int
	retried   int         // sent once more because the connection ended before the answer
	lost      int         // not answered at all
	answers   map[int]int // by status code
	keptOpen  int         // answers that did not ask the client to close the connection
}

func newSubmissionTally() *submissionTally {
	return &submissionTally{answers: map[int]int{}}
}

func (tally *submissionTally) update(change func()) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	change()
}

// submit sends a webhook on a connection that is still open, as clients do. A request that crosses the end of its
// connection is sent once more on a new one; if that one gets no answer either, it counts as lost.
func (tally *submissionTally) submit(env *environment, conn *clientConn, id string) {
	if _, ended := socket.Inspect(conn.Conn); ended {
		return // closed between requests
	}
	tally.update(func() { tally.submitted++ })
	answered, err := conn.submit(id)
	if err != nil {
		tally.update(func() { tally.retried++ })
		if conn, err = env.dialClient(); err == nil {
			answered, err = conn.submit(id)
		}
	}
	tally.update(func() {
		if err != nil {
			tally.lost++
			return
		}
		tally.answers[answered.status]++
		if !answered.closeConnection {
			tally.keptOpen++
		}
	})
}

func (tally *submissionTally) String() string {
	return fmt.Sprintf("submitted %d, retried %d, lost %d, answers %v",
		tally.submitted, tally.retried, tally.lost, tally.answers)
}
