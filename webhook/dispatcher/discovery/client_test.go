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

// fakeRegistry answers each request with the test's handler, and records the requests.
type fakeRegistry struct {
	addr     string
	mu       sync.Mutex
	requests []string // the generation after which each asks for changes
}

// startRegistry starts a registry; answer is called with the number of the request, from 1 on.
func startRegistry(t *testing.T, answer func(n int, w http.ResponseWriter, r *http.Request)) *fakeRegistry {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	registry := &fakeRegistry{addr: listener.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		registry.mu.Lock()
		registry.requests = append(registry.requests, r.URL.Query().Get("since"))
		n := len(registry.requests)
		registry.mu.Unlock()
		answer(n, w, r)
	})}
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { assert.NoError(t, server.Close()) })
	return registry
}

func (r *fakeRegistry) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.requests...)
}

// writeChunks writes parts of a watch, each in a chunk of its own.
func writeChunks(w http.ResponseWriter, texts ...string) {
	for _, text := range texts {
		_, _ = fmt.Fprint(w, text) // the client may have left
		w.(http.Flusher).Flush()
	}
}

// list returns a list with a single endpoint, whose rate identifies the list.
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

// countingScheduler has short delays and counts the requests that it schedules.
type countingScheduler struct {
	scheduled atomic.Int64
	*refresh.Scheduler
}

func (s *countingScheduler) Next(refresh.Reason, bool) refresh.Request {
	s.scheduled.Add(1)
	return refresh.Request{
		Delay:           1000,
		ConnectTimeout:  api.Second,
		ResponseTimeout: api.Second,
		IdleTimeout:     api.Second,
	}
}

// Guards against a request, the first one included, that bypasses the Scheduler: all dispatchers that start, or whose
// registry address changes, would send it at the same time.
func TestEachRequestIsScheduled(t *testing.T) {
	scheduler := &countingScheduler{Scheduler: refresh.New(1, api.Second)}
	var requests, unscheduled atomic.Int64
	registry := startRegistry(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > scheduler.scheduled.Load() {
			unscheduled.Add(1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	client := New(Options{
		Address:     "127.0.0.1:1",
		Scheduler:   scheduler,
		MaxObject:   1000,
		RetainNames: api.Second,
		Update:      func([]api.EndpointEntry, []string, bool) {},
		Malformed:   func() {},
		Ready:       func() {},
	})
	client.SetAddress(registry.addr)
	go client.Run()
	require.Eventually(t, func() bool { return requests.Load() >= 5 }, 10*time.Second, time.Millisecond)
	assert.Zero(t, unscheduled.Load())
}
