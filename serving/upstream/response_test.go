package upstream

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/test/fake/scriptedendpoint"
)

// TestResponse_BrokenAfterEachByte breaks a response off after each of its bytes except the last one. The outcome is
// Broken in every case.
func TestResponse_BrokenAfterEachByte(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"
	for name, text := range map[string]string{"length": okResponse, "chunked": chunked} {
		for length := range len(text) {
			for _, reset := range []bool{false, true} {
				endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
					conn.ReadRequest()
					conn.WriteText(text[:length])
					if reset {
						conn.Reset()
					}
				})
				_, _, failure := doCall(t, New(testOptions), newCall(endpoint.Address()))
				if assert.NotNil(t, failure, "%s, %d bytes", name, length) {
					assert.Equal(t, attempt.Broken, failure.Outcome, "%s, %d bytes", name, length)
				}
			}
		}
	}
}

func TestResponse_Invalid(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\n"
	for name, sent := range map[string]string{
		"garbage":            "\x00\x01garbage\r\n\r\n",
		"endless head":       head + strings.Repeat("X-A: "+strings.Repeat("b", 1000)+"\r\n", 100),
		"two lengths":        head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyb",
		"bad chunk":          head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n",
		"no stamp":           "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\nbody",
		"foreign only":       "HTTP/1.1 200 OK\r\nX-Attempt-Id: a2\r\nX-Postmark: s\r\nContent-Length: 4\r\n\r\nbody",
		"foreign, no length": "HTTP/1.1 200 OK\r\nX-Attempt-Id: a2\r\nX-Postmark: s\r\n\r\nbody",
		"gzip":               head + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
		"protocol change":    "HTTP/1.1 101 Switching\r\nX-Attempt-Id: a1\r\n\r\n",
		"interim only":       strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20),
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
				conn.ReadRequest()
				conn.WriteText(sent)
			})
			pool := New(testOptions)
			_, _, failure := doCall(t, pool, newCall(endpoint.Address()))
			require.NotNil(t, failure)
			assert.Equal(t, attempt.Broken, failure.Outcome)
			assert.Zero(t, pool.OpenConnections())
		})
	}
}

func TestResponse_InterimIsSkipped(t *testing.T) {
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
		for conn.ReadRequest() != nil {
			conn.WriteText("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + okResponse)
		}
	})
	_, body, failure := doCall(t, New(testOptions), newCall(endpoint.Address()))
	require.Nil(t, failure)
	assert.Equal(t, "body", body)
}

// TestResponse_WithoutLength: a response of unknown length ends with its connection. It is complete if the connection
// is closed, and broken if the connection is reset.
func TestResponse_WithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		read := make(chan struct{})
		endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
			conn.ReadRequest()
			conn.WriteText("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\n\r\nbody")
			if reset {
				<-read // data that was not read before a reset may be lost
				conn.Reset()
			}
		})
		response, failure := New(testOptions).Do(context.Background(), newCall(endpoint.Address()))
		require.Nil(t, failure)
		first := make([]byte, 4)
		_, err := io.ReadFull(response, first)
		require.NoError(t, err)
		close(read)
		_, err = response.Read(first)
		if reset {
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, attempt.Broken, failure.Outcome)
		} else {
			assert.ErrorIs(t, err, io.EOF)
		}
		response.Close()
	}
}
