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

// Guards against a port that another process gets between two listeners, and against a cut that is a refusal.
func TestPort_RefusesHangsAndListens(t *testing.T) {
	p, err := portalloc.Reserve()
	require.NoError(t, err)
	defer p.Close()
	for range 3 {
		_, err = net.Dial("tcp", p.Addr)
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
		l, err := p.Listen()
		require.NoError(t, err)
		c, err := net.Dial("tcp", p.Addr)
		require.NoError(t, err)
		c.Close()
		_, err = p.Listen()
		assert.Error(t, err, "another listener stands there")
		l.Close()
		require.NoError(t, p.Hang())
		_, err = net.DialTimeout("tcp", p.Addr, 200*time.Millisecond)
		assert.True(t, os.IsTimeout(err), err)
		p.Refuse()
	}
}
