package upstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

// Guards against two callers: where the right to call ends before a call's first byte or between its first
// and last, the destination never has it whole, and that is no failure of the destination.
func TestCallWhoseLeaseEndsBeforeItsLastByteIsNotMade(t *testing.T) {
	for _, looks := range []int{0, 1} {
		whole := make(chan bool, 1)
		s, send, ends := at(script(t, func(c net.Conn, in *bufio.Reader) {
			_, err := http.ReadRequest(in)
			whole <- err == nil
			_ = c.Close()
		}))
		n := 0
		s.MayCall = func(api.DestinationID) bool { n++; return n <= looks }
		send(api.Second)
		assert.Equal(t, api.NotSent, (<-ends).what, "after %d looks", looks)
		s.Close()
		assert.False(t, <-whole)
	}
}
