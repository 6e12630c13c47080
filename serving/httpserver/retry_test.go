package httpserver

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/test/fake/scriptedendpoint"
)

// TestForward_ResendUsesNewConnection: the endpoint's rejection arrives a second time, late, on the connection of the
// first attempt, while the second attempt runs. The client must not get the response that nothing has run.
func TestForward_ResendUsesNewConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
	var connections atomic.Int64
	r := newTestProxy(t, func(p *scriptedendpoint.Conn) {
		first := connections.Add(1) == 1
		for p.ReadRequest() != nil {
			if first {
				p.WriteText(refusal)
			} else {
				p.WriteText("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
	r.picker.reuseEndpoints = true
	got := r.do(r.request("/once/", ""))
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "ok", got.body)
}
