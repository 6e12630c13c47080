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

// fakePicker returns its endpoints in order, each once per request.
type fakePicker struct {
	mu             sync.Mutex
	endpoints      []state.Endpoint
	decisions      []placement.Decision // returned first
	requests       []placement.Request
	outcomes       []attempt.Outcome
	reuseEndpoints bool // endpoints are returned again to the same request
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

func (e immediateRetries) Decide(now time.Time, try retry.FailedAttempt) retry.Decision {
	decision := e.Policy.Decide(now, try)
	decision.Backoff = 0
	return decision
}

// testProxy is a server with endpoints that follow scripts.
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

// testConnectTimeout leaves time for connecting on a busy test machine; no test here is about connecting.
const testConnectTimeout = 10 * time.Second

// newTestProxy starts a server with one endpoint for each script. Retries have no backoff and no budget.
func newTestProxy(t *testing.T, scripts ...func(*scriptedendpoint.Conn)) *testProxy {
	table, err := routing.Parse([]byte(testConfiguration))
	require.NoError(t, err)
	r := &testProxy{t: t, table: table, ready: true, picker: &fakePicker{}}
	for number, script := range scripts {
		id := "i-" + string(rune('a'+number))
		r.picker.endpoints = append(r.picker.endpoints, state.Endpoint{
			ID:      id,
			Address: scriptedendpoint.Start(t, script).Address(),
		})
	}
	r.start()
	return r
}

// patience stands for all time-outs of a patient proxy: no load of the test machine reaches it.
const patience = "600000"

// newPatientProxy is newTestProxy with a configuration whose time-outs are too long to matter, for tests that are not
// about time.
func newPatientProxy(t *testing.T, scripts ...func(*scriptedendpoint.Conn)) *testProxy {
	r := newTestProxy(t, scripts...)
	patient := regexp.MustCompile(`"(timeout|target|gap_aim)_ms":\d+`).
		ReplaceAllString(testConfiguration, `"${1}_ms":`+patience)
	table, err := routing.Parse([]byte(patient))
	require.NoError(t, err)
	r.table = table
	return r
}

// patientRequest is request with all the time that a patient proxy has.
func (r *testProxy) patientRequest(path, body string) *http.Request {
	request := r.request(path, body)
	request.Header.Set("X-Time-Left", patience)
	return request
}

func (r *testProxy) start() {
	clients, checks := listen(r.t), listen(r.t)
	log := zerolog.Nop()
	policy := immediateRetries{retry.New(time.Now(), retry.Limits{
		Ratio:  1000,
		Slack:  1000,
		Window: 10 * time.Second,
	}, 1)}
	pool := upstream.New(upstream.Options{ConnectTimeout: testConnectTimeout})
	r.server = New(Options{
		ClientListener: clients, ReadinessListener: checks, RoutingTable: func() *routing.Table { return r.table },
		Ready:           func() bool { return r.ready },
		ConnectionShare: func(s *routing.Service) int { return s.MaxConnections },
		Picker:          r.picker, RetryPolicy: policy, Pool: pool, Log: &log,
	})
	r.address, r.readinessAddress = clients.Addr().String(), checks.Addr().String()
	r.server.Start()
	r.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	r.t.Cleanup(func() {
		r.client.CloseIdleConnections()
		r.server.Close()
		pool.Close()
	})
}

// request returns a client's request with attempt ID "a1" and five seconds left.
func (r *testProxy) request(path, body string) *http.Request {
	request, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, "http://"+r.address+path, strings.NewReader(body))
	require.NoError(r.t, err)
	request.Host = "shop.example"
	request.Header.Set("X-Attempt-Id", "a1")
	request.Header.Set("X-Time-Left", "5000")
	return request
}

// clientResponse is what a client has received.
type clientResponse struct {
	status   int
	header   http.Header
	body     string
	complete bool // the end of the body was received
}

// do sends a request and reads the response up to its end or failure.
func (r *testProxy) do(request *http.Request) clientResponse {
	response, err := r.client.Do(request)
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
	return func(p *scriptedendpoint.Conn) {
		for p.ReadRequest() != nil {
			p.WriteText(text)
		}
	}
}

// respondAndClose returns a script that closes the connection after part of a response.
func respondAndClose(text string) func(*scriptedendpoint.Conn) {
	return func(p *scriptedendpoint.Conn) {
		p.ReadRequest()
		p.WriteText(text)
	}
}

const (
	okHead              = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s1\r\n"
	okResponse          = okHead + "Content-Length: 4\r\n\r\nbody"
	rejectedResponse    = "HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n"
	serverErrorResponse = "HTTP/1.1 500 Oops\r\nX-Attempt-Id: a1\r\nX-Postmark: s1\r\nX-Own: 1\r\nContent-Length: 3\r\n\r\nerr"
	misdirectedResponse = "HTTP/1.1 421 Other\r\nX-Endpoint-Id: i-z\r\nContent-Length: 0\r\n\r\n"
)
