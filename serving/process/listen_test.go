package process

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func TestListen_KeepAliveWithoutMultipath(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	connection := accepted.(*net.TCPConn)
	multipath, err := connection.MultipathTCP()
	require.NoError(t, err)
	assert.False(t, multipath)
	raw, err := connection.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		option := func(level, name int) int {
			value, err := unix.GetsockoptInt(int(descriptor), level, name)
			assert.NoError(t, err)
			return value
		}
		assert.NotZero(t, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
		assert.Equal(t, int(keepAliveIdle.Seconds()), option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
		assert.Equal(t, int(keepAliveInterval.Seconds()), option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
		assert.Equal(t, keepAliveProbes, option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
		protocol := option(unix.SOL_SOCKET, unix.SO_PROTOCOL)
		assert.Equal(t, syscall.IPPROTO_TCP, protocol, "the listener's own protocol")
	}))
}
