package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/socket"
)

// kept is a client's connection that is used again, one request at a time.
type kept struct {
	net.Conn
	in *bufio.Reader
}

func (w *world) keep() (*kept, error) {
	c, err := net.Dial("tcp", w.listen)
	if err != nil {
		return nil, err
	}
	w.t.Cleanup(func() { c.Close() })
	return &kept{c, bufio.NewReader(c)}, nil
}

// ask writes a webhook to its last byte and waits for the answer.
func (k *kept) ask(id string) (*http.Response, error) {
	if _, err := fmt.Fprintf(k, usualHead, id, "Content-Length: 1\r\n\r\nx"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(k.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return resp, err
}

// tally counts what came of requests.
type tally struct {
	mu                   sync.Mutex
	asked, crossed, lost int
	answers              map[int]int
	open                 int // answers after which the connection was to be used again
}

func (y *tally) add(count func()) {
	y.mu.Lock()
	defer y.mu.Unlock()
	count()
}

// asks sends a webhook on a connection that is still open, as clients do: one that crosses the connection's
// end is sent once more on a new one. Where that one gets no answer either, it is lost.
func (y *tally) asks(w *world, k *kept, id string) {
	if _, ended := socket.Inspect(k.Conn); ended {
		return // closed between requests
	}
	y.add(func() { y.asked++ })
	resp, err := k.ask(id)
	if err != nil {
		y.add(func() { y.crossed++ })
		if k, err = w.keep(); err == nil {
			resp, err = k.ask(id)
		}
	}
	y.add(func() {
		if err != nil {
			y.lost++
			return
		}
		if y.answers[resp.StatusCode]++; !resp.Close {
			y.open++
		}
	})
}

func (w *world) metrics() string {
	resp, err := http.Get("http://" + w.listen + "/metrics")
	require.NoError(w.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(w.t, err)
	return string(text)
}

// still has the process stand still for a span, as one does that gets a part of a core.
func (w *world) still(span time.Duration) {
	assert.NoError(w.t, w.process.Process.Signal(syscall.SIGSTOP))
	time.Sleep(span)
	assert.NoError(w.t, w.process.Process.Signal(syscall.SIGCONT))
}

// Guards against an end while clients still have connections: what they had sent until then was lost.
func TestAfterSIGTERMEachRequestOnAnOpenConnectionIsAnswered(t *testing.T) {
	w := begin(t, "token")
	var held []*kept
	for i := range 140 { // fewer than may be idle
		k, err := w.keep()
		require.NoError(t, err)
		_, err = k.ask(fmt.Sprint("before", i))
		require.NoError(t, err)
		held = append(held, k)
	}
	w.soon("nothing is held", func() bool {
		return strings.Contains(w.metrics(), "rowanlink_attempts_delivered_total 140\n")
	})
	y, all := &tally{answers: map[int]int{}}, sync.WaitGroup{}
	require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
	told := time.Now()
	for i, k := range held {
		all.Go(func() {
			time.Sleep(time.Until(told.Add(time.Duration(400+i*10) * time.Millisecond)))
			y.asks(w, k, fmt.Sprint("kept", i))
		})
	}
	for i := range 5 { // new ones keep coming
		all.Go(func() {
			time.Sleep(time.Until(told.Add(time.Duration(20+i*50) * time.Millisecond)))
			if k, err := w.keep(); assert.NoError(t, err) {
				y.asks(w, k, fmt.Sprint("new", i))
			}
		})
	}
	time.Sleep(450 * time.Millisecond) // shortly before all that is held is done
	w.still(200 * time.Millisecond)
	all.Wait()
	assert.NoError(t, w.process.Wait())
	t.Logf("asked %d, crossed %d, lost %d, answers %v", y.asked, y.crossed, y.lost, y.answers)
	assert.Zero(t, y.lost, "the last byte was written, and no answer came")
	assert.Zero(t, y.open, "each answer says that the connection ends")
	assert.Equal(t, y.asked, y.answers[202]+y.answers[503], "taken on or refused, nothing else")
	assert.Greater(t, y.answers[503], 60, "those with a connection are answered to the end")
}

// Guards against an idle connection's end over a request that has come but was not read yet.
func TestIdleConnectionIsNotEndedOverARequestThatHasCome(t *testing.T) {
	w := begin(t, "token")
	var held []*kept
	for i := range 30 {
		k, err := w.keep()
		require.NoError(t, err)
		_, err = k.ask(fmt.Sprint("before", i))
		require.NoError(t, err)
		held = append(held, k)
	}
	time.Sleep(1700 * time.Millisecond) // they may be closed after 2 s
	y, all := &tally{answers: map[int]int{}}, sync.WaitGroup{}
	for i, k := range held {
		all.Go(func() {
			time.Sleep(50 * time.Millisecond)
			y.asks(w, k, fmt.Sprint("again", i))
		})
	}
	w.still(500 * time.Millisecond)
	all.Wait()
	t.Logf("asked %d, crossed %d, lost %d, answers %v", y.asked, y.crossed, y.lost, y.answers)
	assert.NotZero(t, y.asked, "on a busy machine some were closed before their time to ask")
	assert.Zero(t, y.crossed+y.lost)
}
