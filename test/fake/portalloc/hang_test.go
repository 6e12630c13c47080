package portalloc

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestHangingListener_QueueFilledByOthers guards against a wait of minutes, and then a failure, where a process under
// test connects before the filler does.
func TestHangingListener_QueueFilledByOthers(t *testing.T) {
	p, err := Reserve()
	require.NoError(t, err)
	defer func() { assert.NoError(t, p.Close()) }()
	require.NoError(t, unix.Listen(p.fd, 0))
	other, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.Addr)
	require.NoError(t, err)
	defer func() { _ = other.Close() }()
	h := &hangingListener{}
	require.NoError(t, h.fill(p.Addr))
	assert.Nil(t, h.filler)
}
