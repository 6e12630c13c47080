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

// fakeRegistry answers each request as the test says, and records the requests.
type fakeRegistry struct {
	addr     string
	mu       sync.Mutex
	requests []string // since which generation
}

// startRegistry starts a registry; answer is called with the number of the request, from 1 on.
func startRegistry(t *testing.T, answer func(n int, w http.ResponseWriter, r *http.Request)) *fakeRegistry {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &fakeRegistry{addr: l.Addr().String()}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.requests = append(d.requests, r.URL.Query().Get("since"))
		n := len(d.requests)
		d.mu.Unlock()
		answer(n, w, r)
	})}
	go func() { _ = s.Serve(l) }() // ends with Close
	t.Cleanup(func() { assert.NoError(t, s.Close()) })
	return d
}

func (d *fakeRegistry) recorded() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.requests...)
}

// writeChunks writes parts of a watch, each in a chunk of its own.
func writeChunks(w http.ResponseWriter, texts ...string) {
	for _, text := range texts {
		_, _ = fmt.Fprint(w, text) // the client may have left
		w.(http.Flusher).Flush()
	}
}

// list is one with a single endpoint, so that a story sees by its rate which one was heard.
func list(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1",`+
		`"cell":3,"lifecycle":"SERVING","weight":%d}]}`, generation, generation)
}

// follower runs a Client and records which lists it received.
type follower struct {
	*Client
	mu        sync.Mutex
	lists     []int
	malformed atomic.Int64
	ready     [][]int // the lists received before each call of Ready
}

// follow starts a follower whose lists are pushed.
func follow(addr string, period api.Micros) *follower {
	f := &follower{}
	f.Client = New(Options{
		Address:     addr,
		Catalog:     config.Catalog{PushedLists: true},
		Scheduler:   refresh.New(1, period),
		MaxObject:   1000,
		RetainNames: api.Second,
		Update: func(entries []api.EndpointEntry, _ []string, _ bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lists = append(f.lists, int(entries[0].Rate))
		},
		Malformed: func() { f.malformed.Add(1) },
		Ready: func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ready = append(f.ready, append([]int{}, f.lists...))
		},
	})
	go f.Run()
	return f
}

func (f *follower) receivedLists() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]int(nil), f.lists...)
}

func (f *follower) readyCalls() [][]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([][]int(nil), f.ready...)
}

func (f *follower) requireLists(t *testing.T, lists ...int) {
	t.Helper()
	require.Eventually(t, func() bool { return assert.ObjectsAreEqual(lists, f.receivedLists()) }, 10*time.Second,
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
func TestEachRequestIsScheduled(t *testing.T) {
	waits := &counted{Scheduler: refresh.New(1, api.Second)}
	var asks, hasty atomic.Int64
	d := startRegistry(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
		if asks.Add(1) > waits.waits.Load() {
			hasty.Add(1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := New(Options{
		Address:     "127.0.0.1:1",
		Scheduler:   waits,
		MaxObject:   1000,
		RetainNames: api.Second,
		Update:      func([]api.EndpointEntry, []string, bool) {},
		Malformed:   func() {},
		Ready:       func() {},
	})
	r.SetAddress(d.addr)
	go r.Run()
	require.Eventually(t, func() bool { return asks.Load() >= 5 }, 10*time.Second, time.Millisecond)
	assert.Zero(t, hasty.Load())
}
