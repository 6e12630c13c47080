package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
)

// scriptedConn is a connection on which an endpoint has sent data, and which the endpoint has then closed.
type scriptedConn struct {
	net.Conn
	data *bytes.Reader
}

func (s *scriptedConn) Read(p []byte) (int, error) { return s.data.Read(p) }
func (s *scriptedConn) Close() error               { return nil }

// readScriptedResponse reads a response to attempt a1 in the same way as Pool.Do and its caller. It returns nil if
// there is no valid response, and whether the body was complete.
func readScriptedResponse(t *testing.T, sent []byte) (response *Response, body []byte, complete bool) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	call := &Call{EndpointID: "e", Method: http.MethodPost, Header: http.Header{headerAttempt: {"a1"}}}
	c := newConnection(&scriptedConn{data: bytes.NewReader(sent)})
	response = &Response{pool: New(testOptions), call: call, connection: c, ctx: ctx, cancel: cancel, requestWritten: true,
		watchdog: watchdog{abandon: c.closeOnce}, stopCancelHook: func() bool { return true }}
	if failure := response.receiveHead(); failure != nil {
		return nil, nil, false
	}
	body, err := io.ReadAll(response)
	return response, body, err == nil
}

// FuzzResponse: a response with the outcome Succeeded belongs to this request, is not encoded and, if its status is
// 2xx, carries the endpoint's stamp. If the beginning of the data yields a complete response, the whole data yields the
// same one.
func FuzzResponse(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\n"
	f.Add([]byte(head+"Keep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody"), uint16(3))
	f.Add([]byte(head+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Attempt-Id: a2\r\n\r\n"), uint16(90))
	f.Add([]byte(strings.Replace(head, "a1", "a2", 1)+"Content-Length: 1\r\n\r\nx"+head+"Content-Length: 0\r\n\r\n"), uint16(70))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nX-Not-Delivered: full\r\nContent-Length: 0\r\n\r\n"), uint16(30))
	f.Add([]byte("HTTP/1.0 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\n\r\nuntil the end"), uint16(60))
	f.Add([]byte(head+"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyb"), uint16(0))
	f.Fuzz(func(t *testing.T, sent []byte, cut uint16) {
		response, body, complete := readScriptedResponse(t, sent)
		if response != nil {
			checkResponse(t, response, body, complete)
		}
		if int(cut) >= len(sent) {
			return
		}
		early, partial, seemsComplete := readScriptedResponse(t, sent[:cut])
		if early == nil || !seemsComplete || early.Length < 0 && len(early.httpResponse.TransferEncoding) == 0 {
			return // a body that ends with the connection can't be distinguished from a truncated one
		}
		require.NotNil(t, response, "the truncated data yields a complete response, the whole data none")
		assert.Equal(t, early.Status, response.Status)
		assert.Equal(t, partial, body)
		assert.True(t, complete)
	})
}

func checkResponse(t *testing.T, response *Response, body []byte, complete bool) {
	assert.GreaterOrEqual(t, response.Status, 200)
	assert.LessOrEqual(t, response.Status, 599)
	assert.GreaterOrEqual(t, int64(response.idleTimeout), int64(0))
	assert.LessOrEqual(t, response.idleTimeout, 24*time.Hour, "bounded whatever the endpoint announces")
	if response.Outcome != attempt.Succeeded {
		return
	}
	assert.Equal(t, "a1", response.Header.Get(headerAttempt))
	assert.False(t, ImpliesNotRun(response.Status))
	assert.True(t, isIdentity(response.Header.Get("Content-Encoding")))
	if response.Status < 300 {
		assert.NotEmpty(t, response.Header.Get(headerStamp))
	}
	if complete && response.Length >= 0 {
		assert.Len(t, body, int(response.Length))
	}
}

// FuzzParseIdleTimeout: whatever timeout an endpoint announces, the result doesn't overflow.
func FuzzParseIdleTimeout(f *testing.F) {
	for _, sent := range []string{"timeout=5", "timeout=5, max=3", "max=1,TIMEOUT=0", "timeout=-1", "timeout=9223372036854775807",
		"timeout=99999999999", "timeout="} {
		f.Add(sent)
	}
	f.Fuzz(func(t *testing.T, sent string) {
		idle := parseIdleTimeout(http.Header{"Keep-Alive": {sent}})
		assert.GreaterOrEqual(t, int64(idle), int64(0))
		assert.LessOrEqual(t, idle, 24*time.Hour)
	})
}
