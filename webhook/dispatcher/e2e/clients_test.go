package e2e_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestBadInputIsAnsweredAndHarmsNothing(t *testing.T) {
	w := begin(t, "token")
	w.answers(func(_ int, rw http.ResponseWriter, _ string) { hang(rw) })
	for _, extra := range [][]string{{"Request-Id", ""}, {"Request-Id", "a b"},
		{"Request-Id", strings.Repeat("x", 200)},
		{"Request-Class", "other"}, {"Request-Class", ""},
		{"Request-Timeout-Ms", "soon"}, {"Request-Timeout-Ms", "-5"}, {"Request-Timeout-Ms", "2000000000"},
		{"X-Route-To", "dest=4294967296"}, {"X-Route-To", "7"}, {"X-Route-To", ""}, {"Idempotency-Key", ""}} {
		assert.Equal(t, 400, w.hand("a1", "x", extra...).StatusCode, extra)
	}
	said := make([]byte, len("HTTP/1.1 413"))
	_, err := io.ReadFull(w.raw("a1", "Content-Length: 65537\r\n\r\n"), said)
	assert.Equal(t, "HTTP/1.1 413 <nil>", fmt.Sprint(string(said), " ", err), "from its head")
	assert.Equal(t, 202, w.hand("a1", "x").StatusCode)
	assert.Equal(t, 409, w.hand("a1", "x").StatusCode, "held already")
	assert.Equal(t, 503, w.hand("a2", "x", "X-Route-To", "dest=4").StatusCode, "no list has named it")
	w.kill()
	lines := strings.Count(w.out.String(), "\n")
	assert.Less(t, lines, 12, "a flood is not to fill the log")
}

// Guards against a webhook whose end can be read two ways: passed on, it may hide another.
func TestDoubtfulFramingIsRefusedAndItsConnectionClosed(t *testing.T) {
	w := begin(t, "token")
	for i, rest := range []string{"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", "Content-Length: -4\r\n\r\nx",
		"Content-Length: 99999999999999999999\r\n\r\nx", "Content-Length: 1, 1\r\n\r\nx",
		"Transfer-Encoding: identity\r\nContent-Length: 1\r\n\r\nx", "Transfer-Encoding: gzip\r\n\r\nx",
		"Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", "nonsense\r\n\r\n",
		"Content-Length: 1\r\n\r\nxxx", "Content-Length : 1\r\n\r\nx", "\r\nx",
		"Request-Id: b\r\nContent-Length: 1\r\n\r\nx", "Content-Length: 60000000\r\n\r\n",
		"X-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n"} {
		c := w.raw(fmt.Sprint("a", i), rest)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second/2)))
		said, err := io.ReadAll(c)
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, rest[:min(60, len(rest))])
		assert.NotContains(t, string(said), "HTTP/1.1 20", rest[:min(60, len(rest))])
	}
	w.hand("z", "x")
	w.soon("called", w.called(1))
	assert.Equal(t, "z", w.seen()[0].id)
	assert.Len(t, w.seen(), 1)
}

// Guards against a crowd that asks once and stays: it would put out the connections that are used again.
func TestCrowdThatAsksOnceAndStaysLeavesUsualConnectionsAlone(t *testing.T) {
	w := begin(t, "token")
	usual := w.raw("u0", "Content-Length: 1\r\n\r\nx")
	in := bufio.NewReader(usual)
	answered := func() {
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		io.Copy(io.Discard, resp.Body)
		assert.Equal(t, 202, resp.StatusCode)
	}
	answered()
	var held []net.Conn
	stay := func(held []net.Conn) {
		open := 0
		for _, c := range held {
			require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)))
			if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
				open++
			}
		}
		assert.LessOrEqual(t, open, 1024/6, "those idle leave places to others")
	}
	for i := range 700 { // more than there are places
		c, err := net.Dial("tcp", w.listen)
		require.NoError(t, err)
		defer c.Close()
		held = append(held, c)
		fmt.Fprint(c, "GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n")
		io.ReadFull(c, make([]byte, 12))
		if i == 399 {
			stay(held)
		}
		if i%200 == 100 {
			fmt.Fprintf(usual, usualHead, fmt.Sprint("u", i), "Content-Length: 1\r\n\r\nx")
			answered()
		}
	}
}

// Guards against silence, half heads and idle connections that keep usual clients out.
func TestThoseWhoSayNothingKeepNobodyOut(t *testing.T) {
	w := begin(t, "token")
	var held []net.Conn
	for i := range 1000 { // more than twice the places
		c, err := net.Dial("tcp", w.listen)
		require.NoError(t, err)
		held = append(held, c)
		fmt.Fprint(c, []string{"", "POST /api HTTP/1.1\r\n", "GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"}[i%3])
		if i%100 == 99 {
			began := time.Now()
			assert.Equal(t, 202, w.hand(fmt.Sprint("a", i), "x").StatusCode)
			assert.Less(t, time.Since(began), 400*time.Millisecond)
		}
	}
	until := time.Now().Add(3 * time.Second)
	for i, c := range held {
		require.NoError(t, c.SetReadDeadline(until))
		_, err := io.ReadAll(c)
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, i)
		c.Close()
	}
}

func TestWebhookWhoseClientHasGoneIsNotTakenOn(t *testing.T) {
	w := begin(t, "token")
	w.stop()
	c := w.raw("a1", "Content-Length: 1\r\n\r\nx")
	c.Close() // and goes elsewhere
	require.NoError(t, w.process.Process.Signal(syscall.SIGCONT))
	assert.Equal(t, 202, w.hand("a2", "x").StatusCode)
	w.soon("called", w.called(1))
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, []got{{"/events", "a2", "ka2", "x"}}, w.seen())
}
