package harness

import (
	"bufio"
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

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 100 * time.Millisecond
)

// echoMember is a member "b" that answers each line with itself, and the link that member "a" has to it.
type echoMember struct {
	t        *testing.T
	network  *Network
	linkAddr string
	received chan string // lines
}

func startEcho(t *testing.T) *echoMember {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &echoMember{t: t, network: newNetwork(), received: make(chan string, 99)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	t.Cleanup(e.network.close)
	e.linkAddr, err = e.network.addLink("a", "b", listener.Addr().String())
	require.NoError(t, err)
	return e
}

func (e *echoMember) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		e.received <- lines.Text()
		_, _ = fmt.Fprintln(conn, lines.Text()) // the tests break connections
	}
}

// tryDial connects to the link; 0 is no time-out.
func (e *echoMember) tryDial(timeout time.Duration) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(e.t.Context(), "tcp", e.linkAddr)
	if err == nil {
		e.t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

func (e *echoMember) dial() net.Conn {
	e.t.Helper()
	conn, err := e.tryDial(0)
	require.NoError(e.t, err)
	return conn
}

func (e *echoMember) send(conn net.Conn, line string) {
	e.t.Helper()
	_, err := fmt.Fprintln(conn, line)
	require.NoError(e.t, err)
}

// readReply reads n bytes within a time, and returns those that came.
func (e *echoMember) readReply(conn net.Conn, n int, timeout time.Duration) (string, error) {
	e.t.Helper()
	require.NoError(e.t, conn.SetReadDeadline(time.Now().Add(timeout)))
	reply := make([]byte, n)
	got, err := io.ReadFull(conn, reply)
	return string(reply[:got]), err
}

func TestNetwork_PartitionHoldsDataAndHeals(t *testing.T) {
	e := startEcho(t)
	conn := e.dial()
	e.send(conn, "one")
	reply, err := e.readReply(conn, 4, longTimeout)
	require.NoError(t, err)
	assert.Equal(t, "one\n", reply)
	e.network.SetFaultBetween("a", "b", Partition)
	e.send(conn, "two")
	_, err = e.readReply(conn, 1, shortTimeout)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection doesn't end")
	_, err = e.tryDial(shortTimeout)
	assert.True(t, os.IsTimeout(err), err)
	assert.Len(t, e.received, 1)
	e.network.Heal()
	reply, err = e.readReply(conn, 4, longTimeout)
	require.NoError(t, err)
	assert.Equal(t, "two\n", reply)
	e.dial()
}

func TestNetwork_OneWayPartition(t *testing.T) {
	e := startEcho(t)
	e.network.SetFault("b", "a", OneWayPartition)
	conn := e.dial()
	e.send(conn, "one")
	assert.Equal(t, "one", <-e.received)
	_, err := e.readReply(conn, 1, shortTimeout)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	e.network.Heal()
	reply, err := e.readReply(conn, 4, longTimeout)
	require.NoError(t, err)
	assert.Equal(t, "one\n", reply)
	e.network.SetFault("a", "b", OneWayPartition)
	e.send(conn, "two")
	select {
	case line := <-e.received:
		assert.Fail(t, "it arrived", line)
	case <-time.After(shortTimeout):
	}
}

func TestNetwork_RefusedAndDown(t *testing.T) {
	e := startEcho(t)
	conn := e.dial()
	e.send(conn, "one")
	_, err := e.readReply(conn, 4, longTimeout)
	require.NoError(t, err)
	e.network.SetFault("a", "b", Refused)
	_, err = e.readReply(conn, 1, longTimeout)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = e.tryDial(0)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	e.network.Heal()
	e.dial()
	e.network.setDown("b", true)
	_, err = e.tryDial(0)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	e.network.SetFaultBetween("a", "b", Partition)
	_, err = e.tryDial(shortTimeout)
	assert.True(t, os.IsTimeout(err), "a member that is down behind a partition refuses nothing")
	e.network.setDown("b", false)
	e.network.Heal()
	e.dial()
}

// Times are compared only with what the faults take at the least.
func TestNetwork_DelayedThrottledAndReset(t *testing.T) {
	e := startEcho(t)
	conn := e.dial()
	startedAt := time.Now()
	e.network.SetFault("a", "b", Delayed(2*shortTimeout))
	e.send(conn, "late")
	assert.Equal(t, "late", <-e.received)
	assert.GreaterOrEqual(t, time.Since(startedAt), 2*shortTimeout)
	e.network.SetFault("a", "b", Throttled(500))
	startedAt = time.Now()
	e.send(conn, strings.Repeat("x", 99))
	<-e.received
	assert.GreaterOrEqual(t, time.Since(startedAt), shortTimeout)
	_, err := e.readReply(conn, 5+100, longTimeout)
	require.NoError(t, err)
	e.network.SetFault("b", "a", ResetAfterBytes(7))
	e.network.SetFault("a", "b", Fault{})
	e.send(conn, "halfway")
	assert.Equal(t, "halfway", <-e.received, "the request arrives")
	reply, err := e.readReply(conn, 8, longTimeout)
	assert.LessOrEqual(t, len(reply), 7)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	e.network.Isolate(Partition, "a")
	_, err = e.tryDial(shortTimeout)
	assert.True(t, os.IsTimeout(err), err)
}
