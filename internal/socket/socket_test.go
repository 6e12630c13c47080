package socket

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestUnacknowledged: what a peer does not read still reaches its machine, which acknowledges it.
func TestUnacknowledged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	assert.False(t, HasUnacknowledged(c), "nothing was sent")
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Write(make([]byte, 64<<20))
	require.Error(t, err, "more than both buffers hold")
	assert.Eventually(t, func() bool { return !HasUnacknowledged(c) }, time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	assert.False(t, HasUnacknowledged(c), "closed")
	one, other := net.Pipe()
	defer one.Close()
	defer other.Close()
	assert.False(t, HasUnacknowledged(one), "no socket")
}
