package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
	"rowanlink/serving/introspect"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// findFreePorts returns the first of two consecutive free ports, and another free port.
func findFreePorts(t *testing.T) (first, single int) {
	t.Helper()
	var listen net.ListenConfig
	for range 100 {
		a, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		first = a.Addr().(*net.TCPAddr).Port
		b, err := listen.Listen(t.Context(), "tcp", fmt.Sprintf("127.0.0.1:%d", first+1))
		_ = a.Close()
		if err != nil {
			continue
		}
		c, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		_, _ = b.Close(), c.Close()
		return first, c.Addr().(*net.TCPAddr).Port
	}
	t.Fatal("no two consecutive free ports")
	return 0, 0
}

// newLoopbackSettings writes and loads the settings of an agent on loopback.
func newLoopbackSettings(t *testing.T) (process *settings.Process, path string) {
	t.Helper()
	first, directory := findFreePorts(t)
	path = filepath.Join(t.TempDir(), "local.conf")
	content := fmt.Sprintf("node_name=a\nip_addr=127.0.0.1\nzone=z\nregion=r\nfirst_run=true\nport_range=%d,%d\n"+
		"bind.directory_addr=127.0.0.1:%d\n", first, first+1, directory)
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	process, err := settings.Load(path)
	require.NoError(t, err)
	return process, path
}

// TestRun_OnLoopback runs an agent from start to shutdown. Meanwhile a proxy polls, a client looks up addresses, and an
// operator fetches a report.
func TestRun_OnLoopback(t *testing.T) {
	process, path := newLoopbackSettings(t)
	ctx, terminate := context.WithCancel(t.Context())
	log := zerolog.Nop()
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, Options{Settings: process, SettingsPath: path, Log: &log}) }()

	client := rpc.NewClient()
	defer client.Close()
	request := &subscription.Request{Incarnation: 1, State: state.MemberReady, ClientAddress: "127.0.0.1:80", WaitMillis: 5000}
	var response *subscription.Response
	require.Eventually(t, func() (up bool) {
		var err error
		response, err = subscription.WatchMethod.Call(ctx, client, process.SubscriptionAddress(), request)
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	assert.Nil(t, response.Record)

	lookup, err := http.NewRequestWithContext(t.Context(), http.MethodGet,
		"http://"+process.Bind.Directory+"/lookup?zone=z&region=r", nil)
	require.NoError(t, err)
	answer, err := http.DefaultClient.Do(lookup)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	var decoded lookupResponse
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&decoded))
	assert.Equal(t, []string{"127.0.0.1:80"}, decoded.Addresses)

	report, err := introspect.Fetch(ctx, client, process.InternalAddress(), introspect.Request{IncludeTables: true})
	require.NoError(t, err)
	assert.Equal(t, "a", report.Self.Name)
	assert.Equal(t, state.MemberReady, report.Self.State)

	terminate()
	assert.NoError(t, <-ended)
}

func TestRun_FailsIfAnAddressIsInUse(t *testing.T) {
	process, path := newLoopbackSettings(t)
	occupant, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", process.SubscriptionAddress())
	require.NoError(t, err)
	defer func() { _ = occupant.Close() }()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel() // Run otherwise retries for some time, since the previous process may still be exiting
	log := zerolog.Nop()
	err = Run(cancelled, Options{Settings: process, SettingsPath: path, Log: &log})
	assert.True(t, errcode.AgentAddressInUse.Is(err))
}
