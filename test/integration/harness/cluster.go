// Package harness runs clusters of real member processes on loopback for tests, with a network of its own between them.
// It kills, pauses, terminates and restarts members, breaks their links and watches their logs. A fake platform is
// around the cluster, and its checker judges what becomes of webhooks. Waits have generous time-outs, and no time is
// asserted.
package harness

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/leasecheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/fake/portalloc"
	"rowanlink/test/integration/subprocess"
)

const folderMode = 0o700

// Cluster is a running cluster.
type Cluster struct {
	Members      []*Member
	Network      *Network
	Platform     *platform.Platform
	LeaseChecker *leasecheck.Checker // nil unless Options.CheckedResources names some

	t       testing.TB
	options Options
	client  *http.Client
	links   map[memberPair]peerAddrs // the addresses that the first member has for the second

	mu     sync.Mutex
	ending bool
}

// peerAddrs are the addresses of a member for its peers.
type peerAddrs struct {
	peer string
	raft string // of raft nodes
}

// Build builds a command of the repository for a test's TestMain. It returns its path and a function that removes it.
// root is the folder of go.mod, relative to the test's.
func Build(root, command string) (path string, remove func(), err error) {
	folder, remove, err := subprocess.Build(root, command)
	return filepath.Join(folder, command), remove, err
}

// Start starts a cluster and waits until all its members are ready. It is shut down at the test's end, and the ends of
// the logs are shown if the test failed.
func Start(t testing.TB, options Options) *Cluster {
	t.Helper()
	c := &Cluster{
		Network: newNetwork(),
		t:       t,
		options: options.withDefaults(),
		client: &http.Client{
			Timeout:   2 * time.Second,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
		links: map[memberPair]peerAddrs{},
	}
	c.startPlatform()
	t.Cleanup(c.shutDown)
	dir := t.TempDir()
	c.startLeaseChecker(dir)
	for i := range c.options.Members {
		c.Members = append(c.Members, c.newMember(dir, fmt.Sprintf("m%d", i+1)))
	}
	c.createLinks()
	for _, m := range c.Members {
		c.writeConfig(m)
	}
	c.WriteOperatorFiles(c.options.ConfigBlocks)
	if c.options.NotStarted {
		return c
	}
	started := c.Members[:c.options.Members-c.options.SpareMembers]
	for _, m := range started {
		m.StartAsync()
	}
	for _, m := range started {
		m.AwaitReady()
	}
	return c
}

func (c *Cluster) startPlatform() {
	required, err := c.requirements()
	require.NoError(c.t, err)
	c.Platform, err = platform.New(required, c.options.Destinations...)
	require.NoError(c.t, err)
	c.Platform.SubscriberLists = c.options.SubscriberLists
	for _, d := range c.options.Destinations {
		c.Platform.Destination(d).Weight = c.options.Weight
	}
}

func (c *Cluster) startLeaseChecker(dir string) {
	if len(c.options.CheckedResources) == 0 {
		return
	}
	var err error
	c.LeaseChecker, err = leasecheck.Open(filepath.Join(dir, "deeds"))
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = c.LeaseChecker.Close() })
	c.options.Env = append(c.options.Env,
		"ROWAN_GUARD="+c.LeaseChecker.Addr,
		"ROWAN_GUARD_TASKS="+strings.Join(c.options.CheckedResources, ","))
}

func (c *Cluster) newMember(dir, name string) *Member {
	dir = filepath.Join(dir, name)
	m := &Member{
		Name:         name,
		Log:          subprocess.NewLog(),
		StateDir:     filepath.Join(dir, "state"),
		cluster:      c,
		dir:          dir,
		configPath:   filepath.Join(dir, "config.json"),
		operatorPath: filepath.Join(dir, "fleet.hcl"),
		clientPort:   c.reservePort(),
	}
	m.ClientAddr = m.clientPort.Addr
	require.NoError(c.t, os.MkdirAll(m.dir, folderMode))
	m.Env = append(m.Env, c.options.Env...)
	if rate := c.options.ClockRates[name]; rate != 0 {
		m.Env = append(m.Env, fmt.Sprintf("ROWAN_CLOCK_RATE=%g", rate))
	}
	if !c.options.Standalone {
		m.peerPort, m.raftPort = c.reservePort(), c.reservePort()
		m.Env = append(m.Env, "ROWAN_FLEET="+m.operatorPath)
	}
	return m
}

func (c *Cluster) reservePort() *portalloc.Port {
	port, err := portalloc.Reserve()
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = port.Close() })
	return port
}

// Member returns a member by its name.
func (c *Cluster) Member(name string) *Member {
	i := slices.IndexFunc(c.Members, func(m *Member) bool { return m.Name == name })
	require.GreaterOrEqual(c.t, i, 0, "no member %s", name)
	return c.Members[i]
}

// Names returns the names of all members.
func (c *Cluster) Names() (names []string) {
	for _, m := range c.Members {
		names = append(names, m.Name)
	}
	return names
}

// RaftNodes returns the members that are raft nodes.
func (c *Cluster) RaftNodes() []*Member { return c.Members[:c.options.RaftNodes] }

// processStarted records a member's new process, and watches for its end: links to a member whose process has ended
// refuse connections.
func (c *Cluster) processStarted(m *Member, p *subprocess.Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.process = p
	c.Network.setDown(m.Name, false)
	go func() {
		<-p.Done()
		c.mu.Lock()
		defer c.mu.Unlock()
		m.Log.Annotate("%s has ended: %s", m.Name, p.ExitStatus())
		if !c.ending && m.process == p {
			c.Platform.Checker.RecordMemberDown(c.Platform.Now(), m.Name, true)
			c.Network.setDown(m.Name, true)
		}
	}()
}

// currentProcess returns a member's process, which may have ended.
func (c *Cluster) currentProcess(m *Member) *subprocess.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return m.process
}

// shutDown kills all members, and shows the ends of their logs if the test failed.
func (c *Cluster) shutDown() {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	for _, m := range c.Members {
		if m.process.IsRunning() {
			_ = m.process.Signal(syscall.SIGKILL) // fails only if it has ended meanwhile
			m.process.AwaitExit(exitTimeout)
		}
		for _, crash := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if line, ok := m.Log.Find(0, crash); ok {
				c.t.Errorf("%s: %s", m.Name, line.Text)
			}
		}
	}
	c.Network.close()
	if err := c.Platform.Close(); err != nil {
		c.t.Errorf("platform: %s", err)
	}
	if !c.t.Failed() {
		return
	}
	const shownLines = 120
	for _, m := range c.Members {
		c.t.Logf("%s, the end of its log:\n%s", m.Name, m.Log.Tail(shownLines))
		c.saveLog(m)
	}
}

// saveLog writes the whole log of a member to the folder ROWAN_LOGS, if that is set.
func (c *Cluster) saveLog(m *Member) {
	dir := os.Getenv("ROWAN_LOGS")
	if dir == "" {
		return
	}
	dir = filepath.Join(dir, strings.Map(func(r rune) rune {
		if strings.ContainsRune(" /,'", r) {
			return '_'
		}
		return r
	}, c.t.Name()))
	if err := os.MkdirAll(dir, folderMode); err != nil {
		c.t.Log(err)
	}
	const allLines = 1 << 30
	c.t.Log(os.WriteFile(filepath.Join(dir, m.Name+".log"), []byte(m.Log.Tail(allLines)), fileMode))
}
