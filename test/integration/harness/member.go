package harness

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"rowanlink/test/fake/portalloc"
	"rowanlink/test/integration/subprocess"
	"rowanlink/test/procstate"
)

// Bounds on waits: generous, for a machine with other work. None is asserted.
const (
	readyTimeout = 30 * time.Second
	logTimeout   = 30 * time.Second
	exitTimeout  = 10 * time.Second
)

// Member is one process of a fleet, over all its lives.
type Member struct {
	Name       string
	Log        *subprocess.Log
	StateDir   string // LB_STATE
	ClientAddr string // where clients reach it
	Env        []string

	cluster                  *Cluster
	dir                      string
	clientPort               *portalloc.Port
	peerPort, raftPort       *portalloc.Port
	configPath, operatorPath string
	process                  *subprocess.Process
	paused                   bool
	fileSizeLimit            uint64
}

// Start starts it and waits until it is ready. Its folder is as it was left.
func (m *Member) Start() {
	m.cluster.t.Helper()
	m.StartAsync()
	m.AwaitReady()
}

// StartAsync starts it, whatever becomes of it.
func (m *Member) StartAsync() {
	m.cluster.t.Helper()
	require.False(m.cluster.t, m.process.IsRunning(), "%s runs", m.Name)
	require.NoError(m.cluster.t, os.MkdirAll(m.StateDir, 0o700))
	m.Log.Annotate("start %s", m.Name)
	env := append([]string{"LB_CONFIG=" + m.configPath, "LB_STATE=" + m.StateDir, "GOMAXPROCS=2", "TMPDIR=" + m.dir},
		m.Env...)
	p, err := subprocess.Start(m.cluster.options.Binary, nil, env, m.Log)
	require.NoError(m.cluster.t, err)
	m.cluster.processStarted(m, p)
	if m.fileSizeLimit > 0 {
		m.LimitFileSize(m.fileSizeLimit)
	}
}

// AwaitReady waits until clients may come.
func (m *Member) AwaitReady() {
	m.cluster.t.Helper()
	m.cluster.Eventually(m.Name+" is ready", func() bool {
		require.True(m.cluster.t, m.process.IsRunning(), "%s has ended", m.Name)
		_, code := m.Get("/health/ready")
		return code == http.StatusOK
	})
	if !m.paused {
		m.cluster.Platform.Checker.RecordMemberUp(m.cluster.Platform.Now(), m.Name)
	}
}

// Running tells whether its process has not ended; it may stand still.
func (m *Member) Running() bool { return m.process.IsRunning() }

// PID is its process's, of this life.
func (m *Member) PID() int { return m.process.PID() }

// Kill ends it at once (SIGKILL).
func (m *Member) Kill() {
	m.cluster.t.Helper()
	if !m.process.IsRunning() {
		return
	}
	m.recordDown("kill", true)
	m.process.Signal(syscall.SIGKILL)
	require.True(m.cluster.t, m.process.AwaitExit(exitTimeout), "%s can't be killed", m.Name)
	m.paused = false
}

// Pause has it stand still (SIGSTOP) until Continue.
func (m *Member) Pause() {
	m.cluster.t.Helper()
	m.recordDown("stop", false)
	require.NoError(m.cluster.t, m.process.Signal(syscall.SIGSTOP))
	m.cluster.Eventually(m.Name+" stands still", func() bool { return procstate.AllThreadsStopped(m.PID()) })
	m.paused = true
}

// Resume has it go on.
func (m *Member) Resume() {
	m.cluster.t.Helper()
	m.Log.Annotate("continue %s", m.Name)
	require.NoError(m.cluster.t, m.process.Signal(syscall.SIGCONT))
	m.paused = false
	m.cluster.Platform.Checker.RecordMemberUp(m.cluster.Platform.Now(), m.Name)
}

// Terminate tells it to end (SIGTERM) and waits until it has.
func (m *Member) Terminate() {
	m.cluster.t.Helper()
	m.SendTerminate()
	require.True(m.cluster.t, m.process.AwaitExit(exitTimeout), "%s does not end", m.Name)
}

// SendTerminate tells it to end.
func (m *Member) SendTerminate() {
	m.cluster.t.Helper()
	m.recordDown("end", true)
	require.NoError(m.cluster.t, m.process.Signal(syscall.SIGTERM))
}

func (m *Member) recordDown(what string, died bool) {
	m.Log.Annotate("%s %s", what, m.Name)
	m.cluster.Platform.Checker.RecordMemberDown(m.cluster.Platform.Now(), m.Name, died)
}

// SendHangup has it read its files again (SIGHUP).
func (m *Member) SendHangup() {
	m.cluster.t.Helper()
	m.Log.Annotate("hang up %s", m.Name)
	require.NoError(m.cluster.t, m.process.Signal(syscall.SIGHUP))
}

// Restart kills it and starts it again with its folder.
func (m *Member) Restart() {
	m.cluster.t.Helper()
	m.Kill()
	m.Start()
}

// DeleteState takes the folder of a member that doesn't run away. What is not ended by now is forgiven.
func (m *Member) DeleteState() {
	m.cluster.t.Helper()
	require.False(m.cluster.t, m.process.IsRunning(), "%s runs", m.Name)
	n := m.cluster.Platform.Checker.ForgiveOutstanding(m.cluster.Platform.Now())
	m.Log.Annotate("wipe %s, %d webhooks forgiven", m.Name, n)
	require.NoError(m.cluster.t, os.RemoveAll(m.StateDir))
}

// LimitFileSize has no file of it grow over so many bytes from now on, over restarts, too: its folder is full.
// 0: free.
func (m *Member) LimitFileSize(bytes uint64) {
	m.cluster.t.Helper()
	m.Log.Annotate("no file of %s over %d bytes", m.Name, bytes)
	m.fileSizeLimit = bytes
	to := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if bytes == 0 {
		to.Cur = unix.RLIM_INFINITY
	}
	require.NoError(m.cluster.t, unix.Prlimit(m.process.PID(), unix.RLIMIT_FSIZE, &to, nil))
}

// LargestFile is the size of the largest file in its folder.
func (m *Member) LargestFile() (most int64) {
	filepath.WalkDir(m.StateDir, func(path string, e os.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return nil
		}
		if info, err := e.Info(); err == nil {
			most = max(most, info.Size())
		}
		return nil
	})
	return most
}

// AwaitLog waits for a line with all parts, from its first life on; AwaitLogFrom from a mark on.
func (m *Member) AwaitLog(parts ...string) subprocess.Line {
	m.cluster.t.Helper()
	return m.AwaitLogFrom(0, parts...)
}

func (m *Member) AwaitLogFrom(mark int, parts ...string) subprocess.Line {
	m.cluster.t.Helper()
	line, ok := m.Log.Await(mark, logTimeout, parts)
	require.True(m.cluster.t, ok, "%s never said: %s", m.Name, strings.Join(parts, " "))
	return line
}

// Get asks what it says to operators; code 0: nothing.
func (m *Member) Get(path string) (body string, code int) {
	resp, err := m.cluster.client.Get("http://" + m.ClientAddr + path)
	if err != nil {
		return "", 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", 0
	}
	return string(b), resp.StatusCode
}

// Metric is one of its counters, by the end of its name; ok: it has it.
func (m *Member) Metric(name string) (value string, ok bool) {
	body, _ := m.Get("/metrics")
	for line := range strings.Lines(body) {
		if f := strings.Fields(line); len(f) == 2 && strings.HasSuffix(f[0], name) {
			return f[1], true
		}
	}
	return "", false
}
