package member

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

// testLimit bounds the waits of the tests that use sockets. Passing tests take much less.
const testLimit = 20 * time.Second

// testProcess is a member with its own HTTP server on a loopback address.
type testProcess struct {
	service *Service
	server  *http.Server
	client  *rpc.Client
}

// freePort returns a port that is currently free on all loopback addresses.
func freePort(t *testing.T) int {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "0.0.0.0:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// startProcess starts the member with number i. Members 1 and 2 are the seeds of all.
func startProcess(t *testing.T, port, i int, role state.Role) *testProcess {
	t.Helper()
	ip := fmt.Sprintf("127.0.3.%d", i)
	seeds := []string{"127.0.3.1:" + strconv.Itoa(port+1), "127.0.3.2:" + strconv.Itoa(port+1)}
	process := &settings.Process{IP: ip, FirstPort: port, Seeds: seeds}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", process.InternalAddress())
	require.NoError(t, err)
	mux := http.NewServeMux()
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	log := zerolog.Nop()
	client := rpc.NewClient()
	self := state.Member{Name: fmt.Sprintf("member-%d", i), Role: role, Zone: fmt.Sprintf("z%d", i%2),
		Region: "r", Address: process.InternalAddress(), State: state.MemberReady}
	service, err := Start(context.Background(),
		Options{Settings: process, Self: self, Client: client, Mux: mux, Log: &log})
	require.NoError(t, err)
	started := &testProcess{service: service, server: server, client: client}
	t.Cleanup(started.stop)
	return started
}

// stop ends a member without notifying its peers.
func (p *testProcess) stop() {
	_ = p.server.Close()
	p.service.Close()
	p.client.Close()
}

// waitForEntries waits until a condition holds, which it checks after each change of the table.
func waitForEntries(t *testing.T, m *Service, table gossip.TableID, condition func() bool) {
	t.Helper()
	changed := make(chan struct{}, 1)
	m.Subscribe(table, func(gossip.Entry) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	limit := time.After(testLimit)
	for !condition() {
		select {
		case <-changed:
		case <-limit:
			require.FailNow(t, "condition not met in time")
		}
	}
}

func TestService_MembersOverLoopback(t *testing.T) {
	port := freePort(t)
	var all []*testProcess
	for i := 5; i >= 1; i-- { // the seeds start last
		role := state.RoleAgent
		if i <= 2 {
			role = state.RoleCore
		}
		all = append(all, startProcess(t, port, i, role))
	}
	for _, process := range all {
		waitForEntries(t, process.service, gossip.TableMembers, func() bool { return len(process.service.Members()) == 5 })
		assert.Equal(t, 3, process.service.CountProxies().Live)
		assert.Equal(t, 3, process.service.CountProxies().MaxRunning)
	}

	entry := gossip.Entry{Table: gossip.TableRecord, Key: gossip.RecordKey, Version: gossip.NewVersion(3, 0),
		Value: make([]byte, 100_000)}
	all[0].service.Put(entry)
	for _, process := range all {
		waitForEntries(t, process.service, gossip.TableRecord, func() bool {
			got, ok := process.service.Get(gossip.TableRecord, gossip.RecordKey)
			return ok && got.Version == entry.Version
		})
	}

	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	entry = gossip.Entry{Table: gossip.TableEndpoints, Key: "e", Version: gossip.NewVersion(1, 0), Value: []byte{1}}
	require.NoError(t, all[0].service.PutReplicated(ctx, entry, 2))
	got, ok := all[4].service.Get(gossip.TableEndpoints, "e")
	assert.True(t, ok, "core members come first")
	assert.Equal(t, entry.Value, got.Value)
	err := all[0].service.PutReplicated(ctx, entry, 9)
	assert.True(t, errcode.TooFewMembers.Is(err))

	assignment := singleton.Assignment{}
	for _, process := range all {
		if found := process.service.AcquireRole("repair", singleton.Scope{Role: state.RoleCore}); found.Local {
			assignment = found
		}
	}
	assert.NotEmpty(t, assignment.Holder)

	require.NoError(t, all[0].service.Leave(ctx))
	waitForEntries(t, all[4].service, gossip.TableMembers, func() bool { return len(all[4].service.Members()) == 4 })
}

// TestService_RelaysProbes requests a relay to probe a running member, a member that was stopped, and one that the relay
// doesn't know.
func TestService_RelaysProbes(t *testing.T) {
	port := freePort(t)
	relay := startProcess(t, port, 1, state.RoleCore)
	others := []*testProcess{startProcess(t, port, 2, state.RoleCore), startProcess(t, port, 3, state.RoleAgent)}
	waitForEntries(t, relay.service, gossip.TableMembers, func() bool { return len(relay.service.Members()) == 3 })
	others[1].stop()
	for name, responds := range map[string]bool{"member-2": true, "member-3": false, "unknown": false} {
		ctx, cancel := context.WithTimeout(t.Context(), relayRequestTimeout)
		response, err := probeMethod.Call(ctx, others[0].client, relay.service.Self().Address, &probeRequest{Member: name})
		cancel()
		require.NoError(t, err)
		assert.Equal(t, responds, response.Responded, name)
	}
}
