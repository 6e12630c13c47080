package harness

import (
	"context"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"rowanlink/test/fake/portalloc"
	"rowanlink/test/integration/subprocess"
	"rowanlink/test/procstate"
)

// Member is one member of a cluster, over all incarnations of its process.
type Member struct {
	Name       string
	Log        *subprocess.Log
	StateDir   string // LB_STATE
	ClientAddr string // where clients reach it
	Env        []string

	cluster            *Cluster
	dir                string
	configPath         string
	operatorPath       string
	clientPort         *portalloc.Port
	peerPort, raftPort *portalloc.Port // nil if it is standalone
	process            *subprocess.Process
	paused             bool
	fileSizeLimit      uint64 // bytes; 0: unlimited
}

// Start starts the member, with its state as it was left, and waits until it is ready.
func (m *Member) Start() {
	m.cluster.t.Helper()
	m.StartAsync()
	m.AwaitReady()
}

// StartAsync starts the member and doesn't wait until it is ready.
func (m *Member) StartAsync() {
	m.cluster.t.Helper()
	require.False(m.cluster.t, m.process.IsRunning(), "%s runs", m.Name)
	require.NoError(m.cluster.t, os.MkdirAll(m.StateDir, folderMode))
	m.Log.Annotate("start %s", m.Name)
	env := []string{
		"LB_CONFIG=" + m.configPath,
		"LB_STATE=" + m.StateDir,
		"GOMAXPROCS=2",
		"TMPDIR=" + m.dir,
	}
	process, err := subprocess.Start(m.cluster.options.Binary, nil, append(env, m.Env...), m.Log)
	require.NoError(m.cluster.t, err)
	m.cluster.processStarted(m, process)
	if m.fileSizeLimit > 0 {
		m.LimitFileSize(m.fileSizeLimit)
	}
}

// AwaitReady waits until the member accepts clients.
func (m *Member) AwaitReady() {
	m.cluster.t.Helper()
	m.cluster.Eventually(m.Name+" is ready", func() bool {
		require.True(m.cluster.t, m.process.IsRunning(), "%s has ended", m.Name)
		_, status := m.Get("/health/ready")
		return status == http.StatusOK
	})
	if !m.paused {
		m.recordUp()
	}
}

// IsRunning reports whether the member's process has not ended; it may be paused.
func (m *Member) IsRunning() bool { return m.process.IsRunning() }

// PID returns the ID of the member's current process.
func (m *Member) PID() int { return m.process.PID() }

// Kill ends the process by SIGKILL, if it runs.
func (m *Member) Kill() {
	m.cluster.t.Helper()
	if !m.process.IsRunning() {
		return
	}
	m.recordDown("kill", true)
	_ = m.process.Signal(syscall.SIGKILL) // fails only if it has ended meanwhile
	require.True(m.cluster.t, m.process.AwaitExit(exitTimeout), "%s can't be killed", m.Name)
	m.paused = false
}

// Pause stops the process by SIGSTOP, until Resume.
func (m *Member) Pause() {
	m.cluster.t.Helper()
	m.recordDown("stop", false)
	require.NoError(m.cluster.t, m.process.Signal(syscall.SIGSTOP))
	m.cluster.Eventually(m.Name+" is paused", func() bool { return procstate.AllThreadsStopped(m.PID()) })
	m.paused = true
}

// Resume has a paused process go on.
func (m *Member) Resume() {
	m.cluster.t.Helper()
	m.Log.Annotate("continue %s", m.Name)
	require.NoError(m.cluster.t, m.process.Signal(syscall.SIGCONT))
	m.paused = false
	m.recordUp()
}

// Terminate ends the process by SIGTERM and waits until it has ended.
func (m *Member) Terminate() {
	m.cluster.t.Helper()
	m.SendTerminate()
	require.True(m.cluster.t, m.process.AwaitExit(exitTimeout), "%s does not end", m.Name)
}

// SendTerminate sends SIGTERM and doesn't wait.
func (m *Member) SendTerminate() {
	m.cluster.t.Helper()
	m.recordDown("end", true)
	require.NoError(m.cluster.t, m.process.Signal(syscall.SIGTERM))
}

func (m *Member) recordDown(what string, processEnded bool) {
	m.Log.Annotate("%s %s", what, m.Name)
	m.cluster.Platform.Checker.RecordMemberDown(m.cluster.Platform.Now(), m.Name, processEnded)
}

func (m *Member) recordUp() {
	m.cluster.Platform.Checker.RecordMemberUp(m.cluster.Platform.Now(), m.Name)
}

// SendHangup has the member read its files again, by SIGHUP.
func (m *Member) SendHangup() {
	m.cluster.t.Helper()
	m.Log.Annotate("hang up %s", m.Name)
	require.NoError(m.cluster.t, m.process.Signal(syscall.SIGHUP))
}

// Restart kills the member and starts it again with its state.
func (m *Member) Restart() {
	m.cluster.t.Helper()
	m.Kill()
	m.Start()
}

// DeleteState deletes the state of a member that doesn't run. The checker forgives webhooks without an outcome by now.
func (m *Member) DeleteState() {
	m.cluster.t.Helper()
	require.False(m.cluster.t, m.process.IsRunning(), "%s runs", m.Name)
	n := m.cluster.Platform.Checker.ForgiveOutstanding(m.cluster.Platform.Now())
	m.Log.Annotate("wipe %s, %d webhooks forgiven", m.Name, n)
	require.NoError(m.cluster.t, os.RemoveAll(m.StateDir))
}

// LimitFileSize lets no file of the member grow beyond a size from now on, also after restarts, as if its disk were
// full. 0 ends the limit.
func (m *Member) LimitFileSize(bytes uint64) {
	m.cluster.t.Helper()
	m.Log.Annotate("no file of %s over %d bytes", m.Name, bytes)
	m.fileSizeLimit = bytes
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if bytes == 0 {
		limit.Cur = unix.RLIM_INFINITY
	}
	require.NoError(m.cluster.t, unix.Prlimit(m.process.PID(), unix.RLIMIT_FSIZE, &limit, nil))
}

// LargestFile returns the size of the largest file of the member's state, in bytes.
func (m *Member) LargestFile() (largest int64) {
	// Files that vanish meanwhile are skipped, so that there is no error.
	_ = filepath.WalkDir(m.StateDir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			largest = max(largest, info.Size())
		}
		return nil
	})
	return largest
}

// AwaitLog waits for a line with all the parts in the member's log, from its beginning on, and returns it.
func (m *Member) AwaitLog(parts ...string) subprocess.Line {
	m.cluster.t.Helper()
	return m.AwaitLogFrom(0, parts...)
}

// AwaitLogFrom is AwaitLog from an offset on.
func (m *Member) AwaitLogFrom(offset int, parts ...string) subprocess.Line {
	m.cluster.t.Helper()
	line, ok := m.Log.Await(offset, logTimeout, parts)
	require.True(m.cluster.t, ok, "%s never logged: %s", m.Name, strings.Join(parts, " "))
	return line
}

// Get requests a path for operators. The status is 0 if there is no response.
func (m *Member) Get(path string) (body string, status int) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+m.ClientAddr+path, nil)
	if err != nil {
		return "", 0
	}
	response, err := m.cluster.client.Do(request)
	if err != nil {
		return "", 0
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return "", 0
	}
	return string(content), response.StatusCode
}

// Metric returns the value of the member's metric whose name ends with the given one.
func (m *Member) Metric(name string) (value string, ok bool) {
	body, _ := m.Get("/metrics")
	for line := range strings.Lines(body) {
		if fields := strings.Fields(line); len(fields) == 2 && strings.HasSuffix(fields[0], name) {
			return fields[1], true
		}
	}
	return "", false
}
