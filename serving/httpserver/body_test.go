package httpserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
)

func TestReadBody_ReleasesMemoryOnError(t *testing.T) {
	const limit = 200 << 10
	const unknownLength = -1
	tests := map[string]struct {
		body          io.Reader
		contentLength int64
		isWanted      func(error) bool
	}{
		"client disconnects": {
			body:          iotest.ErrReader(io.ErrUnexpectedEOF),
			contentLength: limit,
			isWanted:      func(err error) bool { return errors.Is(err, errClientDisconnected) },
		},
		"body is late": {
			body:          iotest.ErrReader(os.ErrDeadlineExceeded),
			contentLength: limit,
			isWanted:      errcode.BodyTimeout.Is,
		},
		"chunked body is too large": {
			body:          strings.NewReader(strings.Repeat("x", limit+1)),
			contentLength: unknownLength,
			isWanted:      errcode.BodyTooLarge.Is,
		},
		"announced body is too large": {
			body:          strings.NewReader(""),
			contentLength: limit + 1,
			isWanted:      errcode.BodyTooLarge.Is,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			memory := bodyMemory{limit: 1 << 20}
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", test.body)
			request.ContentLength = test.contentLength
			_, err := readBody(request, limit, &memory)
			assert.True(t, test.isWanted(err), "%v", err)
			assert.Zero(t, memory.reserved.Load())
		})
	}
}

func TestReadBody_RejectedReservationCountsNothing(t *testing.T) {
	const length = 200 << 10
	memory := bodyMemory{limit: length - 1}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(""))
	request.ContentLength = length
	_, err := readBody(request, length, &memory)
	assert.True(t, errcode.TooManyLargeBodies.Is(err), "%v", err)
	assert.Zero(t, memory.reserved.Load())
}

// TestServeHTTP_ReleasesBodyMemory checks that no body memory stays reserved after a large body that arrives in time or
// late, with a matching route or without one.
func TestServeHTTP_ReleasesBodyMemory(t *testing.T) {
	const head = " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a1\r\nX-Time-Left: "
	completeBody := strings.Repeat("x", 90_000)
	tests := map[string]struct {
		path       string
		timeLeft   string // in milliseconds
		body       string
		wantStatus int
	}{
		"forwarded":           {path: "/once/x", timeLeft: "5000", body: completeBody, wantStatus: http.StatusOK},
		"late body":           {path: "/once/x", timeLeft: "20", body: "ab", wantStatus: http.StatusRequestTimeout},
		"no route":            {path: "/nowhere/x", timeLeft: "5000", body: completeBody, wantStatus: http.StatusNotFound},
		"no route, late body": {path: "/nowhere/x", timeLeft: "20", body: "ab", wantStatus: http.StatusRequestTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			proxy := newTestProxy(t, respondWith(okResponse))
			client := proxy.dial()
			client.send("POST " + test.path + head + test.timeLeft + "\r\nContent-Length: 90000\r\n\r\n" + test.body)
			require.Equal(t, test.wantStatus, client.receive().StatusCode)
			assert.Eventually(t, func() bool { return proxy.server.bodyMemory.reserved.Load() == 0 },
				testConnectTimeout, minPickDelay)
		})
	}
}
