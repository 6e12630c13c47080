package harness_test

import (
	"bufio"
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

// The programs that TestMain builds.
var clusteredBinary, standaloneBinary string

// helperBinary names the program that TestHelperProcess starts. It is set only in the process of that test.
const helperBinary = "ROWAN_CUT_OFF"

func TestMain(m *testing.M) {
	if os.Getenv(helperBinary) != "" {
		os.Exit(m.Run())
	}
	var removals []func()
	for command, path := range map[string]*string{
		"rowan-clustered": &clusteredBinary,
		"rowanlink":       &standaloneBinary,
	} {
		built, remove, err := harness.Build("../../..", command)
		if err != nil {
			panic(err)
		}
		*path = built
		removals = append(removals, remove)
	}
	code := m.Run()
	for _, remove := range removals {
		remove()
	}
	os.Exit(code)
}

// startStandalone starts dispatchers that know nothing of each other.
func startStandalone(t *testing.T) *harness.Cluster {
	t.Helper()
	return harness.Start(t, harness.Options{Binary: standaloneBinary, Standalone: true})
}

// runLoad submits some webhooks at members and waits until each is answered.
func runLoad(t *testing.T, p *platform.Platform, count int, members ...string) {
	t.Helper()
	types := []string{"status", "paid", "charge"}
	wait := p.StartLoad(t.Context(), platform.Load{
		Members:     members,
		PerSecond:   200,
		Clients:     4,
		MaxWebhooks: count,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{Type: types[n%3], Destination: api.DestinationID(1 + n%4), Body: "x"}
		},
	})
	wait()
}

func TestCluster_DeliversAllAcrossKillAndPause(t *testing.T) {
	c := startStandalone(t)
	m1, m2 := c.Members[0], c.Members[1]
	m1.AwaitLog("phase now=serving")
	require.NoError(t, c.Platform.Destination(1).SetBehaviour(platform.Fails))
	runLoad(t, c.Platform, 60, c.Names()...)
	m1.Kill()
	_, code := m1.Get("/health/live")
	assert.Zero(t, code)
	m2.Pause()
	require.NoError(t, c.Platform.Destination(1).SetBehaviour(platform.Delivers))
	offset := m1.Log.Offset()
	m1.Start()
	m1.AwaitLogFrom(offset, "phase now=serving")
	m2.Resume()
	runLoad(t, c.Platform, 30, c.Names()...)
	c.AwaitOutcomes()
	c.Check()
	assert.Positive(t, c.Platform.Checker.Counts().Delivered)
}

func TestMember_TerminateHangupAndDeleteState(t *testing.T) {
	c := startStandalone(t)
	m := c.Members[0]
	require.NoError(t, c.Platform.Destination(2).SetBehaviour(platform.Unreachable))
	runLoad(t, c.Platform, 20, "m1")
	m.SendHangup()
	m.AwaitLog("configuration reloaded")
	m.Terminate()
	assert.False(t, m.IsRunning())
	m.AwaitLog("phase now=stopped")
	require.Positive(t, c.Platform.Checker.Outstanding(), "destination 2 has had nothing")
	m.DeleteState()
	assert.Zero(t, c.Platform.Checker.Outstanding(), "forgiven")
	m.Start()
	value, ok := m.Metric("webhooks_resumed_total")
	assert.Equal(t, "0", value)
	assert.True(t, ok)
	c.Check()
}

// TestHelperProcess is the other half of TestCluster_ProcessesEndWithTheTest: a test that is killed while its cluster
// runs.
func TestHelperProcess(t *testing.T) {
	if os.Getenv(helperBinary) == "" {
		t.Skip("only within another test")
	}
	c := harness.Start(t, harness.Options{Binary: os.Getenv(helperBinary), Standalone: true})
	for _, m := range c.Members {
		fmt.Println("pid", m.PID())
	}
	time.Sleep(time.Minute)
}

func TestCluster_ProcessesEndWithTheTest(t *testing.T) {
	other := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestHelperProcess$", "-test.v")
	other.Env = append(os.Environ(), helperBinary+"="+standaloneBinary)
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
	require.NoError(t, other.Process.Kill())
	_ = other.Wait() // it was killed
	for _, pid := range pids {
		require.Eventually(t, func() bool {
			stat, err := os.ReadFile("/proc/" + pid + "/stat")
			return err != nil || strings.Contains(string(stat), ") Z ")
		}, 10*time.Second, 10*time.Millisecond, "%s still runs", pid)
	}
}

// The state is deleted without the checker knowing of it.
func TestCluster_CheckDetectsLostWebhook(t *testing.T) {
	c := harness.Start(t, harness.Options{Binary: standaloneBinary, Standalone: true, Slack: 1})
	require.NoError(t, c.Platform.Destination(2).SetBehaviour(platform.Unreachable))
	_, code := c.Platform.Submit("m1", platform.Webhook{Type: "status", Destination: 2, TTL: time.Second})
	require.Equal(t, 202, code)
	c.Members[0].Kill()
	require.NoError(t, os.RemoveAll(c.Members[0].StateDir))
	c.Members[0].Start()
	c.Eventually("the loss", func() bool { return len(c.Platform.Check()) == 1 })
	assert.Contains(t, c.Platform.Check()[0].String(), "lost: ")
}

func TestMember_LimitFileSize(t *testing.T) {
	c := startStandalone(t)
	m := c.Members[0]
	require.NoError(t, c.Platform.Destination(1).SetBehaviour(platform.Hangs))
	m.LimitFileSize(4096)
	for range 4 {
		c.Platform.Submit("m1", platform.Webhook{
			Type:        "paid",
			Destination: 1,
			Body:        strings.Repeat("x", 3000),
		})
	}
	assert.LessOrEqual(t, m.LargestFile(), int64(4096))
	m.AwaitLog("file too large")
	assert.Positive(t, c.Platform.Checker.Counts().Rejected, "no webhook was rejected")
	c.Check()
}

func TestCluster_ReloadOperatorFiles(t *testing.T) {
	c := harness.Start(t, harness.Options{
		Binary:       clusteredBinary,
		Members:      4,
		SpareMembers: 1,
		LeaseTTL:     2 * time.Second,
		ConfigBlocks: "list \"prices\" { subscribers = [1, 2] }\n",
	})
	for _, m := range c.Members[:3] {
		m.AwaitLog("INFO member started", "members=3")
	}
	c.ReloadOperatorFiles("", c.Names()...)
	for _, m := range c.Members[:3] {
		m.AwaitLog("operator file reloaded", "members=4")
	}
	c.Members[3].Start()
	runLoad(t, c.Platform, 30, c.Names()...)
	c.AwaitOutcomes()
	c.Check()
	text := c.OperatorFile(c.Members[3], "")
	assert.Equal(t, 3, strings.Count(text, "log = "), "the first three keep the log")
}
