package operator_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/endpoints/exchange"
	"rowanlink/serving/member"
	"rowanlink/serving/operator"
	"rowanlink/serving/quorum"
	"rowanlink/serving/register"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// memoryStorage is an in-memory store of a replica.
type memoryStorage struct {
	mutex sync.Mutex
	saved *register.AcceptorState
}

func (m *memoryStorage) Load() (register.AcceptorState, bool, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.saved == nil {
		return register.AcceptorState{}, false, nil
	}
	return *m.saved, true, nil
}

func (m *memoryStorage) Save(next register.AcceptorState) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.saved = &next
	return nil
}

// core is a core member with a real register, membership and table of endpoints, and with the handler of its control
// address.
type core struct {
	name     string
	handler  http.Handler
	exchange *exchange.Exchange
	internal *httptest.Server
	stop     context.CancelFunc
}

// startCores starts three core members on different loopback addresses with the same port, as on real machines.
func startCores(t *testing.T) []*core {
	t.Helper()
	port, listeners := listenOnOnePort(t)
	var seeds []string
	for machine := range listeners {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:1", machine+1))
	}
	var cores []*core
	for machine, listener := range listeners {
		cores = append(cores, startCore(t, &settings.Process{
			NodeName:          fmt.Sprintf("core-%d", machine+1),
			Zone:              fmt.Sprintf("z%d", machine+1),
			Region:            "r",
			Regions:           map[string]string{"z1": "r", "z2": "r", "z3": "r"},
			IP:                fmt.Sprintf("127.0.0.%d", machine+1),
			FirstPort:         port,
			LastPort:          port + 1,
			Seeds:             seeds,
			FirstRun:          true,
			HeartbeatInterval: time.Second,
		}, listener))
	}
	return cores
}

// listenOnOnePort listens on the same port at 127.0.0.1, 127.0.0.2 and 127.0.0.3.
func listenOnOnePort(t *testing.T) (port int, listeners []net.Listener) {
	t.Helper()
	var config net.ListenConfig
	first, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port = first.Addr().(*net.TCPAddr).Port
	listeners = append(listeners, first)
	for machine := 2; machine <= 3; machine++ {
		listener, err := config.Listen(t.Context(), "tcp", fmt.Sprintf("127.0.0.%d:%d", machine, port))
		require.NoError(t, err)
		listeners = append(listeners, listener)
	}
	return port, listeners
}

func startCore(t *testing.T, process *settings.Process, listener net.Listener) *core {
	t.Helper()
	log := zerolog.Nop()
	ctx, stop := context.WithCancel(context.Background())
	client := rpc.NewClient()
	mux := http.NewServeMux()
	internal := &httptest.Server{Listener: listener, Config: &http.Server{Handler: mux}}
	internal.Start()
	self := newCoreSelf(process)
	members, err := member.Start(ctx, member.Options{
		Settings: process,
		Self:     self,
		Client:   client,
		Mux:      mux,
		Log:      &log,
	})
	require.NoError(t, err)
	node, err := register.Start(ctx, register.NodeOptions{
		Settings:  process,
		Storage:   &memoryStorage{},
		Client:    client,
		Mux:       mux,
		Log:       &log,
		Committed: func(state.Record) {},
		Peers:     func() []register.Peer { return nil },
	})
	require.NoError(t, err)
	quorumChecker := &quorum.Checker{Voters: node, Self: process.InternalAddress(), IsLive: members.IsLiveAt}
	endpointExchange := exchange.Start(ctx, exchange.Options{
		Gossip:            members,
		HeartbeatInterval: process.HeartbeatInterval,
		HasQuorum:         quorumChecker.HasQuorum,
		Persist:           func(context.Context, []state.Endpoint) error { return nil },
		Log:               &log,
	})
	members.SetPersister(endpointExchange.PersistEntries)
	handler := operator.New(operator.Options{
		Register:   operator.NewRegister(node),
		Endpoints:  endpointExchange.Table(),
		Replicator: endpointExchange,
		Quorum:     quorumChecker,
		Regions:    process.Regions,
		ForwardTo:  newForwarder(self, process, members).ForwardTo,
		Log:        &log,
	})
	c := &core{
		name:     process.NodeName,
		handler:  handler,
		exchange: endpointExchange,
		internal: internal,
	}
	c.stop = func() {
		stop()
		internal.CloseClientConnections()
		internal.Close()
		client.Close()
	}
	t.Cleanup(c.stop)
	return c
}

// newCoreSelf returns the local member of a core process.
func newCoreSelf(process *settings.Process) state.Member {
	return state.Member{
		Name:           process.NodeName,
		Role:           state.RoleCore,
		Zone:           process.Zone,
		Region:         process.Region,
		Address:        process.InternalAddress(),
		ControlAddress: process.IP + ":1",
		State:          state.MemberReady,
	}
}

func newForwarder(self state.Member, process *settings.Process, members *member.Service) *operator.Forwarder {
	return &operator.Forwarder{
		Self:    self,
		Regions: process.Regions,
		Members: members.Members,
		Clock:   time.Now,
	}
}

func (c *core) call(method, path, body, baseVersion string) (status int, responseBody string) {
	request := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	if baseVersion != "" {
		request.Header.Set("X-Based-On", baseVersion)
	}
	recorder := httptest.NewRecorder()
	c.handler.ServeHTTP(recorder, request)
	read, _ := io.ReadAll(recorder.Result().Body)
	return recorder.Code, string(read)
}

// postUntilOK repeats a POST, as operators' clients do, until it gets status 200.
func (c *core) postUntilOK(t *testing.T, path, body, baseVersion string) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, _ := c.call("POST", path, body, baseVersion)
		return status == http.StatusOK
	}, 20*time.Second, 20*time.Millisecond, "%s at %s", path, c.name)
}

func document(version int, label string) string {
	return fmt.Sprintf(`{"edition":%d,"routings":[],"carriers":[],"mark":%q}`, version, label)
}

// TestThreeCores_Changes makes an operator's changes with three core members, then with two, then with one.
func TestThreeCores_Changes(t *testing.T) {
	cores := startCores(t)
	first := document(3, "first")
	cores[0].postUntilOK(t, "/Settings.Replace", first, "0")
	for _, c := range cores {
		c.postUntilOK(t, "/Settings.Replace", first, "0") // sent again, to any member
		_, read := c.call("GET", "/Settings.Read", "", "")
		assert.Equal(t, first, read, c.name)
	}
	for _, rejected := range []struct {
		body, baseVersion string
		status            int
	}{{document(9, "stale"), "2", 412}, {document(3, "other"), "3", 400}, {document(2, "old"), "3", 400}} {
		status, _ := cores[1].call("POST", "/Settings.Replace", rejected.body, rejected.baseVersion)
		assert.Equal(t, rejected.status, status, rejected.body)
	}

	cores[2].stop()
	cores[0].postUntilOK(t, "/Settings.Replace", document(8, "second"), "3")
	cores[1].postUntilOK(t, "/Settings.Replace", first, "0") // it was committed before
	cores[1].postUntilOK(t, "/Clearance.Begin/z1", "", "")
	cores[0].postUntilOK(t, "/Clearance.Begin/z1", "", "")
	_, read := cores[1].call("GET", "/Settings.Read", "", "")
	assert.Equal(t, document(8, "second"), read)

	cores[1].stop()
	start := time.Now()
	status, _ := cores[0].call("POST", "/Settings.Replace", document(12, "third"), "8")
	assert.Equal(t, 503, status, "no majority")
	status, _ = cores[0].call("GET", "/Settings.Read", "", "")
	assert.Equal(t, 503, status, "no majority")
	assert.Less(t, time.Since(start), 6*time.Second)
}

// TestThreeCores_Amendments: an amendment is applied once even if several members get it, and only to its base version.
func TestThreeCores_Amendments(t *testing.T) {
	cores := startCores(t)
	cores[0].postUntilOK(t, "/Settings.Replace", document(3, "first"), "0")
	amendment := `{"edition":5,"upsert":{"carriers":[{"name":"s"},{"name":"t"}]}}`
	for _, c := range cores {
		c.postUntilOK(t, "/Settings.Amend", amendment, "3")
	}
	amended := `{"edition":5,"routings":[],"carriers":[{"name":"s"},{"name":"t"}],"mark":"first"}`
	_, read := cores[2].call("GET", "/Settings.Read", "", "")
	assert.Equal(t, amended, read)
	cores[1].postUntilOK(t, "/Settings.Replace", amended, "3") // it equals the current one
	for _, rejected := range []struct {
		body, baseVersion string
		status            int
	}{
		{`{"edition":6,"remove":{"carriers":["s"]}}`, "3", 412},
		{`{"edition":5,"remove":{"carriers":["s"]}}`, "3", 412},
		{`{"edition":4,"remove":{"carriers":["s"]}}`, "5", 400},
		{`{"edition":6,"upsert":{"routings":[{"name":"r","station":"x","lane_prefix":"/","carrier":"u"}]}}`, "5", 400},
		{`{"edition":6,"remove":{"carriers":["s","s"]}}`, "5", 400},
	} {
		status, _ := cores[1].call("POST", "/Settings.Amend", rejected.body, rejected.baseVersion)
		assert.Equal(t, rejected.status, status, rejected.body)
	}
	cores[0].postUntilOK(t, "/Settings.Amend", `{"edition":9,"remove":{"carriers":["s","gone"]}}`, "5")
	cores[2].postUntilOK(t, "/Settings.Amend", amendment, "3") // applied before
	_, read = cores[1].call("GET", "/Settings.Read", "", "")
	assert.Equal(t, `{"edition":9,"routings":[],"carriers":[{"name":"t"}],"mark":"first"}`, read)
}

// TestThreeCores_AmendmentRacesReplacement concurrently sends an amendment and a replacement with the same base version
// and the same new version: one is committed and the other is rejected.
func TestThreeCores_AmendmentRacesReplacement(t *testing.T) {
	cores := startCores(t)
	cores[0].postUntilOK(t, "/Settings.Replace", document(1, "first"), "0")
	for round := 1; round <= 5; round++ {
		changes := []struct{ path, body string }{
			{"/Settings.Amend", fmt.Sprintf(`{"edition":%d,"upsert":{"carriers":[{"name":"s%d"}]}}`, round+1, round)},
			{"/Settings.Replace", document(round+1, "whole")},
		}
		statuses := make([]int, len(changes))
		var both sync.WaitGroup
		for side, change := range changes {
			both.Go(func() {
				for statuses[side] = 503; statuses[side] == 503; {
					statuses[side], _ = cores[side].call("POST", change.path, change.body, fmt.Sprint(round))
				}
			})
		}
		both.Wait()
		assert.ElementsMatch(t, []int{200, 412}, statuses)
	}
}

// TestThreeCores_ConcurrentReplacements concurrently sends two configurations with the same base version and the same
// new version: one is committed and the other is rejected.
func TestThreeCores_ConcurrentReplacements(t *testing.T) {
	cores := startCores(t)
	cores[0].postUntilOK(t, "/Settings.Replace", document(1, "first"), "0")
	for round := 1; round <= 5; round++ {
		statuses := make([]int, 2)
		var both sync.WaitGroup
		for side := range statuses {
			both.Go(func() {
				body := document(round+1, fmt.Sprint("side ", side))
				for statuses[side] = 503; statuses[side] == 503; {
					statuses[side], _ = cores[side].call("POST", "/Settings.Replace", body, fmt.Sprint(round))
				}
			})
		}
		both.Wait()
		assert.ElementsMatch(t, []int{200, 412}, statuses)
	}
}

// TestThreeCores_EndpointsReachAllMembers: the other members receive what one member has acknowledged.
func TestThreeCores_EndpointsReachAllMembers(t *testing.T) {
	cores := startCores(t)
	body := `{"carrier":"s","address":"10.0.0.1:80","zone":"z2","state":%q,"call_seq":%d}`
	require.Eventually(t, func() bool {
		_, response := cores[0].call("POST", "/Endpoints.Beat/e", fmt.Sprintf(body, "accepting", 1), "")
		return strings.Contains(response, "127.0.0.2:1") // the member in the endpoint's zone is known
	}, 20*time.Second, 20*time.Millisecond)
	cores[0].postUntilOK(t, "/Endpoints.Beat/e", fmt.Sprintf(body, "closing", 2), "")
	for _, c := range cores {
		require.Eventually(t, func() bool {
			live := c.exchange.Table().Live()
			return len(live) == 1 && live[0].State == state.EndpointDraining
		}, 20*time.Second, 20*time.Millisecond, c.name)
	}
	cores[1].postUntilOK(t, "/Endpoints.SignOff/e", "", "")
	for _, c := range cores {
		require.Eventually(t, func() bool { return len(c.exchange.Table().Live()) == 0 }, 20*time.Second,
			20*time.Millisecond, c.name)
	}
}
