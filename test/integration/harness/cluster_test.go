package harness_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

var binary, alone string

func TestMain(m *testing.M) {
	if os.Getenv("ROWAN_CUT_OFF") != "" {
		os.Exit(m.Run())
	}
	var ends []func()
	for command, path := range map[string]*string{"rowan-clustered": &binary, "rowanlink": &alone} {
		built, remove, err := harness.Build("../../..", command)
		if err != nil {
			panic(err)
		}
		*path, ends = built, append(ends, remove)
	}
	code := m.Run()
	for _, remove := range ends {
		remove()
	}
	os.Exit(code)
}

// startStandalone is a fleet of dispatchers that know nothing of each other.
func startStandalone(t *testing.T) *harness.Cluster {
	return harness.Start(t, harness.Options{Binary: alone, Standalone: true})
}

func runLoad(p *platform.Platform, most int, names ...string) {
	types := []string{"status", "paid", "charge"}
	p.StartLoad(context.Background(), platform.Load{Members: names, PerSecond: 200, Clients: 4, MaxWebhooks: most,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{Type: types[n%3], Destination: api.DestinationID(1 + n%4), Body: "x"}
		}})()
}

func TestCluster_LosesNothingOverKillAndPause(t *testing.T) {
	f := startStandalone(t)
	m1, m2 := f.Members[0], f.Members[1]
	m1.AwaitLog("phase now=serving")
	require.NoError(t, f.Platform.Destination(1).SetBehaviour(platform.Fails))
	runLoad(f.Platform, 60, f.Names()...)
	m1.Kill()
	_, code := m1.Get("/health/live")
	assert.Zero(t, code)
	m2.Pause()
	require.NoError(t, f.Platform.Destination(1).SetBehaviour(platform.Delivers))
	mark := m1.Log.Offset()
	m1.Start()
	m1.AwaitLogFrom(mark, "phase now=serving")
	m2.Resume()
	runLoad(f.Platform, 30, f.Names()...)
	f.AwaitOutcomes()
	f.Check()
	assert.Positive(t, f.Platform.Checker.Counts().Delivered)
}

func TestMember_TerminateHangupAndDeleteState(t *testing.T) {
	f := startStandalone(t)
	m := f.Members[0]
	require.NoError(t, f.Platform.Destination(2).SetBehaviour(platform.Unreachable))
	runLoad(f.Platform, 20, "m1")
	m.SendHangup()
	m.AwaitLog("configuration reloaded")
	m.Terminate()
	assert.False(t, m.Running())
	m.AwaitLog("phase now=stopped")
	require.Positive(t, f.Platform.Checker.Outstanding(), "destination 2 has had nothing")
	m.DeleteState()
	assert.Zero(t, f.Platform.Checker.Outstanding(), "forgiven")
	m.Start()
	value, ok := m.Metric("webhooks_resumed_total")
	assert.Equal(t, "0", value)
	assert.True(t, ok)
	f.Check()
}

// TestHelperProcess is the other half of the next test: a test that is killed while its fleet runs.
func TestHelperProcess(t *testing.T) {
	if os.Getenv("ROWAN_CUT_OFF") == "" {
		t.Skip("only within another test")
	}
	f := harness.Start(t, harness.Options{Binary: os.Getenv("ROWAN_CUT_OFF"), Standalone: true})
	for _, m := range f.Members {
		fmt.Println("pid", m.PID())
	}
	time.Sleep(time.Minute)
}

func TestCluster_ProcessesEndWithTheTest(t *testing.T) {
	other := exec.Command(os.Args[0], "-test.run=^TestHelperProcess$", "-test.v")
	other.Env = append(os.Environ(), "ROWAN_CUT_OFF="+alone)
	out, err := other.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, other.Start())
	var pids []string
	for lines := bufio.NewScanner(out); len(pids) < 3 && lines.Scan(); {
		if pid, ok := strings.CutPrefix(lines.Text(), "pid "); ok {
			pids = append(pids, pid)
		}
	}
	require.Len(t, pids, 3)
	other.Process.Kill()
	other.Wait()
	for _, pid := range pids {
		require.Eventually(t, func() bool {
			stat, err := os.ReadFile("/proc/" + pid + "/stat")
			return err != nil || strings.Contains(string(stat), ") Z ")
		}, 10*time.Second, 10*time.Millisecond, "%s still runs", pid)
	}
}

// What is lost is seen: the folder is taken behind the harness's back.
func TestCluster_CheckFindsALoss(t *testing.T) {
	f := harness.Start(t, harness.Options{Binary: alone, Standalone: true, Slack: 1})
	require.NoError(t, f.Platform.Destination(2).SetBehaviour(platform.Unreachable))
	_, code := f.Platform.Submit("m1", platform.Webhook{Type: "status", Destination: 2, TTL: time.Second})
	require.Equal(t, 202, code)
	f.Members[0].Kill()
	require.NoError(t, os.RemoveAll(f.Members[0].StateDir))
	f.Members[0].Start()
	f.Eventually("the loss", func() bool { return len(f.Platform.Check()) == 1 })
	assert.Contains(t, f.Platform.Check()[0].String(), "lost: ")
}

func TestMember_LimitFileSize(t *testing.T) {
	f := startStandalone(t)
	m := f.Members[0]
	require.NoError(t, f.Platform.Destination(1).SetBehaviour(platform.Hangs))
	m.LimitFileSize(4096)
	for range 4 {
		f.Platform.Submit("m1", platform.Webhook{Type: "paid", Destination: 1, Body: strings.Repeat("x", 3000)})
	}
	assert.LessOrEqual(t, m.LargestFile(), int64(4096))
	m.AwaitLog("file too large")
	assert.Positive(t, f.Platform.Checker.Counts().Rejected, "nobody is told that it was taken on")
	f.Check()
}

func TestCluster_ReloadOperatorFiles(t *testing.T) {
	f := harness.Start(t, harness.Options{Binary: binary, Members: 4, SpareMembers: 1, LeaseTTL: 2 * time.Second,
		ConfigBlocks: "list \"prices\" { subscribers = [1, 2] }\n"})
	for _, m := range f.Members[:3] {
		m.AwaitLog("INFO member", "members=3")
	}
	f.ReloadOperatorFiles("", f.Names()...)
	for _, m := range f.Members[:3] {
		m.AwaitLog("operator file read again", "members=4")
	}
	f.Members[3].Start()
	runLoad(f.Platform, 30, f.Names()...)
	f.AwaitOutcomes()
	f.Check()
	text := f.OperatorFile(f.Members[3], "")
	assert.Equal(t, 3, strings.Count(text, "log = "), "the first three keep the log")
}
