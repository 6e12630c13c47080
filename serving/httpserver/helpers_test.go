package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
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
)

// document is the configuration of most tests.
const document = `{"edition":3,"routings":[
 {"name":"fetch","station":"shop.example","lane_prefix":"/fetch/","line_type":"repeatable","timeout_ms":5000,"target_ms":300,"precedence":1,"carrier":"plain","tries":3},
 {"name":"once","station":"shop.example","lane_prefix":"/once/","line_type":"once_only","timeout_ms":5000,"target_ms":300,"precedence":1,"carrier":"plain","tries":3},
 {"name":"short","station":"shop.example","lane_prefix":"/short/","line_type":"once_only","timeout_ms":40,"target_ms":20,"precedence":1,"carrier":"plain","tries":3},
 {"name":"chat","station":"shop.example","lane_prefix":"/chat/","line_type":"stream","timeout_ms":20000,"target_ms":800,"precedence":2,"carrier":"model","tries":9,"resume":true,"gap_aim_ms":400},
 {"name":"draft","station":"shop.example","lane_prefix":"/draft/","line_type":"stream","timeout_ms":20000,"target_ms":800,"precedence":12,"carrier":"model","tries":3,"resume":false}],
 "carriers":[{"name":"plain","health_path":"/h","conn_cap":100},
 {"name":"model","health_path":"/h","conn_cap":100,"engine":{"berths":8,"cache_tokens":1000,"stride":4}}],
 "limits":{"header_bytes":4096,"body_bytes":100000,"header_wait_ms":3000,"idle_ms":15000}}`

// fakePlacer gives out its endpoints in order, none twice to one request.
type fakePlacer struct {
	mu        sync.Mutex
	endpoints []state.Endpoint
	verdicts  []placement.Decision // given first
	requests  []placement.Request
	outcomes  []attempt.Outcome
	returning bool // endpoints are given out again to the same request
}

func (p *fakePlacer) Pick(_ time.Time, r placement.Request) (placement.Choice, placement.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, r)
	if len(p.verdicts) > 0 {
		verdict := p.verdicts[0]
		p.verdicts = p.verdicts[1:]
		if verdict.Kind != placement.Picked {
			return placement.Choice{}, verdict
		}
	}
	for _, endpoint := range p.endpoints {
		if p.returning || !slices.Contains(r.TriedEndpoints, endpoint.ID) {
			endpoint.Service = r.Route.Services[0].Service
			return placement.Choice{Endpoint: endpoint}, placement.Decision{Kind: placement.Picked}
		}
	}
	return placement.Choice{}, placement.Decision{Kind: placement.Reject, Delay: 100 * time.Millisecond}
}

func (p *fakePlacer) ReportProgress(time.Time, placement.Reservation) {}

func (p *fakePlacer) ReportOutcome(_ time.Time, _ placement.Reservation, outcome attempt.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, outcome)
}

func (p *fakePlacer) ended() []attempt.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.outcomes)
}

// eager is a retry policy that doesn't wait.
type eager struct{ *retry.Policy }

func (e eager) Decide(now time.Time, try retry.FailedAttempt) retry.Decision {
	decision := e.Policy.Decide(now, try)
	decision.Backoff = 0
	return decision
}

// rig is a server with endpoints that follow scripts.
type rig struct {
	t       *testing.T
	placer  *fakePlacer
	server  *Server
	address string
	checks  string
	table   *routing.Table
	ready   bool
	client  *http.Client
}

// patientConnect gives connections of a busy test machine time to come up: no test here is one of connecting.
const patientConnect = 10 * time.Second

// newRig starts a server with one endpoint for each script. Retries don't wait and are not bounded.
func newRig(t *testing.T, scripts ...func(*peer)) *rig {
	table, err := routing.Parse([]byte(document))
	require.NoError(t, err)
	r := &rig{t: t, table: table, ready: true, placer: &fakePlacer{}}
	for number, script := range scripts {
		id := "i-" + string(rune('a'+number))
		r.placer.endpoints = append(r.placer.endpoints, state.Endpoint{ID: id, Address: startEndpoint(t, script)})
	}
	r.start()
	return r
}

func (r *rig) start() {
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	checks, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	log := zerolog.Nop()
	policy := eager{retry.New(time.Now(), retry.Limits{Ratio: 1000, Slack: 1000, Window: 10 * time.Second}, 1)}
	pool := upstream.New(upstream.Options{ConnectTimeout: patientConnect})
	r.server = New(Options{
		ClientListener: clients, ReadinessListener: checks, RoutingTable: func() *routing.Table { return r.table },
		Ready:           func() bool { return r.ready },
		ConnectionShare: func(s *routing.Service) int { return s.MaxConnections },
		Picker:          r.placer, RetryPolicy: policy, Pool: pool, Log: &log,
	})
	r.address, r.checks = clients.Addr().String(), checks.Addr().String()
	r.server.Start()
	r.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	r.t.Cleanup(func() {
		r.client.CloseIdleConnections()
		r.server.Close()
		pool.Close()
	})
}

// request makes a request of a client with id "a1" and five seconds' time.
func (r *rig) request(path, body string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.address+path, strings.NewReader(body))
	require.NoError(r.t, err)
	request.Host = "shop.example"
	request.Header.Set("X-Attempt-Id", "a1")
	request.Header.Set("X-Time-Left", "5000")
	return request
}

// answer is what a client has got.
type answer struct {
	status int
	header http.Header
	body   string
	whole  bool // the body's end was seen
}

// do sends a request and reads its answer as far as it goes.
func (r *rig) do(request *http.Request) answer {
	response, err := r.client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil}
}

// peer is one connection as an endpoint sees it.
type peer struct {
	*net.TCPConn
	reader *bufio.Reader
}

func startEndpoint(t *testing.T, script func(*peer)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer raw.Close()
				script(&peer{TCPConn: raw.(*net.TCPConn), reader: bufio.NewReader(raw)})
			}()
		}
	}()
	return listener.Addr().String()
}

// request reads one request with its body; nil at the connection's end.
func (p *peer) request() *http.Request {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}

func (p *peer) say(text string) { _, _ = io.WriteString(p.TCPConn, text) }

func (p *peer) reset() {
	_ = p.SetLinger(0)
	_ = p.Close()
}

func (p *peer) awaitEnd() { _, _ = io.Copy(io.Discard, p.reader) }

// says is a script that answers each request alike.
func says(text string) func(*peer) {
	return func(p *peer) {
		for p.request() != nil {
			p.say(text)
		}
	}
}

// breaks is a script that breaks off each request's answer after some text.
func breaks(text string) func(*peer) {
	return func(p *peer) {
		p.request()
		p.say(text)
	}
}

const (
	okHead     = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s1\r\n"
	okAnswer   = okHead + "Content-Length: 4\r\n\r\nbody"
	fullAnswer = "HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n"
	errAnswer  = "HTTP/1.1 500 Oops\r\nX-Attempt-Id: a1\r\nX-Own: 1\r\nContent-Length: 3\r\n\r\nerr"
	otherOne   = "HTTP/1.1 421 Other\r\nX-Endpoint-Id: i-z\r\nContent-Length: 0\r\n\r\n"
)
