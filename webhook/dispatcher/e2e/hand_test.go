package e2e_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/stretchr/testify/require"
)

// got is one call as an endpoint saw it.
type got struct {
	path, id, token, body string
}

// output is what the process says, to be read while it runs.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// hand hands a webhook in; extra headers replace the usual ones, an empty one leaves it out.
func (w *world) hand(id, body string, extra ...string) *http.Response {
	w.t.Helper()
	r, err := http.NewRequest("POST", "http://"+w.listen+"/api", strings.NewReader(body))
	require.NoError(w.t, err)
	for i, h := range append([]string{"Request-Id", id, "Request-Class", "status", "Request-Timeout-Ms", "9000",
		"X-Route-To", "dest=3", "Idempotency-Key", "k" + id}, extra...) {
		if i%2 == 1 {
			continue
		}
		all := append([]string{"Request-Id", id, "Request-Class", "status", "Request-Timeout-Ms", "9000",
			"X-Route-To", "dest=3", "Idempotency-Key", "k" + id}, extra...)
		if r.Header.Set(h, all[i+1]); all[i+1] == "" {
			r.Header.Del(h)
		}
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(w.t, err)
	resp.Body.Close()
	return resp
}

// hang answers nothing until the caller ends the connection.
func hang(rw http.ResponseWriter) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err == nil {
		io.Copy(io.Discard, c)
		c.Close()
	}
}

// breakOff ends the connection once the call has come.
func breakOff(rw http.ResponseWriter) {
	if c, _, err := rw.(http.Hijacker).Hijack(); err == nil {
		c.Close()
	}
}

const usualHead = "POST /api HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nRequest-Class: status\r\n" +
	"Request-Timeout-Ms: 9000\r\nX-Route-To: dest=3\r\nIdempotency-Key: k\r\n%s"

// raw hands in what stands here after the usual head, on a connection of its own.
func (w *world) raw(id, rest string) net.Conn {
	c, err := net.Dial("tcp", w.listen)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, usualHead, id, rest)
	return c
}
