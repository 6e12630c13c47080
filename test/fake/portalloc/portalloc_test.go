package portalloc_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/portalloc"
)

// dial connects to an address, and returns the error of it within a time.
func dial(t *testing.T, addr string, timeout time.Duration) error {
	t.Helper()
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(t.Context(), "tcp", addr)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

func TestPort_RefusesHangsAndListens(t *testing.T) {
	p, err := portalloc.Reserve()
	require.NoError(t, err)
	defer func() { assert.NoError(t, p.Close()) }()
	for range 3 {
		assert.ErrorIs(t, dial(t, p.Addr, 0), syscall.ECONNREFUSED)
		l, err := p.Listen()
		require.NoError(t, err)
		require.NoError(t, dial(t, p.Addr, 0))
		_, err = p.Listen()
		assert.Error(t, err, "there is a listener already")
		require.NoError(t, l.Close())
		require.NoError(t, p.Hang())
		err = dial(t, p.Addr, 200*time.Millisecond)
		assert.True(t, os.IsTimeout(err), err)
		p.Refuse()
	}
}
