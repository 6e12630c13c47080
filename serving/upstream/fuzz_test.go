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

// spoken is a connection on which an endpoint has said something and then ended it.
type spoken struct {
	net.Conn
	said *bytes.Reader
}

func (s *spoken) Read(p []byte) (int, error) { return s.said.Read(p) }
func (s *spoken) Close() error               { return nil }

// heardOf reads an answer to the attempt a1 as a call does. whole tells whether its body came to its end.
func heardOf(t *testing.T, said []byte) (answer *Response, body []byte, whole bool) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	call := &Call{EndpointID: "e", Method: http.MethodPost, Header: http.Header{headerAttempt: {"a1"}}}
	own := newConnection(&spoken{said: bytes.NewReader(said)})
	answer = &Response{pool: New(patient), call: call, connection: own, ctx: ctx, cancel: cancel, requestWritten: true,
		watchdog: watchdog{abandon: own.closeOnce}, stopCancelHook: func() bool { return true }}
	if failure := answer.receiveHead(); failure != nil {
		return nil, nil, false
	}
	body, err := io.ReadAll(answer)
	return answer, body, err == nil
}

// FuzzAnswer: a success is the endpoint's own answer to this request, plain and stamped; and what looks whole when it
// is cut looks the same when it isn't.
func FuzzAnswer(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\n"
	f.Add([]byte(head+"Keep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody"), uint16(3))
	f.Add([]byte(head+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Attempt-Id: a2\r\n\r\n"), uint16(90))
	f.Add([]byte(strings.Replace(head, "a1", "a2", 1)+"Content-Length: 1\r\n\r\nx"+head+"Content-Length: 0\r\n\r\n"), uint16(70))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nX-Not-Delivered: full\r\nContent-Length: 0\r\n\r\n"), uint16(30))
	f.Add([]byte("HTTP/1.0 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\n\r\nuntil the end"), uint16(60))
	f.Add([]byte(head+"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyb"), uint16(0))
	f.Fuzz(func(t *testing.T, said []byte, cut uint16) {
		answer, body, whole := heardOf(t, said)
		if answer != nil {
			checkAnswer(t, answer, body, whole)
		}
		if int(cut) >= len(said) {
			return
		}
		early, part, looksWhole := heardOf(t, said[:cut])
		if early == nil || !looksWhole || early.Length < 0 && len(early.httpResponse.TransferEncoding) == 0 {
			return // a body that only the end of the connection ends can't be told from one that was cut
		}
		require.NotNil(t, answer, "whole when it is cut, no answer when it is not")
		assert.Equal(t, early.Status, answer.Status)
		assert.Equal(t, part, body)
		assert.True(t, whole)
	})
}

func checkAnswer(t *testing.T, answer *Response, body []byte, whole bool) {
	assert.GreaterOrEqual(t, answer.Status, 200)
	assert.LessOrEqual(t, answer.Status, 599)
	assert.GreaterOrEqual(t, int64(answer.idleTimeout), int64(0))
	assert.LessOrEqual(t, answer.idleTimeout, 24*time.Hour, "longer than any process keeps a connection")
	if answer.Outcome != attempt.Succeeded {
		return
	}
	assert.Equal(t, "a1", answer.Header.Get(headerAttempt))
	assert.False(t, ImpliesNotRun(answer.Status))
	assert.True(t, isIdentity(answer.Header.Get("Content-Encoding")))
	if answer.Status < 300 {
		assert.NotEmpty(t, answer.Header.Get(headerStamp))
	}
	if whole && answer.Length >= 0 {
		assert.Len(t, body, int(answer.Length))
	}
}

// FuzzIdleTime: however long an endpoint says that it keeps a connection, the time is none that can't be added.
func FuzzIdleTime(f *testing.F) {
	for _, said := range []string{"timeout=5", "timeout=5, max=3", "max=1,TIMEOUT=0", "timeout=-1", "timeout=9223372036854775807",
		"timeout=99999999999", "timeout="} {
		f.Add(said)
	}
	f.Fuzz(func(t *testing.T, said string) {
		idle := parseIdleTimeout(http.Header{"Keep-Alive": {said}})
		assert.GreaterOrEqual(t, int64(idle), int64(0))
		assert.LessOrEqual(t, idle, 24*time.Hour)
	})
}
