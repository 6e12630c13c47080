package harness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startEcho is a member that answers each line with itself, and a link that another has to it.
func startEcho(t *testing.T) (n *Network, addr string, heard chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	heard = make(chan string, 99)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewScanner(c); in.Scan(); {
					heard <- in.Text()
					fmt.Fprintln(c, in.Text())
				}
			}()
		}
	}()
	n = newNetwork()
	t.Cleanup(n.close)
	addr, err = n.addLink("a", "b", l.Addr().String())
	require.NoError(t, err)
	return n, addr, heard
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// readReply is what comes back within a while.
func readReply(c net.Conn, n int, within time.Duration) (string, error) {
	c.SetReadDeadline(time.Now().Add(within))
	b := make([]byte, n)
	got, err := io.ReadFull(c, b)
	return string(b[:got]), err
}

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 100 * time.Millisecond
)

func TestNetwork_PartitionHoldsDataAndHeals(t *testing.T) {
	n, addr, heard := startEcho(t)
	c := dial(t, addr)
	fmt.Fprintln(c, "one")
	said, err := readReply(c, 4, longTimeout)
	require.NoError(t, err)
	assert.Equal(t, "one\n", said)
	n.SetFaultBetween("a", "b", Partition)
	fmt.Fprintln(c, "two")
	_, err = readReply(c, 1, shortTimeout)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "silence, no end")
	_, err = net.DialTimeout("tcp", addr, shortTimeout)
	assert.True(t, os.IsTimeout(err), err)
	assert.Len(t, heard, 1)
	n.Heal()
	said, err = readReply(c, 4, longTimeout)
	assert.Equal(t, "two\n <nil>", fmt.Sprint(said, " ", err))
	dial(t, addr)
}

func TestNetwork_OneWayPartition(t *testing.T) {
	n, addr, heard := startEcho(t)
	n.SetFault("b", "a", OneWayPartition)
	c := dial(t, addr)
	fmt.Fprintln(c, "one")
	assert.Equal(t, "one", <-heard)
	_, err := readReply(c, 1, shortTimeout)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.Heal()
	said, _ := readReply(c, 4, longTimeout)
	assert.Equal(t, "one\n", said)
	n.SetFault("a", "b", OneWayPartition)
	fmt.Fprintln(c, "two")
	select {
	case what := <-heard:
		assert.Fail(t, "it came", what)
	case <-time.After(shortTimeout):
	}
}

func TestNetwork_RefusedAndDown(t *testing.T) {
	n, addr, _ := startEcho(t)
	c := dial(t, addr)
	fmt.Fprintln(c, "one")
	_, err := readReply(c, 4, longTimeout)
	require.NoError(t, err)
	n.SetFault("a", "b", Refused)
	_, err = readReply(c, 1, longTimeout)
	assert.True(t, errors.Is(err, syscall.ECONNRESET), err)
	_, err = net.Dial("tcp", addr)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	n.Heal()
	dial(t, addr)
	n.setDown("b", true)
	_, err = net.Dial("tcp", addr)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	n.SetFaultBetween("a", "b", Partition)
	_, err = net.DialTimeout("tcp", addr, shortTimeout)
	assert.True(t, os.IsTimeout(err), "who is gone behind a cut says nothing")
	n.setDown("b", false)
	n.Heal()
	dial(t, addr)
}

// Compared within the run: late and slow come after what is not.
func TestNetwork_DelayedThrottledAndReset(t *testing.T) {
	n, addr, heard := startEcho(t)
	c := dial(t, addr)
	began := time.Now()
	n.SetFault("a", "b", Delayed(2*shortTimeout))
	fmt.Fprintln(c, "late")
	assert.Equal(t, "late", <-heard)
	assert.GreaterOrEqual(t, time.Since(began), 2*shortTimeout)
	n.SetFault("a", "b", Throttled(500))
	began = time.Now()
	fmt.Fprintln(c, strings.Repeat("x", 99))
	<-heard
	assert.GreaterOrEqual(t, time.Since(began), shortTimeout)
	_, err := readReply(c, 5+100, longTimeout)
	require.NoError(t, err)
	n.SetFault("b", "a", ResetAfterBytes(7))
	n.SetFault("a", "b", Fault{})
	fmt.Fprintln(c, "halfway")
	assert.Equal(t, "halfway", <-heard, "it arrived")
	said, err := readReply(c, 8, longTimeout)
	assert.LessOrEqual(t, len(said), 7)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	n.Isolate(Partition, "a")
	_, err = net.DialTimeout("tcp", addr, shortTimeout)
	assert.True(t, os.IsTimeout(err), err)
}
