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
	readyWithin = 30 * time.Second
	lineWithin  = 30 * time.Second
	endWithin   = 10 * time.Second
)

// Member is one process of a fleet, over all its lives.
type Member struct {
	Name   string
	Log    *subprocess.Log
	Folder string // LB_STATE
	Listen string // where clients reach it
	Env    []string

	f                *Fleet
	dir              string
	listen           *portalloc.Port
	says, log        *portalloc.Port
	config, operator string
	is               *subprocess.Process
	stopped          bool
	limit            uint64
}

// Start starts it and waits until it is ready. Its folder is as it was left.
func (m *Member) Start() {
	m.f.t.Helper()
	m.Launch()
	m.Ready()
}

// Launch starts it, whatever becomes of it.
func (m *Member) Launch() {
	m.f.t.Helper()
	require.False(m.f.t, m.is.Running(), "%s runs", m.Name)
	require.NoError(m.f.t, os.MkdirAll(m.Folder, 0o700))
	m.Log.Note("start %s", m.Name)
	env := append([]string{"LB_CONFIG=" + m.config, "LB_STATE=" + m.Folder, "GOMAXPROCS=2", "TMPDIR=" + m.dir},
		m.Env...)
	p, err := subprocess.Start(m.f.shape.Binary, nil, env, m.Log)
	require.NoError(m.f.t, err)
	m.f.began(m, p)
	if m.limit > 0 {
		m.LimitFiles(m.limit)
	}
}

// Ready waits until clients may come.
func (m *Member) Ready() {
	m.f.t.Helper()
	m.f.Soon(m.Name+" is ready", func() bool {
		require.True(m.f.t, m.is.Running(), "%s has ended", m.Name)
		_, code := m.Get("/health/ready")
		return code == http.StatusOK
	})
	if !m.stopped {
		m.f.Platform.Ledger.Up(m.f.Platform.Now(), m.Name)
	}
}

// Running tells whether its process has not ended; it may stand still.
func (m *Member) Running() bool { return m.is.Running() }

// PID is its process's, of this life.
func (m *Member) PID() int { return m.is.PID() }

// Kill ends it at once (SIGKILL).
func (m *Member) Kill() {
	m.f.t.Helper()
	if !m.is.Running() {
		return
	}
	m.down("kill", true)
	m.is.Signal(syscall.SIGKILL)
	require.True(m.f.t, m.is.Ended(endWithin), "%s can't be killed", m.Name)
	m.stopped = false
}

// Stop has it stand still (SIGSTOP) until Continue.
func (m *Member) Stop() {
	m.f.t.Helper()
	m.down("stop", false)
	require.NoError(m.f.t, m.is.Signal(syscall.SIGSTOP))
	m.f.Soon(m.Name+" stands still", func() bool { return procstate.All(m.PID()) })
	m.stopped = true
}

// Continue has it go on.
func (m *Member) Continue() {
	m.f.t.Helper()
	m.Log.Note("continue %s", m.Name)
	require.NoError(m.f.t, m.is.Signal(syscall.SIGCONT))
	m.stopped = false
	m.f.Platform.Ledger.Up(m.f.Platform.Now(), m.Name)
}

// End tells it to end (SIGTERM) and waits until it has.
func (m *Member) End() {
	m.f.t.Helper()
	m.Leave()
	require.True(m.f.t, m.is.Ended(endWithin), "%s does not end", m.Name)
}

// Leave tells it to end.
func (m *Member) Leave() {
	m.f.t.Helper()
	m.down("end", true)
	require.NoError(m.f.t, m.is.Signal(syscall.SIGTERM))
}

func (m *Member) down(what string, died bool) {
	m.Log.Note("%s %s", what, m.Name)
	m.f.Platform.Ledger.Down(m.f.Platform.Now(), m.Name, died)
}

// HangUp has it read its files again (SIGHUP).
func (m *Member) HangUp() {
	m.f.t.Helper()
	m.Log.Note("hang up %s", m.Name)
	require.NoError(m.f.t, m.is.Signal(syscall.SIGHUP))
}

// Restart kills it and starts it again with its folder.
func (m *Member) Restart() {
	m.f.t.Helper()
	m.Kill()
	m.Start()
}

// Wipe takes the folder of a member that doesn't run away. What is not ended by now is forgiven.
func (m *Member) Wipe() {
	m.f.t.Helper()
	require.False(m.f.t, m.is.Running(), "%s runs", m.Name)
	n := m.f.Platform.Ledger.FolderLost(m.f.Platform.Now())
	m.Log.Note("wipe %s, %d webhooks forgiven", m.Name, n)
	require.NoError(m.f.t, os.RemoveAll(m.Folder))
}

// LimitFiles has no file of it grow over so many bytes from now on, over restarts, too: its folder is full.
// 0: free.
func (m *Member) LimitFiles(bytes uint64) {
	m.f.t.Helper()
	m.Log.Note("no file of %s over %d bytes", m.Name, bytes)
	m.limit = bytes
	to := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if bytes == 0 {
		to.Cur = unix.RLIM_INFINITY
	}
	require.NoError(m.f.t, unix.Prlimit(m.is.PID(), unix.RLIMIT_FSIZE, &to, nil))
}

// Largest is the size of the largest file in its folder.
func (m *Member) Largest() (most int64) {
	filepath.WalkDir(m.Folder, func(path string, e os.DirEntry, err error) error {
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

// Await waits for a line with all parts, from its first life on; AwaitFrom from a mark on.
func (m *Member) Await(parts ...string) subprocess.Line {
	m.f.t.Helper()
	return m.AwaitFrom(0, parts...)
}

func (m *Member) AwaitFrom(mark int, parts ...string) subprocess.Line {
	m.f.t.Helper()
	line, ok := m.Log.Await(mark, lineWithin, parts)
	require.True(m.f.t, ok, "%s never said: %s", m.Name, strings.Join(parts, " "))
	return line
}

// Get asks what it says to operators; code 0: nothing.
func (m *Member) Get(path string) (body string, code int) {
	resp, err := m.f.http.Get("http://" + m.Listen + path)
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
