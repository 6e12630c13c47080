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

	"rowanlink/test/integration/subprocess"
)

// The programs of the system.
const (
	programCore  = "rowan-core"
	programAgent = "rowan-agent"
	programProxy = "rowan-proxy"
)

// Ports, alike on all machines: each has a loopback address of its own.
const (
	portReady     = 17140
	portDirectory = 17143
	portFront     = 17144
	portControl   = 17146
	portInner     = 17160
	portLast      = 17161
	portEndpoint  = 18080
)

// endWithin bounds the end of a process that was told to end: the grace and what a busy machine adds.
const endWithin = 30 * time.Second

// place is where a machine stands.
type place struct{ zone, region string }

// node is one process of the system over all its lives.
type node struct {
	t       *testing.T
	program string
	name    string // of the machine
	ip      string
	store   string // empty: no disk
	log     *subprocess.Log

	programs string // folder of the programs; empty: the ordinary ones
	cut      string // path of the file that names the hosts that it can't reach; empty: it reaches all

	settings string // path
	lines    []string
	firstRun bool
	process  *subprocess.Process
}

// at is host:port on the node's machine.
func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// write writes the settings file.
func (n *node) write() {
	lines := append([]string{fmt.Sprintf("first_run=%t", n.firstRun)}, n.lines...)
	require.NoError(n.t, os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
}

// start starts a life. The file says that it is the first one of the system where it is.
func (n *node) start() {
	n.t.Helper()
	require.False(n.t, n.process.IsRunning(), "%s runs", n.name)
	n.write()
	if n.store != "" {
		require.NoError(n.t, os.MkdirAll(n.store, 0o700))
	}
	n.log.Annotate("start")
	folder, environment := programs, []string(nil)
	if n.programs != "" {
		folder, environment = n.programs, []string{"ROWAN_CUT=" + n.cut}
	}
	process, err := subprocess.Start(filepath.Join(folder, n.program), []string{"--settings", n.settings}, environment, n.log)
	require.NoError(n.t, err)
	n.process, n.firstRun = process, false
}

// kill ends it at once.
func (n *node) kill() {
	n.t.Helper()
	n.log.Annotate("kill")
	require.NoError(n.t, n.process.Signal(syscall.SIGKILL))
	require.True(n.t, n.process.AwaitExit(endWithin), "%s can't be killed", n.name)
}

// terminate tells it to end and waits until it has.
func (n *node) terminate() {
	n.t.Helper()
	n.log.Annotate("terminate")
	require.NoError(n.t, n.process.Signal(syscall.SIGTERM))
	require.True(n.t, n.process.AwaitExit(endWithin), "%s does not end", n.name)
}

// reload tells it that its settings file has changed.
func (n *node) reload() {
	n.t.Helper()
	n.log.Annotate("reload")
	n.write()
	require.NoError(n.t, n.process.Signal(syscall.SIGHUP))
}

// wipe loses the disk. The process must not run.
func (n *node) wipe() {
	n.t.Helper()
	n.log.Annotate("wipe")
	require.NoError(n.t, os.RemoveAll(n.store))
}

// peakMemory is the most memory that the process has had resident, in kilobytes.
func (n *node) peakMemory() (kilobytes int) {
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

// diskUsed is the size of the files on the node's disk, in kilobytes.
func (n *node) diskUsed() (kilobytes int) {
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
