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

// within is how long a test waits for what must come: generous, on a busy machine.
const within = 20 * time.Second

// fakeCore notes heartbeats and answers them.
type fakeCore struct {
	server *httptest.Server
	beats  chan heartbeat
	ends   chan string

	mutex  sync.Mutex
	answer func(heartbeat) (status int, body string)
}

func newCore(t *testing.T) *fakeCore {
	core := &fakeCore{beats: make(chan heartbeat, 100), ends: make(chan string, 10)}
	core.answer = func(heartbeat) (int, string) { return http.StatusOK, "{}" }
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+beatPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		var beat heartbeat
		_ = json.NewDecoder(r.Body).Decode(&beat)
		core.mutex.Lock()
		status, body := core.answer(beat)
		core.mutex.Unlock()
		core.beats <- beat
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
	mux.HandleFunc("POST "+signOffPath+"{id}", func(_ http.ResponseWriter, r *http.Request) {
		core.ends <- r.PathValue("id")
	})
	core.server = httptest.NewServer(mux)
	t.Cleanup(core.server.Close)
	return core
}

func (c *fakeCore) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// answers has the core answer otherwise from now on.
func (c *fakeCore) answers(answer func(heartbeat) (int, string)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answer = answer
}

// take waits for something on a channel.
func take[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(within):
		require.Fail(t, "it did not come")
		panic("unreachable")
	}
}

func begin(t *testing.T, options Options) *Endpoint {
	options.Listen = "127.0.0.1:0"
	e, err := Start(options)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	return e
}

// ask sends a request with headers as pairs.
func ask(t *testing.T, e *Endpoint, path string, headers ...string) *http.Response {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address()+path,
		strings.NewReader("body"))
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func TestHeartbeatsGoWhereTheyAreWanted(t *testing.T) {
	wanted, first := newCore(t), newCore(t)
	first.answers(func(heartbeat) (int, string) { return http.StatusOK, `{"forward_to":"` + wanted.address() + `"}` })
	begin(t, Options{Service: "s", Zone: "z", Control: []string{"127.0.0.1:1", first.address()},
		BeatInterval: time.Millisecond, Cold: Cold{Span: time.Hour}})
	beat := take(t, first.beats)
	assert.Equal(t, stateAccepting, beat.State)
	assert.Positive(t, beat.ColdMillis)
	assert.Equal(t, usualSlots, beat.Slots)
	again := take(t, wanted.beats)
	assert.Greater(t, again.Sequence, beat.Sequence)
	wanted.answers(func(heartbeat) (int, string) { return http.StatusServiceUnavailable, "" })
	assert.Greater(t, take(t, first.beats).Sequence, again.Sequence, "the wish ends with a failure")
}

func TestLeavingNeedsAnAcknowledgement(t *testing.T) {
	core := newCore(t)
	long := strings.Repeat("x", acknowledgementMost+1)
	core.answers(func(heartbeat) (int, string) { return http.StatusOK, long })
	e := begin(t, Options{Service: "s", Control: []string{core.address()}})
	left := make(chan error, 1)
	go func() { left <- e.Leave(context.Background()) }()
	for take(t, core.beats).State != stateClosing {
	}
	assert.Empty(t, left, "an answer that long acknowledges nothing")
	core.answers(func(heartbeat) (int, string) { return http.StatusOK, "{}" })
	assert.Equal(t, e.ID, take(t, core.ends))
	assert.NoError(t, take(t, left))

	unheard := begin(t, Options{Service: "s", Control: []string{"127.0.0.1:1"}})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorContains(t, unheard.Leave(ended), "not acknowledged")
}

func TestPlainRequest(t *testing.T) {
	e := begin(t, Options{Service: "s"})
	answer := ask(t, e, "/a/b?c", headerAttempt, "t1", headerDeliverTo, e.ID)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.StatusCode)
	assert.Equal(t, "t1", answer.Header.Get(headerAttempt))
	assert.NotEmpty(t, answer.Header.Get(headerStamp))
	assert.Contains(t, string(body), "s answers POST /a/b?c")
}

func TestWhatHasNotRunSaysSo(t *testing.T) {
	notes := make(chan Note, 10)
	e := begin(t, Options{Service: "s", Slots: 1, Note: func(n Note) { notes <- n }})
	for _, each := range []struct {
		status  int
		headers []string
	}{
		{http.StatusBadRequest, nil},
		{http.StatusMisdirectedRequest, []string{headerAttempt, "t", headerDeliverTo, "another"}},
	} {
		answer := ask(t, e, "/", each.headers...)
		assert.Equal(t, each.status, answer.StatusCode)
		assert.Equal(t, "1", answer.Header.Get(headerNotDelivered))
	}
	require.True(t, e.slots.enter(t.Context(), 0, 0))
	late := ask(t, e, "/", headerAttempt, "t", headerTimeLeft, "1")
	assert.Equal(t, http.StatusServiceUnavailable, late.StatusCode, "the time was over in the queue")
	e.slots.leave(0)
	for _, want := range []Fate{Misdirected, Refused} {
		assert.Equal(t, want, take(t, notes).Fate)
	}
}

func TestStream(t *testing.T) {
	notes := make(chan Note, 10)
	e := begin(t, Options{Service: "s", Engine: &Engine{Stride: 4}, Note: func(n Note) { notes <- n }})
	whole := []string{headerAttempt, "t", headerTokens, "150,10", headerPrompt, "a:100,b:50"}
	answer := ask(t, e, "/", whole...)
	assert.Equal(t, typeStream, answer.Header.Get(headerContentType))
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n", string(body))
	assert.Equal(t, 150, take(t, notes).Read)
	assert.Equal(t, Done, take(t, notes).Fate)

	resumed, err := io.ReadAll(ask(t, e, "/", append(whole, headerLastEvent, "2")...).Body)
	require.NoError(t, err)
	assert.Equal(t, "id: 3\ndata: piece 3\n\n", string(resumed))
	assert.Equal(t, 0, take(t, notes).Read, "all parts were cached")
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	notes := make(chan Note, 10)
	e := begin(t, Options{Service: "s", Engine: &Engine{Step: time.Hour}, Work: time.Hour,
		Note: func(n Note) { notes <- n }})
	for _, tokens := range []string{"", "10,10"} {
		connection, err := net.Dial("tcp", e.Address())
		require.NoError(t, err)
		_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n"+headerAttempt+": t\r\n"+
			headerTokens+": "+tokens+"\r\n\r\n")
		require.NoError(t, err)
		assert.Equal(t, Began, take(t, notes).Fate)
		require.NoError(t, connection.Close())
		assert.Equal(t, Abandoned, take(t, notes).Fate)
	}
}

func TestHealthAndReport(t *testing.T) {
	e := begin(t, Options{Service: "s", HealthPath: "/condition", Engine: &Engine{}, Cold: Cold{Span: time.Hour}})
	get := func(path string) *http.Response {
		response, err := http.Get("http://" + e.Address() + path)
		require.NoError(t, err)
		t.Cleanup(func() { response.Body.Close() })
		return response
	}
	healthy := get("/condition")
	assert.Equal(t, http.StatusOK, healthy.StatusCode)
	assert.Equal(t, e.ID, healthy.Header.Get(headerEndpoint))
	assert.NotEmpty(t, healthy.Header.Get(headerColdLeft))
	var told report
	require.NoError(t, json.NewDecoder(get("/report").Body).Decode(&told))
	assert.Equal(t, usualCacheTokens, told.CacheTotal)
	assert.Equal(t, usualModel, told.Models[0].Name)
	e.beats.closing()
	assert.Equal(t, http.StatusServiceUnavailable, get("/condition").StatusCode)
}

func TestConnectionsBeyondTheMostAreReset(t *testing.T) {
	e := begin(t, Options{Service: "s", Connections: 1})
	first, err := net.Dial("tcp", e.Address())
	require.NoError(t, err)
	defer first.Close()
	_, err = io.WriteString(first, "GET /report HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	_, err = bufio.NewReader(first).ReadString('\n')
	require.NoError(t, err)
	second, err := net.Dial("tcp", e.Address())
	if err == nil { // the reset may come before or after the connection is known here
		defer second.Close()
		require.NoError(t, second.SetDeadline(time.Now().Add(within)))
		_, err = second.Read(make([]byte, 1))
	}
	assert.ErrorContains(t, err, "reset")
}
