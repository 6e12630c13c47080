package upstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

// Guards against two dispatchers calling a destination at once: if the lease ends before a call's first byte, or
// between its first and last byte, the destination never receives a complete request, and that is not counted as its
// failure.
func TestCallWhoseLeaseEndsBeforeItsLastByteIsNotMade(t *testing.T) {
	for _, allowedChecks := range []int{0, 1} {
		complete := make(chan bool, 1)
		client := startClient(serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
			_, err := http.ReadRequest(reader)
			complete <- err == nil
			_ = conn.Close()
		}))
		checks := 0
		client.MayCall = func(api.DestinationID) bool {
			checks++
			return checks <= allowedChecks
		}
		assert.Equal(t, api.NotSent, client.call(api.Second).outcome, "after %d checks", allowedChecks)
		client.Close()
		assert.False(t, <-complete)
	}
}
