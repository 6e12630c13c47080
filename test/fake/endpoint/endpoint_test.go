package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testTimeout is how long a test waits for an event: generous, for busy machines.
const testTimeout = 20 * time.Second

// fakeCore records heartbeats and responds to them.
type fakeCore struct {
	server       *httptest.Server
	heartbeats   chan heartbeat
	deregistered chan string

	mutex   sync.Mutex
	respond func(heartbeat) (status int, body string)
}

func newFakeCore(t *testing.T) *fakeCore {
	core := &fakeCore{heartbeats: make(chan heartbeat, 100), deregistered: make(chan string, 10)}
	core.respond = func(heartbeat) (int, string) { return http.StatusOK, "{}" }
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+heartbeatPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		var heartbeat heartbeat
		_ = json.NewDecoder(r.Body).Decode(&heartbeat)
		core.mutex.Lock()
		status, body := core.respond(heartbeat)
		core.mutex.Unlock()
		core.heartbeats <- heartbeat
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
	mux.HandleFunc("POST "+deregisterPath+"{id}", func(_ http.ResponseWriter, r *http.Request) {
		core.deregistered <- r.PathValue("id")
	})
	core.server = httptest.NewServer(mux)
	t.Cleanup(core.server.Close)
	return core
}

func (c *fakeCore) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// respondWith changes how the core responds.
func (c *fakeCore) respondWith(answer func(heartbeat) (int, string)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.respond = answer
}

// receive waits for a value on a channel.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		require.Fail(t, "it did not come")
		panic("unreachable")
	}
}

func startEndpoint(t *testing.T, options Options) *Endpoint {
	options.ListenAddress = "127.0.0.1:0"
	e, err := Start(t.Context(), options)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	return e
}

// testResponse is a response that was read completely.
type testResponse struct {
	StatusCode int
	Header     http.Header
	Body       []byte
}

// do sends a request and reads the response.
func do(t *testing.T, request *http.Request) testResponse {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return testResponse{StatusCode: response.StatusCode, Header: response.Header, Body: body}
}

// post sends a request with headers, given as pairs.
func post(t *testing.T, e *Endpoint, path string, headers ...string) testResponse {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address()+path,
		strings.NewReader("body"))
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return do(t, request)
}

func TestHeartbeats_FollowForwardTo(t *testing.T) {
	wanted, first := newFakeCore(t), newFakeCore(t)
	first.respondWith(func(heartbeat) (int, string) { return http.StatusOK, `{"forward_to":"` + wanted.address() + `"}` })
	startEndpoint(t, Options{Service: "s", Zone: "z", Control: []string{"127.0.0.1:1", first.address()},
		HeartbeatInterval: time.Millisecond, Warmup: Warmup{Span: time.Hour}})
	message := receive(t, first.heartbeats)
	assert.Equal(t, stateAccepting, message.State)
	assert.Positive(t, message.ColdMillis)
	assert.Equal(t, defaultSlots, message.Slots)
	again := receive(t, wanted.heartbeats)
	assert.Greater(t, again.Sequence, message.Sequence)
	wanted.respondWith(func(heartbeat) (int, string) { return http.StatusServiceUnavailable, "" })
	assert.Greater(t, receive(t, first.heartbeats).Sequence, again.Sequence, "the preference ends with a failure")
}

func TestShutdown_NeedsAcknowledgement(t *testing.T) {
	core := newFakeCore(t)
	long := strings.Repeat("x", maxAcknowledgementSize+1)
	core.respondWith(func(heartbeat) (int, string) { return http.StatusOK, long })
	e := startEndpoint(t, Options{Service: "s", Control: []string{core.address()}})
	result := make(chan error, 1)
	go func() { result <- e.Shutdown(context.Background()) }()
	for receive(t, core.heartbeats).State != stateClosing {
	}
	assert.Empty(t, result, "a response that long acknowledges nothing")
	core.respondWith(func(heartbeat) (int, string) { return http.StatusOK, "{}" })
	assert.Equal(t, e.ID, receive(t, core.deregistered))
	assert.NoError(t, receive(t, result))

	unacknowledged := startEndpoint(t, Options{Service: "s", Control: []string{"127.0.0.1:1"}})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorContains(t, unacknowledged.Shutdown(ended), "not acknowledged")
}

func TestRequest_Plain(t *testing.T) {
	e := startEndpoint(t, Options{Service: "s"})
	response := post(t, e, "/a/b?c", headerAttempt, "t1", headerDeliverTo, e.ID)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "t1", response.Header.Get(headerAttempt))
	assert.NotEmpty(t, response.Header.Get(headerStamp))
	assert.Contains(t, string(response.Body), "s answers POST /a/b?c")
}

func TestRequest_NotDelivered(t *testing.T) {
	events := make(chan RequestEvent, 10)
	e := startEndpoint(t, Options{Service: "s", Slots: 1, OnRequest: func(n RequestEvent) { events <- n }})
	for _, each := range []struct {
		status  int
		headers []string
	}{
		{http.StatusBadRequest, nil},
		{http.StatusMisdirectedRequest, []string{headerAttempt, "t", headerDeliverTo, "another"}},
	} {
		response := post(t, e, "/", each.headers...)
		assert.Equal(t, each.status, response.StatusCode)
		assert.Equal(t, "1", response.Header.Get(headerNotDelivered))
	}
	require.True(t, e.slots.acquire(t.Context(), 0, 0))
	late := post(t, e, "/", headerAttempt, "t", headerTimeLeft, "1")
	assert.Equal(t, http.StatusServiceUnavailable, late.StatusCode, "the deadline passed in the queue")
	e.slots.release(0)
	for _, want := range []RequestPhase{Misdirected, Rejected} {
		assert.Equal(t, want, receive(t, events).Phase)
	}
}

func TestRequest_Stream(t *testing.T) {
	events := make(chan RequestEvent, 10)
	e := startEndpoint(t, Options{
		Service:   "s",
		Engine:    &Engine{TokensPerEvent: 4},
		OnRequest: func(n RequestEvent) { events <- n },
	})
	headers := []string{headerAttempt, "t", headerTokens, "150,10", headerPrompt, "a:100,b:50"}
	response := post(t, e, "/", headers...)
	assert.Equal(t, typeStream, response.Header.Get(headerContentType))
	assert.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n", string(response.Body))
	assert.Equal(t, 150, receive(t, events).UncachedTokens)
	assert.Equal(t, Completed, receive(t, events).Phase)

	resumed := post(t, e, "/", append(headers, headerLastEvent, "2")...)
	assert.Equal(t, "id: 3\ndata: piece 3\n\n", string(resumed.Body))
	assert.Equal(t, 0, receive(t, events).UncachedTokens, "all parts were cached")
}

func TestRequest_EndsWhenCallerDisconnects(t *testing.T) {
	events := make(chan RequestEvent, 10)
	e := startEndpoint(t, Options{Service: "s", Engine: &Engine{DecodeStep: time.Hour}, ProcessingTime: time.Hour,
		OnRequest: func(n RequestEvent) { events <- n }})
	for _, tokens := range []string{"", "10,10"} {
		connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", e.Address())
		require.NoError(t, err)
		_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n"+headerAttempt+": t\r\n"+
			headerTokens+": "+tokens+"\r\n\r\n")
		require.NoError(t, err)
		assert.Equal(t, Started, receive(t, events).Phase)
		require.NoError(t, connection.Close())
		assert.Equal(t, Abandoned, receive(t, events).Phase)
	}
}

func TestHealthAndLoadReport(t *testing.T) {
	e := startEndpoint(t, Options{
		Service:    "s",
		HealthPath: "/condition",
		Engine:     &Engine{},
		Warmup:     Warmup{Span: time.Hour},
	})
	get := func(path string) testResponse {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.Address()+path, nil)
		require.NoError(t, err)
		return do(t, request)
	}
	healthy := get("/condition")
	assert.Equal(t, http.StatusOK, healthy.StatusCode)
	assert.Equal(t, e.ID, healthy.Header.Get(headerEndpoint))
	assert.NotEmpty(t, healthy.Header.Get(headerColdLeft))
	var reported loadReport
	require.NoError(t, json.Unmarshal(get("/report").Body, &reported))
	assert.Equal(t, defaultCacheTokens, reported.CacheTotal)
	assert.Equal(t, defaultModel, reported.Models[0].Name)
	e.heartbeats.announceDraining()
	assert.Equal(t, http.StatusServiceUnavailable, get("/condition").StatusCode)
}

func TestLimitedListener_ResetsBeyondMaximum(t *testing.T) {
	e := startEndpoint(t, Options{Service: "s", MaxConnections: 1})
	first, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", e.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = first.Close() })
	_, err = io.WriteString(first, "GET /report HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	_, err = bufio.NewReader(first).ReadString('\n')
	require.NoError(t, err)
	second, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", e.Address())
	if err == nil { // the reset may come before or after the connection is known here
		t.Cleanup(func() { _ = second.Close() })
		require.NoError(t, second.SetDeadline(time.Now().Add(testTimeout)))
		_, err = second.Read(make([]byte, 1))
	}
	assert.ErrorContains(t, err, "reset")
}
