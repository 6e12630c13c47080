package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/gossip"
	"rowanlink/serving/member"
	"rowanlink/serving/process"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// seedIP is the address of the seed through which the agent joins. All addresses of 127/8 are on loopback.
const seedIP = "127.0.0.2"

// startSeed starts a member as the agent's seed.
func startSeed(t *testing.T, agentSettings *settings.Process) *member.Service {
	t.Helper()
	seedSettings := *agentSettings
	seedSettings.NodeName = "seed"
	seedSettings.IP = seedIP
	seedSettings.Seeds = nil
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", seedSettings.InternalAddress())
	require.NoError(t, err, "needs a second loopback address")
	mux := http.NewServeMux()
	process.Serve(listener, &http.Server{Handler: mux})
	client := rpc.NewClient()
	log := zerolog.Nop()
	seed, err := member.Start(t.Context(), member.Options{
		Settings: &seedSettings,
		Client:   client,
		Mux:      mux,
		Log:      &log,
		Self: state.Member{
			Name:    "seed",
			Role:    state.RoleCore,
			Zone:    "z",
			Region:  "r",
			Address: seedSettings.InternalAddress(),
			State:   state.MemberReady,
		},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		seed.Close()
		client.Close()
		_ = listener.Close()
	})
	return seed
}

// publish makes the seed gossip a value.
func publish(t *testing.T, seed *member.Service, table gossip.TableID, key string, version uint64, value any) {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	require.NoError(t, err)
	seed.Put(gossip.Entry{Table: table, Key: key, Version: gossip.NewVersion(version, 0), Value: encoded})
}

// agentProcess is one run of an agent.
type agentProcess struct {
	terminate context.CancelFunc
	ended     chan error
}

func startAgentProcess(t *testing.T, process *settings.Process, path string) agentProcess {
	t.Helper()
	ctx, terminate := context.WithCancel(t.Context())
	log := zerolog.Nop()
	started := agentProcess{terminate: terminate, ended: make(chan error, 1)}
	go func() { started.ended <- Run(ctx, Options{Settings: process, SettingsPath: path, Log: &log}) }()
	return started
}

// pollUntil polls like a proxy and applies the responses to its copy until the condition holds.
func pollUntil(t *testing.T, client *rpc.Client, address string, proxy *proxyReplica, condition func() bool) {
	t.Helper()
	request := &subscription.Request{
		Incarnation:   1,
		State:         state.MemberReady,
		ClientAddress: "127.0.0.1:80",
		WaitMillis:    1000,
	}
	require.Eventually(t, func() bool {
		request.Since = proxy.cursor
		response, err := subscription.WatchMethod.Call(t.Context(), client, address, request)
		if err == nil {
			proxy.apply(response)
		}
		return condition()
	}, 20*time.Second, time.Millisecond)
}

// TestRun_RestartedAgentSynchronizesFromASeed restarts an agent while the record and an endpoint change. Its proxy must
// never get an older record than it has, and must end up with the seed's data.
func TestRun_RestartedAgentSynchronizesFromASeed(t *testing.T) {
	process, path := newLoopbackSettings(t)
	seed := startSeed(t, process)
	process.Seeds = []string{net.JoinHostPort(seedIP, strconv.Itoa(process.LastPort))}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = fmt.Fprintf(file, "seed_nodes=%s\n", process.Seeds[0])
	require.NoError(t, err)
	require.NoError(t, file.Close())

	publish(t, seed, gossip.TableRecord, gossip.RecordKey, 5, state.Record{Revision: 5})
	major := endpoints.VersionOf(newEndpoint("e", 1)).Major
	publish(t, seed, gossip.TableEndpoints, "e", major, newEndpoint("e", 1))
	client := rpc.NewClient()
	defer client.Close()
	proxy := newProxyReplica()
	first := startAgentProcess(t, process, path)
	pollUntil(t, client, process.SubscriptionAddress(), proxy, func() bool {
		return proxy.revision == 5 && proxy.endpoints["e"] == 1
	})
	first.terminate()
	require.NoError(t, <-first.ended)

	publish(t, seed, gossip.TableRecord, gossip.RecordKey, 6, state.Record{Revision: 6})
	publish(t, seed, gossip.TableEndpoints, "e", 2, newEndpoint("e", 2))
	second := startAgentProcess(t, process, path)
	pollUntil(t, client, process.SubscriptionAddress(), proxy, func() bool {
		assert.GreaterOrEqual(t, proxy.revision, uint64(5))
		return proxy.revision == 6 && proxy.endpoints["e"] == 2
	})
	second.terminate()
	require.NoError(t, <-second.ended)
}
