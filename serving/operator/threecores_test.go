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
	memberpkg "rowanlink/serving/member"
	"rowanlink/serving/operator"
	"rowanlink/serving/quorum"
	"rowanlink/serving/register"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// memoryStorage is a replica's store in memory.
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

// core is a core member's control address over the real register, mesh and table of endpoints.
type core struct {
	name     string
	handler  http.Handler
	exchange *exchange.Exchange
	inner    *httptest.Server
	stop     context.CancelFunc
}

// startCores starts three core members on addresses of the loopback network, with one port as on real machines.
func startCores(t *testing.T) []*core {
	port, listeners := listenOnOnePort(t)
	var seeds []string
	for machine := range listeners {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:1", machine+1))
	}
	var cores []*core
	for machine, listener := range listeners {
		process := &settings.Process{NodeName: fmt.Sprintf("core-%d", machine+1), Zone: fmt.Sprintf("z%d", machine+1),
			Region: "r", IP: fmt.Sprintf("127.0.0.%d", machine+1), FirstPort: port, LastPort: port + 1, Seeds: seeds,
			FirstRun: true, Regions: map[string]string{"z1": "r", "z2": "r", "z3": "r"}, BeatInterval: time.Second}
		cores = append(cores, startCore(t, process, listener))
	}
	return cores
}

func listenOnOnePort(t *testing.T) (port int, listeners []net.Listener) {
	first, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port = first.Addr().(*net.TCPAddr).Port
	listeners = append(listeners, first)
	for machine := 2; machine <= 3; machine++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", machine, port))
		require.NoError(t, err)
		listeners = append(listeners, listener)
	}
	return port, listeners
}

func startCore(t *testing.T, process *settings.Process, listener net.Listener) *core {
	log := zerolog.Nop()
	ctx, stop := context.WithCancel(context.Background())
	client := rpc.NewClient()
	mux := http.NewServeMux()
	inner := &httptest.Server{Listener: listener, Config: &http.Server{Handler: mux}}
	inner.Start()
	self := state.Member{Name: process.NodeName, Role: state.RoleCore, Zone: process.Zone, Region: process.Region,
		Address: process.InnerAddress(), ControlAddress: process.IP + ":1", State: state.MemberReady}
	joined, err := memberpkg.Start(ctx, memberpkg.Options{Settings: process, Self: self, Client: client, Mux: mux, Log: &log})
	require.NoError(t, err)
	node, err := register.Start(ctx, register.NodeOptions{Settings: process, Storage: &memoryStorage{}, Client: client,
		Mux: mux, Log: &log, Committed: func(state.Record) {}, Peers: func() []register.Peer { return nil }})
	require.NoError(t, err)
	touch := &quorum.Checker{Voters: node, Self: process.InnerAddress(), IsLive: joined.IsLiveAt}
	linked := exchange.Start(ctx, exchange.Options{Gossip: joined, HeartbeatInterval: process.BeatInterval,
		HasQuorum: touch.HasQuorum, Log: &log})
	forwarder := &operator.Forwarder{Self: self, Regions: process.Regions, Members: joined.Members, Clock: time.Now}
	handler := operator.New(operator.Options{Register: operator.NewRegister(node), Endpoints: linked.Table(),
		Replicator: linked, Quorum: touch, Regions: process.Regions, ForwardTo: forwarder.ForwardTo, Log: &log})
	c := &core{name: process.NodeName, handler: handler, exchange: linked, inner: inner}
	c.stop = func() {
		stop()
		inner.CloseClientConnections()
		inner.Close()
		client.Close()
	}
	t.Cleanup(c.stop)
	return c
}

func (c *core) call(method, path, body, basedOn string) (status int, answer string) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if basedOn != "" {
		request.Header.Set("X-Based-On", basedOn)
	}
	recorder := httptest.NewRecorder()
	c.handler.ServeHTTP(recorder, request)
	read, _ := io.ReadAll(recorder.Result().Body)
	return recorder.Code, string(read)
}

// until repeats a call, as operators do, until it has the status.
func (c *core) until(t *testing.T, status int, method, path, body, basedOn string) {
	require.Eventually(t, func() bool {
		got, _ := c.call(method, path, body, basedOn)
		return got == status
	}, 20*time.Second, 20*time.Millisecond, "%s at %s", path, c.name)
}

func document(version int, mark string) string {
	return fmt.Sprintf(`{"edition":%d,"routings":[],"carriers":[],"mark":%q}`, version, mark)
}

// TestOrdersOverTheRealRegister runs an operator's orders against three core members, then against two.
func TestOrdersOverTheRealRegister(t *testing.T) {
	cores := startCores(t)
	first := document(3, "first")
	cores[0].until(t, 200, "POST", "/Settings.Replace", first, "0")
	for _, c := range cores {
		c.until(t, 200, "POST", "/Settings.Replace", first, "0") // sent again, to anybody
		_, read := c.call("GET", "/Settings.Read", "", "")
		assert.Equal(t, first, read, c.name)
	}
	for _, refused := range []struct {
		body, basedOn string
		status        int
	}{{document(9, "stale"), "2", 412}, {document(3, "other"), "3", 400}, {document(2, "old"), "3", 400}} {
		status, _ := cores[1].call("POST", "/Settings.Replace", refused.body, refused.basedOn)
		assert.Equal(t, refused.status, status, refused.body)
	}

	cores[2].stop()
	cores[0].until(t, 200, "POST", "/Settings.Replace", document(8, "second"), "3")
	cores[1].until(t, 200, "POST", "/Settings.Replace", first, "0") // it was in force once
	cores[1].until(t, 200, "POST", "/Clearance.Begin/z1", "", "")
	cores[0].until(t, 200, "POST", "/Clearance.Begin/z1", "", "")
	_, read := cores[1].call("GET", "/Settings.Read", "", "")
	assert.Equal(t, document(8, "second"), read)

	cores[1].stop()
	begun := time.Now()
	status, _ := cores[0].call("POST", "/Settings.Replace", document(12, "third"), "8")
	assert.Equal(t, 503, status, "no majority")
	status, _ = cores[0].call("GET", "/Settings.Read", "", "")
	assert.Equal(t, 503, status, "no majority")
	assert.Less(t, time.Since(begun), 6*time.Second)
}

// TestAmendmentsOverTheRealRegister: an amendment is carried out once, whoever gets it, and on nothing but its base.
func TestAmendmentsOverTheRealRegister(t *testing.T) {
	cores := startCores(t)
	cores[0].until(t, 200, "POST", "/Settings.Replace", document(3, "first"), "0")
	amendment := `{"edition":5,"upsert":{"carriers":[{"name":"s"},{"name":"t"}]}}`
	for _, c := range cores {
		c.until(t, 200, "POST", "/Settings.Amend", amendment, "3")
	}
	amended := `{"edition":5,"routings":[],"carriers":[{"name":"s"},{"name":"t"}],"mark":"first"}`
	_, read := cores[2].call("GET", "/Settings.Read", "", "")
	assert.Equal(t, amended, read)
	cores[1].until(t, 200, "POST", "/Settings.Replace", amended, "3") // it is what is in force
	for _, refused := range []struct {
		body, basedOn string
		status        int
	}{
		{`{"edition":6,"remove":{"carriers":["s"]}}`, "3", 412},
		{`{"edition":5,"remove":{"carriers":["s"]}}`, "3", 412},
		{`{"edition":4,"remove":{"carriers":["s"]}}`, "5", 400},
		{`{"edition":6,"upsert":{"routings":[{"name":"r","station":"x","lane_prefix":"/","carrier":"u"}]}}`, "5", 400},
		{`{"edition":6,"remove":{"carriers":["s","s"]}}`, "5", 400},
	} {
		status, _ := cores[1].call("POST", "/Settings.Amend", refused.body, refused.basedOn)
		assert.Equal(t, refused.status, status, refused.body)
	}
	cores[0].until(t, 200, "POST", "/Settings.Amend", `{"edition":9,"remove":{"carriers":["s","gone"]}}`, "5")
	cores[2].until(t, 200, "POST", "/Settings.Amend", amendment, "3") // long taken
	_, read = cores[1].call("GET", "/Settings.Read", "", "")
	assert.Equal(t, `{"edition":9,"routings":[],"carriers":[{"name":"t"}],"mark":"first"}`, read)
}

// TestAmendmentAgainstReplacement sends both on top of the same version, under one number, at once.
func TestAmendmentAgainstReplacement(t *testing.T) {
	cores := startCores(t)
	cores[0].until(t, 200, "POST", "/Settings.Replace", document(1, "first"), "0")
	for round := 1; round <= 5; round++ {
		orders := []struct{ path, body string }{
			{"/Settings.Amend", fmt.Sprintf(`{"edition":%d,"upsert":{"carriers":[{"name":"s%d"}]}}`, round+1, round)},
			{"/Settings.Replace", document(round+1, "whole")},
		}
		statuses := make([]int, len(orders))
		var both sync.WaitGroup
		for side, order := range orders {
			both.Go(func() {
				for statuses[side] = 503; statuses[side] == 503; {
					statuses[side], _ = cores[side].call("POST", order.path, order.body, fmt.Sprint(round))
				}
			})
		}
		both.Wait()
		assert.ElementsMatch(t, []int{200, 412}, statuses)
	}
}

// TestOfTwoOperatorsOneWins sends two configurations on top of the same version at once.
func TestOfTwoOperatorsOneWins(t *testing.T) {
	cores := startCores(t)
	cores[0].until(t, 200, "POST", "/Settings.Replace", document(1, "first"), "0")
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

// TestEndpointsReachAllMembers: what one member has acknowledged, the others know.
func TestEndpointsReachAllMembers(t *testing.T) {
	cores := startCores(t)
	body := `{"carrier":"s","address":"10.0.0.1:80","zone":"z2","state":%q,"call_seq":%d}`
	require.Eventually(t, func() bool {
		_, answer := cores[0].call("POST", "/Endpoints.Beat/e", fmt.Sprintf(body, "accepting", 1), "")
		return strings.Contains(answer, "127.0.0.2:1") // the member in the endpoint's zone is known
	}, 20*time.Second, 20*time.Millisecond)
	cores[0].until(t, 200, "POST", "/Endpoints.Beat/e", fmt.Sprintf(body, "closing", 2), "")
	for _, c := range cores {
		require.Eventually(t, func() bool {
			live := c.exchange.Table().Live()
			return len(live) == 1 && live[0].State == state.EndpointDraining
		}, 20*time.Second, 20*time.Millisecond, c.name)
	}
	cores[1].until(t, 200, "POST", "/Endpoints.SignOff/e", "", "")
	for _, c := range cores {
		require.Eventually(t, func() bool { return len(c.exchange.Table().Live()) == 0 }, 20*time.Second,
			20*time.Millisecond, c.name)
	}
}
