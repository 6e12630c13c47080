package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

const testConfiguration = `{"edition":3,"routings":[{"name":"fetch","station":"shop.example","lane_prefix":"/fetch/",
 "line_type":"repeatable","timeout_ms":5000,"target_ms":300,"precedence":1,"carrier":"plain","tries":2}],
 "carriers":[{"name":"plain","health_path":"/h","conn_cap":100}],
 "limits":{"header_bytes":4096,"body_bytes":100000,"header_wait_ms":3000,"idle_ms":15000}}`

func configuration(t *testing.T, version uint64, text string) state.Configuration {
	c, err := state.NewConfiguration(version, []byte(text))
	require.NoError(t, err)
	return c
}

func record(t *testing.T, revision, version uint64) *state.Record {
	text := strings.Replace(testConfiguration, `"edition":3`, `"edition":`+strconv.FormatUint(version, 10), 1)
	return &state.Record{Revision: revision, Configuration: configuration(t, version, text)}
}

func TestSystemView(t *testing.T) {
	view := newSystemView()
	one := state.Endpoint{ID: "i-1", Service: "plain"}
	two := state.Endpoint{ID: "i-2", Service: "plain", State: state.EndpointDraining}
	require.NoError(t, view.apply(&subscription.Response{Endpoints: []state.Endpoint{two}, Complete: true}))
	assert.False(t, view.canServe())
	require.NoError(t, view.apply(&subscription.Response{Record: &state.Record{Revision: 1}}))
	assert.Nil(t, view.table, "the record holds no configuration yet")
	require.NoError(t, view.apply(&subscription.Response{Record: record(t, 5, 3)}))
	assert.False(t, view.canServe(), "no endpoint accepts requests")
	require.NoError(t, view.apply(&subscription.Response{Endpoints: []state.Endpoint{one}}))
	assert.True(t, view.canServe())
	assert.Len(t, view.endpoints, 2)

	table := view.table
	require.NoError(t, view.apply(&subscription.Response{Record: record(t, 4, 2)}))
	assert.Same(t, table, view.table, "the table is never replaced by an older one")
	assert.EqualValues(t, 5, view.record.Revision)
	evacuated := record(t, 6, 3)
	evacuated.Evacuations = []state.Evacuation{{Zone: "z", Active: true}}
	require.NoError(t, view.apply(&subscription.Response{Record: evacuated}))
	assert.Same(t, table, view.table, "the same configuration is not parsed again")
	assert.True(t, view.snapshot(nil, nil).Record.Evacuated("z"))

	unreadable := &state.Record{Revision: 7, Configuration: configuration(t, 4, "{")}
	assert.Error(t, view.apply(&subscription.Response{Record: unreadable, Removed: []string{"i-1"}}))
	assert.Same(t, table, view.table)
	assert.NotContains(t, view.endpoints, "i-1", "the rest of the response is applied")
	require.NoError(t, view.apply(&subscription.Response{Record: record(t, 8, 5)}))
	assert.EqualValues(t, 5, view.table.Version)
	require.NoError(t, view.apply(&subscription.Response{Complete: true, Endpoints: []state.Endpoint{one}}))
	assert.Len(t, view.endpoints, 1)
}

// fakeAgent responds to polls with the responses that tests send to a channel, and records the requests.
type fakeAgent struct {
	responses chan *subscription.Response
	requests  chan subscription.Request
}

func (a *fakeAgent) watch(ctx context.Context, request *subscription.Request) (*subscription.Response, error) {
	a.requests <- *request
	select {
	case response := <-a.responses:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// freePort returns a free port. The next port, at which a proxy polls its agent, is free too.
func freePort(t *testing.T) int {
	for range 100 {
		first, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		port := first.Addr().(*net.TCPAddr).Port
		next, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", loopbackAddress(port+1))
		_ = first.Close()
		if err == nil {
			_ = next.Close()
			return port
		}
	}
	require.FailNow(t, "no two free ports in a row")
	return 0
}

func loopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// uniqueLoopbackHost returns a loopback address that very probably no other test uses. On a shared address, finding a
// free port isn't enough: the agent's port follows from another one, and the port next to a free one may be in use.
func uniqueLoopbackHost() string {
	return fmt.Sprintf("127.%d.%d.1", 64+rand.IntN(180), 1+rand.IntN(250))
}

// startAgent starts a fake agent at the address at which the proxy polls its agent.
func startAgent(t *testing.T, address string) *fakeAgent {
	a := &fakeAgent{responses: make(chan *subscription.Response), requests: make(chan subscription.Request, 100)}
	mux := http.NewServeMux()
	subscription.WatchMethod.Serve(mux, a.watch)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return a
}

// TestRun_FromStartToGracefulShutdown starts a proxy with an agent, sends a request through it, and shuts it down.
func TestRun_FromStartToGracefulShutdown(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Postmark", "s")
		_, _ = io.WriteString(w, "body "+r.Header.Get("X-Deliver-To"))
	}))
	defer endpoint.Close()
	host := uniqueLoopbackHost()
	process := &settings.Process{
		NodeName: "n", IP: host, Zone: "z", Region: "r", Regions: map[string]string{"z": "r"}, FirstPort: 17160,
		Bind:   settings.Bind{Front: net.JoinHostPort(host, "17144"), Ready: net.JoinHostPort(host, "17140")},
		Limits: settings.Limits{MemoryMB: 100, FileLimit: 1000, CPUCores: 1},
		Bounds: settings.Bounds{
			Grace:       400 * time.Millisecond,
			RetryRatio:  1,
			RetrySlack:  100,
			RetryWindow: time.Second,
		},
	}
	agent := startAgent(t, process.SubscriptionAddress())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	log := zerolog.Nop()
	go func() { ended <- Run(ctx, process, "", &log) }()

	first := <-agent.requests
	assert.Equal(t, state.MemberStarting, first.State)
	assert.Equal(t, process.Bind.Front, first.ClientAddress)
	assert.NotZero(t, first.Incarnation)
	assert.Equal(t, 503, fetch(t, process.Bind.Front, "/fetch/x").status)
	assert.Equal(t, 503, fetch(t, process.Bind.Ready, "/readiness").status)
	agent.responses <- &subscription.Response{
		Cursor: subscription.Cursor{Incarnation: 7, Position: 1}, Complete: true, Record: record(t, 1, 3),
		Endpoints: []state.Endpoint{{ID: "i-1", Service: "plain", Zone: "z", Slots: 6, Sequence: 1,
			Address: endpoint.Listener.Addr().String()}},
		Proxies: subscription.ProxyCounts{Live: 1, MaxRunning: 1, LiveInRegion: 1},
	}
	second := <-agent.requests
	assert.Equal(t, state.MemberReady, second.State)
	assert.Equal(t, subscription.Cursor{Incarnation: 7, Position: 1}, second.Since)
	assert.Equal(t, first.Incarnation, second.Incarnation)
	assert.Equal(t, 200, fetch(t, process.Bind.Ready, "/readiness").status)
	got := fetch(t, process.Bind.Front, "/fetch/x")
	assert.Equal(t, 200, got.status)
	assert.Equal(t, "body i-1", got.body)

	stop()
	assert.Equal(t, state.MemberLeaving, (<-agent.requests).State, "the poll in flight is interrupted")
	assert.Equal(t, 503, fetch(t, process.Bind.Ready, "/readiness").status)
	assert.NoError(t, <-ended)
}

type fetchResult struct {
	status int
	body   string
}

func fetch(t *testing.T, address, path string) fetchResult {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	require.NoError(t, err)
	request.Host, request.Close = "shop.example", true
	request.Header.Set("X-Attempt-Id", "a1")
	request.Header.Set("X-Time-Left", "5000")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return fetchResult{response.StatusCode, string(body)}
}

// TestAgentPoller_ReconnectsWithItsState: while the agent is unreachable, the poller retains its pending observations.
// It reports them once the agent responds.
func TestAgentPoller_ReconnectsWithItsState(t *testing.T) {
	address := loopbackAddress(freePort(t))
	log := zerolog.Nop()
	applied := make(chan *subscription.Response, 10)
	poller := &agentPoller{
		rolloutReports: func() []state.RolloutReport { return nil },
		client:         rpc.NewClient(), address: address, clientAddress: "f", log: &log,
		apply: func(r *subscription.Response) (subscription.Cursor, state.MemberState) {
			applied <- r
			return r.Cursor, state.MemberReady
		},
		takeObservations: func() []state.Observation { return nil },
	}
	observed := []state.Observation{{EndpointID: "i-1", Failures: 1}}
	poller.pending = observed
	_, interrupted, err := poller.poll(context.Background())
	require.Error(t, err)
	assert.False(t, interrupted)
	assert.Equal(t, observed, poller.pending, "unreported observations are retained")

	agent := startAgent(t, address)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		poller.run(ctx)
		close(done)
	}()
	first := <-agent.requests
	assert.Equal(t, observed, first.Observations)
	agent.responses <- &subscription.Response{Cursor: subscription.Cursor{Incarnation: 1, Position: 2}}
	<-applied
	next := <-agent.requests
	assert.Empty(t, next.Observations)
	assert.Equal(t, state.MemberReady, next.State)
	poller.announceLeaving()
	assert.Equal(t, state.MemberLeaving, (<-agent.requests).State)
	agent.responses <- &subscription.Response{}
	<-applied
	assert.Equal(t, state.MemberLeaving, (<-agent.requests).State, "the state never reverts")
	stop()
	<-done
}

// TestPollDelay: the longer an update takes to apply, the longer the delay, up to a limit.
func TestPollDelay(t *testing.T) {
	assert.Equal(t, minPollDelay, pollDelay(0))
	assert.Equal(t, 100*time.Millisecond, pollDelay(2*time.Millisecond))
	assert.Equal(t, maxPollDelay, pollDelay(time.Second))
}
