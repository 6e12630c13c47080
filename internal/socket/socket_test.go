package socket

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestHasUnacknowledged checks that data that the peer doesn't read counts as acknowledged once the peer's TCP stack
// has received it.
func TestHasUnacknowledged(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	assert.False(t, HasUnacknowledged(c), "nothing was sent")
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Write(make([]byte, 64<<20))
	require.Error(t, err, "the data exceeds the send and receive buffers")
	assert.Eventually(t, func() bool { return !HasUnacknowledged(c) }, time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	assert.False(t, HasUnacknowledged(c), "closed")
	one, other := net.Pipe()
	t.Cleanup(func() {
		_ = one.Close()
		_ = other.Close()
	})
	assert.False(t, HasUnacknowledged(one), "not a socket")
}
