package serving

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"rowanlink/test/integration/subprocess"
)

// The programs of the system.
const (
	programCore  = "rowan-core"
	programAgent = "rowan-agent"
	programProxy = "rowan-proxy"
)

// Ports, the same on all machines: each has its own loopback address.
const (
	portReady     = 17140
	portDirectory = 17143
	portClients   = 17144
	portControl   = 17146
	portMembers   = 17160
	portLast      = 17161
	portEndpoint  = 18080
)

// exitTimeout bounds the shutdown of a process: the grace period and margin for a busy machine.
const exitTimeout = 30 * time.Second

// location is where a machine is.
type location struct{ zone, region string }

// node is a process of the system over all its incarnations.
type node struct {
	t       *testing.T
	program string
	name    string // of the machine
	ip      string
	store   string // empty: no disk
	log     *subprocess.Log

	programs        string // folder of the programs; empty: those built by TestMain
	unreachableFile string // names the hosts that it can't reach; empty: it reaches all

	settingsFile  string // path
	settingsLines []string
	firstRun      bool
	process       *subprocess.Process
	startOffset   int // of the log, when process was started
}

// address returns host:port on the node's machine.
func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// writeSettings writes the settings file.
func (n *node) writeSettings() {
	lines := append([]string{fmt.Sprintf("first_run=%t", n.firstRun)}, n.settingsLines...)
	require.NoError(n.t, os.WriteFile(n.settingsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
}

// start starts an incarnation. The settings state whether it is the first one of the system.
func (n *node) start() {
	n.t.Helper()
	require.False(n.t, n.process.IsRunning(), "%s runs", n.name)
	n.writeSettings()
	if n.store != "" {
		require.NoError(n.t, os.MkdirAll(n.store, 0o700))
	}
	n.startOffset = n.log.Offset()
	n.log.Annotate("start")
	folder, environment := programs, []string(nil)
	if n.programs != "" {
		folder, environment = n.programs, []string{"ROWAN_CUT=" + n.unreachableFile}
	}
	path, arguments := filepath.Join(folder, n.program), []string{"--settings", n.settingsFile}
	process, err := subprocess.Start(path, arguments, environment, n.log)
	require.NoError(n.t, err)
	n.process, n.firstRun = process, false
}

// kill kills the process.
func (n *node) kill() {
	n.t.Helper()
	n.log.Annotate("kill")
	require.NoError(n.t, n.process.Signal(syscall.SIGKILL))
	require.True(n.t, n.process.AwaitExit(exitTimeout), "%s can't be killed", n.name)
}

// terminate sends the process SIGTERM and waits until it has exited.
func (n *node) terminate() {
	n.t.Helper()
	n.log.Annotate("terminate")
	require.NoError(n.t, n.process.Signal(syscall.SIGTERM))
	require.True(n.t, n.process.AwaitExit(exitTimeout), "%s does not end", n.name)
}

// handlesSignals reports whether the process has got so far that SIGHUP doesn't end it, as it ends any program that the
// kernel has just begun to execute.
func (n *node) handlesSignals() bool {
	_, found := n.log.Find(n.startOffset, `"event":110`)
	return n.process.IsRunning() && found
}

// reload signals the process that its settings file has changed.
func (n *node) reload() {
	n.t.Helper()
	n.log.Annotate("reload")
	n.writeSettings()
	require.NoError(n.t, n.process.Signal(syscall.SIGHUP))
}

// wipe loses the disk. The process must not run.
func (n *node) wipe() {
	n.t.Helper()
	n.log.Annotate("wipe")
	require.NoError(n.t, os.RemoveAll(n.store))
}

// peakMemoryKB returns the largest resident memory that the process has had.
func (n *node) peakMemoryKB() (kilobytes int) {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.PID()))
	require.NoError(n.t, err)
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			_, err := fmt.Sscanf(rest, "%d kB", &kilobytes)
			require.NoError(n.t, err)
		}
	}
	return kilobytes
}

// limitFileSize makes writes beyond a size in bytes fail, as a full disk does.
func (n *node) limitFileSize(bytes uint64) {
	n.t.Helper()
	n.log.Annotate("files end at %d bytes", bytes)
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	require.NoError(n.t, unix.Prlimit(n.process.PID(), unix.RLIMIT_FSIZE, &limit, nil))
}

// diskUsedKB returns the size of the files on the node's disk.
func (n *node) diskUsedKB() (kilobytes int) {
	if n.store == "" {
		return 0
	}
	files, err := os.ReadDir(n.store)
	require.NoError(n.t, err)
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			kilobytes += int(info.Size() >> 10)
		}
	}
	return kilobytes
}
