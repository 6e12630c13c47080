package discovery

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

const brief = api.Second / 5 // a watch's line period, where a story waits for a silence

func silent(r *http.Request) { <-r.Context().Done() }

func TestIdleWatchIsReopenedFromTheLastList(t *testing.T) {
	d := startRegistry(t, func(n int, w http.ResponseWriter, r *http.Request) {
		writeChunks(w, list(n))
		silent(r)
	})
	f := follow(d.addr, brief)
	f.requireLists(t, 1, 2, 3)
	assert.Equal(t, []string{"0", "1", "2"}, d.recorded()[:3])
}

// An object that stops half-way is a silence too, and told.
func TestListThatStopsHalfWayTimesOut(t *testing.T) {
	d := startRegistry(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if writeChunks(w, list(n)[:20*n]); n > 1 {
			writeChunks(w, list(n)[20*n:])
		}
		silent(r)
	})
	f := follow(d.addr, brief)
	assert.Eventually(t, func() bool { return len(f.receivedLists()) > 0 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, "0", d.recorded()[1])
	assert.EqualValues(t, 1, f.malformed.Load())
}

func TestUnansweredRequestIsRepeated(t *testing.T) {
	d := startRegistry(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if n < 4 {
			silent(r) // not even a head
		}
		writeChunks(w, list(n))
		silent(r)
	})
	follow(d.addr, brief).requireLists(t, 4)
}

// hangingAddress returns an address whose connections never come up: its backlog is full.
func hangingAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, syscall.Close(fd)) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	at, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	for range 16 {
		c, err := (&net.Dialer{Timeout: time.Second / 5}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = c.Close() }) // it may never have come up
	}
	t.Skip("connections are never left hanging here")
	return ""
}

func TestAddressChangeEndsAHangingConnectAndAWatch(t *testing.T) {
	answer := func(n int, w http.ResponseWriter, r *http.Request) { writeChunks(w, list(7)); silent(r) }
	first, second := startRegistry(t, answer), startRegistry(t, answer)
	f := follow(hangingAddress(t), 1000*api.Second)
	time.Sleep(time.Second / 20)
	f.SetAddress(first.addr)
	f.requireLists(t, 7)
	f.SetAddress(second.addr)
	f.requireLists(t, 7, 7)
	assert.Equal(t, "0", first.recorded()[0])
	assert.Equal(t, "7", second.recorded()[0])
}

// A new process sends by its kept list until this: not before the first list, and not never.
func TestFirstListIsWaitedForButNotAnUnresponsiveAgent(t *testing.T) {
	for what, c := range map[string]struct {
		answer func(n int, w http.ResponseWriter, r *http.Request)
		period api.Micros
		heard  []int
	}{
		"answered": {func(n int, w http.ResponseWriter, r *http.Request) { writeChunks(w, list(1)); silent(r) },
			1000 * api.Second, []int{1}},
		"refused": {func(_ int, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
			1000 * api.Second, []int{}},
		"silent": {func(_ int, _ http.ResponseWriter, r *http.Request) { silent(r) }, brief, []int{}},
		"a head and nothing": {func(_ int, w http.ResponseWriter, r *http.Request) { writeChunks(w, ""); silent(r) },
			10 * api.Second, []int{}},
	} {
		f := follow(startRegistry(t, c.answer).addr, c.period)
		require.Eventually(t, func() bool { return f.readyCalls() != nil }, 10*time.Second, time.Millisecond, what)
		time.Sleep(time.Second / 20)
		assert.Equal(t, [][]int{c.heard}, f.readyCalls(), "%s: once, and the list goes first", what)
	}
}
