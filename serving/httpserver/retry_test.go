package httpserver

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRequestGoesBackOnANewConnection: the endpoint's refusal comes a second time, late, on the connection of the first
// attempt, while the second attempt runs. The client must not be promised that nothing has run.
func TestRequestGoesBackOnANewConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
	var connections atomic.Int64
	r := newRig(t, func(p *peer) {
		first := connections.Add(1) == 1
		for p.request() != nil {
			if first {
				p.say(refusal)
			} else {
				p.say("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
	r.placer.returning = true
	got := r.do(r.request("/once/", ""))
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "ok", got.body)
}
