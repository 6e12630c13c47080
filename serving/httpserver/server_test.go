package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/metrics"
	"rowanlink/test/fake/scriptedendpoint"
)

func TestServeHTTP_NoRoute(t *testing.T) {
	proxy := newTestProxy(t, respondWith(okResponse))
	response := proxy.do(proxy.request("/nowhere/x", "q"))
	assert.Equal(t, 404, response.status)
	assert.JSONEq(t, `{"error":"no route matches","code":501}`, response.body)
	other := proxy.request("/fetch/x", "")
	other.Host = "other.example"
	assert.Equal(t, 404, proxy.do(other).status)
	assert.Empty(t, proxy.picker.requests)
}

func TestServeHTTP_NoConfiguration(t *testing.T) {
	proxy := newTestProxy(t, respondWith(okResponse))
	proxy.table = nil
	response := proxy.do(proxy.request("/nowhere/x", "q"))
	assert.Equal(t, 503, response.status)
	assert.Equal(t, "0.250", response.header.Get("Retry-After"))
}

func TestServeHTTP_RequestLimits(t *testing.T) {
	proxy := newTestProxy(t, respondWith(okResponse))
	large := strings.Repeat("x", 100_001)
	assert.Equal(t, 413, proxy.do(proxy.request("/once/x", large)).status)
	inChunks := proxy.request("/once/x", "")
	inChunks.Body, inChunks.ContentLength = io.NopCloser(strings.NewReader(large)), -1
	assert.Equal(t, 413, proxy.do(inChunks).status)
	assert.Equal(t, 200, proxy.do(proxy.request("/once/x", large[1:])).status, "within the limit")

	head := proxy.request("/once/x", "")
	head.Header.Set("X-Long", strings.Repeat("x", 4096))
	assert.Equal(t, 431, proxy.do(head).status)
}

func TestBodyMemory(t *testing.T) {
	memory := bodyMemory{limit: 200 << 10}
	assert.True(t, memory.reserve(uncountedBodySize), "small bodies reserve nothing")
	assert.True(t, memory.reserve(150<<10))
	assert.False(t, memory.reserve(-1), "a body of unknown length doesn't fit")
	memory.release(150 << 10)
	assert.True(t, memory.reserve(-1))
	memory.release(-1)
	assert.Zero(t, memory.reserved.Load())
}

// TestMetrics_CountResponsesAndAttempts reads the metrics from the listener for readiness checks, which serves them
// too.
func TestMetrics_CountResponsesAndAttempts(t *testing.T) {
	proxy := newTestProxyWithLongTimeouts(t, respondWith(rejectedResponse), respondWith(okResponse))
	require.Equal(t, 200, proxy.do(proxy.requestWithLongDeadline("/fetch/x", "q")).status)
	require.Equal(t, 404, proxy.do(proxy.requestWithLongDeadline("/nowhere/x", "q")).status)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+proxy.readinessAddress+metrics.Path, nil)
	require.NoError(t, err)
	response, err := proxy.client.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	written, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	for _, line := range []string{
		`rowan_proxy_responses_total{status="2xx"} 1`,
		`rowan_proxy_responses_total{status="4xx"} 1`,
		`rowan_proxy_attempts_total{outcome="refused"} 1`,
		`rowan_proxy_attempts_total{outcome="succeeded"} 1`,
		`rowan_proxy_retries_total 1`,
		`rowan_proxy_requests_in_flight 0`,
		`rowan_proxy_response_start_seconds_count 1`,
	} {
		assert.Contains(t, string(written), line+"\n")
	}
}

func TestReadiness_FailsWhileDraining(t *testing.T) {
	proxy := newTestProxy(t)
	check := func() int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+proxy.readinessAddress+"/readiness", nil)
		require.NoError(t, err)
		response, err := proxy.client.Do(request)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	assert.Equal(t, 200, check())
	proxy.server.startDraining()
	assert.Equal(t, 503, check())
}

func TestReady_NeedsStateOfTheSystem(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.ready = false
	assert.False(t, proxy.server.Ready())
}

// rawClient is a client that writes requests to its connection as text.
type rawClient struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (proxy *testProxy) dial() *rawClient {
	c := dial(proxy.t, proxy.address)
	return &rawClient{t: proxy.t, Conn: c, reader: bufio.NewReader(c)}
}

func (c *rawClient) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// rawResponse is the status and headers of a response that was read completely.
type rawResponse struct {
	StatusCode int
	Close      bool
	Header     http.Header
}

// receive reads a response to its end.
func (c *rawClient) receive() rawResponse {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return rawResponse{StatusCode: response.StatusCode, Close: response.Close, Header: response.Header}
}

func rawGet(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a1\r\nX-Time-Left: 5000\r\n\r\n", path)
}

// TestDrain_RequestsInEachPhase sends a request in each phase of a graceful shutdown.
func TestDrain_RequestsInEachPhase(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		for request := conn.ReadRequest(); request != nil; request = conn.ReadRequest() {
			if strings.HasSuffix(request.RequestURI, "long") {
				close(reached)
				<-release
			}
			conn.WriteText(okResponse)
		}
	})
	long, idle, fresh := proxy.dial(), proxy.dial(), proxy.dial()
	long.send(rawGet("/once/long"))
	<-reached
	idle.send(rawGet("/once/x"))
	assert.False(t, idle.receive().Close)

	proxy.server.startDraining()
	idle.send(rawGet("/once/x"))
	response := idle.receive()
	assert.Equal(t, 200, response.StatusCode)
	assert.True(t, response.Close)
	_, err := idle.reader.ReadByte()
	assert.Equal(t, io.EOF, err)

	proxy.server.rejectNewRequests()
	fresh.send(rawGet("/once/x"))
	response = fresh.receive()
	assert.Equal(t, 503, response.StatusCode)
	assert.True(t, response.Close)
	assert.Equal(t, "0.020", response.Header.Get("Retry-After"))

	proxy.server.stopListening()
	_, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", proxy.address)
	assert.Error(t, err)
	assert.False(t, proxy.server.isDrained())
	close(release)
	assert.Equal(t, 200, long.receive().StatusCode)
	_, err = long.reader.ReadByte()
	assert.Equal(t, io.EOF, err)
	proxy.server.Drain(t.Context(), 0)
}

// TestDrain_LateRequestIsRejected: a request on an idle connection is rejected with a response, even late in a
// shutdown.
func TestDrain_LateRequestIsRejected(t *testing.T) {
	proxy := newTestProxy(t, respondWith(okResponse))
	client := proxy.dial()
	client.send(rawGet("/once/x"))
	client.receive()
	proxy.server.startDraining()
	proxy.server.rejectNewRequests()
	client.send(rawGet("/once/x"))
	assert.Equal(t, 503, client.receive().StatusCode)
}

func TestPlanDrain(t *testing.T) {
	assert.Equal(t, drainPlan{serve: 3 * time.Second, reject: 500 * time.Millisecond, total: 7500 * time.Millisecond},
		planDrain(8*time.Second))
	for _, grace := range []time.Duration{0, time.Second, 4 * time.Second, time.Minute} {
		plan := planDrain(grace)
		assert.LessOrEqual(t, plan.serve+plan.reject, plan.total)
		assert.LessOrEqual(t, plan.total, grace)
	}
}

// TestServeHTTP_LateBody: if the body doesn't arrive in time, the response tells the client that the request has not
// run.
func TestServeHTTP_LateBody(t *testing.T) {
	proxy := newTestProxy(t, respondWith(okResponse))
	client := proxy.dial()
	client.send("POST /once/x HTTP/1.1\r\nHost: shop.example\r\nX-Time-Left: 20\r\nContent-Length: 5\r\n\r\nab")
	response := client.receive()
	assert.Equal(t, 408, response.StatusCode)
	assert.True(t, response.Close)
	assert.Empty(t, proxy.picker.requests)
}

// TestListener_ReadDeadlines: a read has the deadline that belongs to the connection's state.
func TestListener_ReadDeadlines(t *testing.T) {
	proxy := newTestProxy(t)
	l := proxy.server.listener
	assert.InDelta(t, 3, time.Until(l.readDeadline(http.StateNew)).Seconds(), 1)
	assert.InDelta(t, 17, time.Until(l.readDeadline(http.StateIdle)).Seconds(), 1)
	assert.True(t, l.readDeadline(stateServing).IsZero())
}

func TestListener_NearLimit(t *testing.T) {
	proxy := newTestProxy(t, respondWith(okResponse))
	proxy.server.listener.mu.Lock()
	proxy.server.listener.maxConnections = 2
	proxy.server.listener.mu.Unlock()
	first := proxy.dial()
	first.send(rawGet("/once/x"))
	first.receive()
	second := proxy.dial()
	second.send(rawGet("/once/x"))
	assert.True(t, second.receive().Close, "near the limit, connections are closed after their response")
	_, err := second.reader.ReadByte()
	assert.Equal(t, io.EOF, err)
}

func TestRequestTarget(t *testing.T) {
	for sent, want := range map[string]string{
		"/a/b?c": "/a/b?c", "http://h/a?b": "/a?b", "http://h": "/", "http://h?x": "/?x", "//a/b": "//a/b",
	} {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + sent + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		require.NoError(t, err)
		assert.Equal(t, want, requestTarget(request), sent)
	}
}

func TestDropConnectionHeaders(t *testing.T) {
	header := http.Header{
		"Connection": {"close, x-own, Other"}, "Other": {"1"}, "X-Own": {"1"}, "Te": {"x"}, "Upgrade": {"h2c"},
		"Accept-Encoding": {"identity"},
	}
	dropConnectionHeaders(header)
	assert.Equal(t, http.Header{"X-Own": {"1"}, "Accept-Encoding": {"identity"}}, header)
}

func TestClampRetryAfter(t *testing.T) {
	for _, c := range []struct{ wanted, left, want time.Duration }{
		{0, time.Second, minRetryAfter}, {time.Second, 3 * time.Second, time.Second},
		{time.Second, 300 * time.Millisecond, 100 * time.Millisecond}, {time.Second, -time.Second, 0},
	} {
		assert.Equal(t, c.want, clampRetryAfter(c.wanted, c.left))
	}
}
