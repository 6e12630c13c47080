package httpserver

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/test/fake/scriptedendpoint"
)

// TestForward_ResendUsesNewConnection: a faulty endpoint may repeat its rejection of the first attempt late, while it
// runs the second attempt. On the connection of the first attempt, that rejection could be taken for the response to
// the second one, and the client would be told that the request has not run.
func TestForward_ResendUsesNewConnection(t *testing.T) {
	const rejection = "HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
	var connections atomic.Int64
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		first := connections.Add(1) == 1
		for conn.ReadRequest() != nil {
			if first {
				conn.WriteText(rejection)
			} else {
				conn.WriteText("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
	proxy.picker.reuseEndpoints = true
	got := proxy.do(proxy.request("/once/", ""))
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "ok", got.body)
}
