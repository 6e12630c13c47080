package httpserver

import (
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/placement"
	"rowanlink/serving/retry"
	"rowanlink/serving/routing"
	"rowanlink/serving/state"
	"rowanlink/serving/upstream"
	"rowanlink/test/fake/scriptedendpoint"
)

// testConfiguration is the configuration of most tests.
const testConfiguration = `{"edition":3,"routings":[
 {"name":"fetch","station":"shop.example","lane_prefix":"/fetch/","line_type":"repeatable","timeout_ms":5000,"target_ms":300,"precedence":1,"carrier":"plain","tries":3},
 {"name":"once","station":"shop.example","lane_prefix":"/once/","line_type":"once_only","timeout_ms":5000,"target_ms":300,"precedence":1,"carrier":"plain","tries":3},
 {"name":"short","station":"shop.example","lane_prefix":"/short/","line_type":"once_only","timeout_ms":40,"target_ms":20,"precedence":1,"carrier":"plain","tries":3},
 {"name":"chat","station":"shop.example","lane_prefix":"/chat/","line_type":"stream","timeout_ms":20000,"target_ms":800,"precedence":2,"carrier":"model","tries":9,"resume":true,"gap_aim_ms":400},
 {"name":"draft","station":"shop.example","lane_prefix":"/draft/","line_type":"stream","timeout_ms":20000,"target_ms":800,"precedence":12,"carrier":"model","tries":3,"resume":false}],
 "carriers":[{"name":"plain","health_path":"/h","conn_cap":100},
 {"name":"model","health_path":"/h","conn_cap":100,"engine":{"berths":8,"cache_tokens":1000,"stride":4}}],
 "limits":{"header_bytes":4096,"body_bytes":100000,"header_wait_ms":3000,"idle_ms":15000}}`

// fakePicker picks its endpoints in order, each one once per request.
type fakePicker struct {
	mu             sync.Mutex
	endpoints      []state.Endpoint
	decisions      []placement.Decision // of the first picks; with the kind Picked, an endpoint is picked as usual
	requests       []placement.Request
	outcomes       []attempt.Outcome
	retryAfter     time.Duration
	reuseEndpoints bool // the same endpoint may be picked again for a request
}

func (p *fakePicker) Pick(_ time.Time, r placement.Request) (placement.Choice, placement.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, r)
	if len(p.decisions) > 0 {
		decision := p.decisions[0]
		p.decisions = p.decisions[1:]
		if decision.Kind != placement.Picked {
			return placement.Choice{}, decision
		}
	}
	for _, endpoint := range p.endpoints {
		if p.reuseEndpoints || !slices.Contains(r.TriedEndpoints, endpoint.ID) {
			endpoint.Service = r.Route.Services[0].Service
			return placement.Choice{Endpoint: endpoint}, placement.Decision{Kind: placement.Picked}
		}
	}
	return placement.Choice{}, placement.Decision{Kind: placement.Reject, Delay: 100 * time.Millisecond}
}

func (p *fakePicker) CancelWait(time.Time, *placement.Ticket) {}

func (p *fakePicker) RetryAfter(time.Time, placement.Request) time.Duration { return p.retryAfter }

func (p *fakePicker) ReportProgress(time.Time, placement.Reservation) {}

func (p *fakePicker) ReportOutcome(_ time.Time, _ placement.Reservation, outcome attempt.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, outcome)
}

func (p *fakePicker) recordedOutcomes() []attempt.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.outcomes)
}

// immediateRetries is a retry policy without backoff.
type immediateRetries struct{ *retry.Policy }

func (p immediateRetries) Decide(now time.Time, failed retry.FailedAttempt) retry.Decision {
	decision := p.Policy.Decide(now, failed)
	decision.Backoff = 0
	return decision
}

// testProxy is a server whose endpoints follow scripts, with a client.
type testProxy struct {
	t                *testing.T
	picker           *fakePicker
	server           *Server
	address          string
	readinessAddress string
	table            *routing.Table
	ready            bool
	client           *http.Client
}

// testConnectTimeout is long, so that connecting succeeds even on a busy test machine: no test here is about
// connecting.
const testConnectTimeout = 10 * time.Second

// newTestProxy starts a server with one endpoint for each script. Retries have no backoff, and their budget is too
// large to matter.
func newTestProxy(t *testing.T, scripts ...func(*scriptedendpoint.Conn)) *testProxy {
	table, err := routing.Parse([]byte(testConfiguration))
	require.NoError(t, err)
	proxy := &testProxy{t: t, table: table, ready: true, picker: &fakePicker{}}
	for number, script := range scripts {
		id := "i-" + string(rune('a'+number))
		proxy.picker.endpoints = append(proxy.picker.endpoints, state.Endpoint{
			ID:      id,
			Address: scriptedendpoint.Start(t, script).Address(),
		})
	}
	proxy.start()
	return proxy
}

// longTimeoutMillis is a timeout, in milliseconds, that doesn't expire even if the test machine is very busy.
const longTimeoutMillis = "600000"

// newTestProxyWithLongTimeouts is like newTestProxy, with all timeouts of the routes set to longTimeoutMillis. It is
// for tests that are not about time.
func newTestProxyWithLongTimeouts(t *testing.T, scripts ...func(*scriptedendpoint.Conn)) *testProxy {
	proxy := newTestProxy(t, scripts...)
	configuration := regexp.MustCompile(`"(timeout|target|gap_aim)_ms":\d+`).
		ReplaceAllString(testConfiguration, `"${1}_ms":`+longTimeoutMillis)
	table, err := routing.Parse([]byte(configuration))
	require.NoError(t, err)
	proxy.table = table
	return proxy
}

// requestWithLongDeadline is like request, with longTimeoutMillis left.
func (proxy *testProxy) requestWithLongDeadline(path, body string) *http.Request {
	request := proxy.request(path, body)
	request.Header.Set("X-Time-Left", longTimeoutMillis)
	return request
}

func (proxy *testProxy) start() {
	clients, checks := listen(proxy.t), listen(proxy.t)
	log := zerolog.Nop()
	policy := immediateRetries{retry.New(time.Now(), retry.Limits{
		Ratio:  1000,
		Slack:  1000,
		Window: 10 * time.Second,
	}, 1)}
	pool := upstream.New(upstream.Options{ConnectTimeout: testConnectTimeout})
	proxy.server = New(Options{
		ClientListener: clients, ReadinessListener: checks, RoutingTable: func() *routing.Table { return proxy.table },
		Ready:           func() bool { return proxy.ready },
		ConnectionShare: func(s *routing.Service) int { return s.MaxConnections },
		Picker:          proxy.picker, RetryPolicy: policy, Pool: pool, Log: &log,
	})
	proxy.address, proxy.readinessAddress = clients.Addr().String(), checks.Addr().String()
	proxy.server.Start()
	proxy.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	proxy.t.Cleanup(func() {
		proxy.client.CloseIdleConnections()
		proxy.server.Close()
		pool.Close()
	})
}

// request returns a client's request with attempt ID "a1" and a deadline in five seconds.
func (proxy *testProxy) request(path, body string) *http.Request {
	request, err := http.NewRequestWithContext(proxy.t.Context(), http.MethodPost, "http://"+proxy.address+path, strings.NewReader(body))
	require.NoError(proxy.t, err)
	request.Host = "shop.example"
	request.Header.Set("X-Attempt-Id", "a1")
	request.Header.Set("X-Time-Left", "5000")
	return request
}

// clientResponse is the response that a client has received, all zero if there is none.
type clientResponse struct {
	status   int
	header   http.Header
	body     string
	complete bool // the body was received to its end
}

// do sends a request and reads the response until it ends or fails.
func (proxy *testProxy) do(request *http.Request) clientResponse {
	response, err := proxy.client.Do(request)
	if err != nil {
		return clientResponse{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil}
}

// listen opens a listener on a free port. The test closes it at its end.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// dial connects to an address. The test closes the connection at its end.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// respondWith returns a script that gives the same response to each request.
func respondWith(text string) func(*scriptedendpoint.Conn) {
	return func(conn *scriptedendpoint.Conn) {
		for conn.ReadRequest() != nil {
			conn.WriteText(text)
		}
	}
}

// respondAndClose returns a script that sends a text, usually part of a response, and closes the connection.
func respondAndClose(text string) func(*scriptedendpoint.Conn) {
	return func(conn *scriptedendpoint.Conn) {
		conn.ReadRequest()
		conn.WriteText(text)
	}
}

const (
	okHead              = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s1\r\n"
	okResponse          = okHead + "Content-Length: 4\r\n\r\nbody"
	rejectedResponse    = "HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n"
	serverErrorResponse = "HTTP/1.1 500 Oops\r\nX-Attempt-Id: a1\r\nX-Postmark: s1\r\nX-Own: 1\r\nContent-Length: 3\r\n\r\nerr"
	misdirectedResponse = "HTTP/1.1 421 Other\r\nX-Endpoint-Id: i-z\r\nContent-Length: 0\r\n\r\n"
)
