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

// freePorts finds two ports in a row, and one more, that nobody listens on.
func freePorts(t *testing.T) (first, single int) {
	for range 100 {
		a, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		first = a.Addr().(*net.TCPAddr).Port
		b, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+1))
		_ = a.Close()
		if err != nil {
			continue
		}
		c, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		_, _ = b.Close(), c.Close()
		return first, c.Addr().(*net.TCPAddr).Port
	}
	t.Fatal("no two free ports in a row")
	return 0, 0
}

// loopback writes the settings of an agent on this machine.
func loopback(t *testing.T) (process *settings.Process, path string) {
	first, directory := freePorts(t)
	path = filepath.Join(t.TempDir(), "local.conf")
	content := fmt.Sprintf("node_name=a\nip_addr=127.0.0.1\nzone=z\nregion=r\nfirst_run=true\nport_range=%d,%d\n"+
		"bind.directory_addr=127.0.0.1:%d\n", first, first+1, directory)
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	process, err := settings.Load(path)
	require.NoError(t, err)
	return process, path
}

// TestRunOnLoopback plays a whole life: a proxy polls, clients look up, an operator looks in, and SIGTERM ends it.
func TestRunOnLoopback(t *testing.T) {
	process, path := loopback(t)
	ctx, terminate := context.WithCancel(t.Context())
	log := zerolog.Nop()
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, Options{Settings: process, SettingsPath: path, Log: &log}) }()

	client := rpc.NewClient()
	defer client.Close()
	request := &subscription.Request{Incarnation: 1, State: state.MemberReady, Front: "127.0.0.1:80", WaitMillis: 5000}
	var response *subscription.Response
	require.Eventually(t, func() (up bool) {
		var err error
		response, err = subscription.Watch.Call(ctx, client, process.FeedAddress(), request)
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	assert.Nil(t, response.Record)

	answer, err := http.Get("http://" + process.Bind.Directory + "/lookup?zone=z&region=r")
	require.NoError(t, err)
	defer answer.Body.Close()
	var found lookupAnswer
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&found))
	assert.Equal(t, []string{"127.0.0.1:80"}, found.Addresses)

	report, err := introspect.Fetch(ctx, client, process.InnerAddress(), introspect.Request{IncludeTables: true})
	require.NoError(t, err)
	assert.Equal(t, "a", report.Self.Name)
	assert.Equal(t, state.MemberReady, report.Self.State)

	terminate()
	assert.NoError(t, <-ended)
}

func TestRunNeedsItsAddresses(t *testing.T) {
	process, path := loopback(t)
	taken, err := net.Listen("tcp", process.FeedAddress())
	require.NoError(t, err)
	defer taken.Close()
	hurried, cancel := context.WithCancel(t.Context())
	cancel() // no time for the process before this one to go
	log := zerolog.Nop()
	err = Run(hurried, Options{Settings: process, SettingsPath: path, Log: &log})
	assert.True(t, errcode.AgentAddressInUse.Is(err))
}
