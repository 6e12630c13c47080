package discovery

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
	"rowanlink/webhook/refresh"
)

// discovery is a stand-in: its n-th ask, from 1 on, is answered as the story says; it keeps what was asked.
type discovery struct {
	addr string
	mu   sync.Mutex
	asks []string // since which generation
}

func discover(t *testing.T, answer func(n int, w http.ResponseWriter, r *http.Request)) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &discovery{addr: l.Addr().String()}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.asks = append(d.asks, r.URL.Query().Get("since"))
		n := len(d.asks)
		d.mu.Unlock()
		answer(n, w, r)
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return d
}

func (d *discovery) asked() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.asks...)
}

// say writes parts of a watch, each in a chunk of its own.
func say(w http.ResponseWriter, texts ...string) {
	for _, text := range texts {
		fmt.Fprint(w, text)
		w.(http.Flusher).Flush()
	}
}

// list is one with a single endpoint, so that a story sees by its rate which one was heard.
func list(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1",`+
		`"cell":3,"lifecycle":"SERVING","weight":%d}]}`, generation, generation)
}

// follower follows and keeps which lists it heard.
type follower struct {
	*Client
	mu     sync.Mutex
	lists  []int
	broken atomic.Int64
	begun  [][]int // the lists heard before each time
}

// follow starts one whose lists are pushed.
func follow(addr string, period api.Micros) *follower {
	f := &follower{}
	f.Client = New(addr, config.Catalog{PushedLists: true}, refresh.New(1, period), 1000, api.Second,
		func(entries []api.EndpointEntry, _ []string, _ bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lists = append(f.lists, int(entries[0].Rate))
		}, func() { f.broken.Add(1) }, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.begun = append(f.begun, append([]int{}, f.lists...))
		})
	go f.Run()
	return f
}

func (f *follower) heardOf() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]int(nil), f.lists...)
}

func (f *follower) hasBegun() [][]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([][]int(nil), f.begun...)
}

func (f *follower) soon(t *testing.T, lists ...int) {
	t.Helper()
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual(lists, f.heardOf()) }, 10*time.Second,
		time.Millisecond, "lists %v", lists)
}

// counted waits next to nothing and counts what it was asked.
type counted struct {
	waits atomic.Int64
	*refresh.Scheduler
}

func (c *counted) Next(refresh.Reason, bool) refresh.Request {
	c.waits.Add(1)
	return refresh.Request{Delay: 1000, ConnectTimeout: api.Second, ResponseTimeout: api.Second, IdleTimeout: api.Second}
}

// Without a decision before each, also the first one, a fleet that starts or is moved asks in one moment.
func TestBeforeEachAskItIsDecidedWhen(t *testing.T) {
	waits := &counted{Scheduler: refresh.New(1, api.Second)}
	var asks, hasty atomic.Int64
	d := discover(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
		if asks.Add(1) > waits.waits.Load() {
			hasty.Add(1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := New("127.0.0.1:1", config.Catalog{}, waits, 1000, api.Second,
		func([]api.EndpointEntry, []string, bool) {}, func() {}, func() {})
	r.SetAddress(d.addr)
	go r.Run()
	require.Eventually(t, func() bool { return asks.Load() >= 5 }, 10*time.Second, time.Millisecond)
	assert.Zero(t, hasty.Load())
}
