package serving

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/serving/introspect"
	"rowanlink/serving/operator/client"
	"rowanlink/serving/rpc"
	"rowanlink/test/fake/endpoint"
	"rowanlink/test/integration/subprocess"
	"rowanlink/test/procstate"
)

const (
	// waitTimeout bounds all waits: generous, for busy machines. No test asserts on it.
	waitTimeout = time.Minute
	// pollInterval is the time between two checks of what is waited for.
	pollInterval = 20 * time.Millisecond
	// heartbeatInterval is the endpoints' one where a test needs no other.
	heartbeatInterval = 500 * time.Millisecond
	// failureLogLines is how many lines of each log a failed test shows.
	failureLogLines = 25
)

// locations of the machines: each zone has a core machine and one with an agent and a proxy.
var locations = []location{{"z1", "north"}, {"z2", "north"}, {"z3", "south"}}

// The addresses of machines and endpoints end in these numbers plus their index.
const (
	firstCoreNumber   = 1
	firstProxyNumber  = 11
	firstWriterNumber = 31
	firstStockNumber  = 41
	machinesPerRole   = 3
)

// programSelector returns the folder that a program is started from on the machine whose address ends in a number;
// empty: the folder of the programs built by TestMain.
type programSelector func(program string, number int) string

// cluster is a complete serving system with its endpoints and its operator.
type cluster struct {
	t *testing.T
	clusterOptions

	folder  string // of settings and disks
	network string // the first three numbers of all addresses
	cores   []*node
	agents  []*node
	proxies []*node
	ledger  *requestLedger
	writers []*endpoint.Endpoint
	stocks  []*endpoint.Endpoint
	rpc     *rpc.Client
	version uint64 // of the newest acknowledged configuration
}

// startCluster starts a new system and waits until all of it serves.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	return startClusterWithPrograms(t, "")
}

// startClusterWithPrograms is startCluster with the programs of a folder; empty: those built by TestMain.
func startClusterWithPrograms(t *testing.T, programs string) *cluster {
	t.Helper()
	return startClusterWithSelector(t, func(string, int) string { return programs })
}

// startClusterWithSelector is startCluster with programs chosen for each process.
func startClusterWithSelector(t *testing.T, programs programSelector) *cluster {
	t.Helper()
	return startClusterWithHeartbeats(t, programs, heartbeatInterval)
}

// startClusterWithHeartbeats is startClusterWithSelector with another interval between heartbeats.
func startClusterWithHeartbeats(t *testing.T, programs programSelector, interval time.Duration) *cluster {
	t.Helper()
	return startClusterOf(t, clusterOptions{
		programs:          programs,
		heartbeatInterval: interval,
		coreCount:         machinesPerRole,
		coreLosses:        1,
	})
}

// clusterOptions are the properties of a system.
type clusterOptions struct {
	programs          programSelector
	heartbeatInterval time.Duration // between two heartbeats of an endpoint
	coreCount         int           // core machines, in the zones in turn
	coreLosses        int           // that the system must withstand
}

// startClusterOf starts a new system and waits until all of it serves.
func startClusterOf(t *testing.T, options clusterOptions) *cluster {
	t.Helper()
	c := &cluster{
		t:              t,
		clusterOptions: options,

		network: uniqueLoopbackNetwork(),
		ledger:  newLedger(),
		rpc:     rpc.NewClient(),
	}
	t.Cleanup(c.stopAll)
	c.folder = t.TempDir()
	for i := range c.coreCount {
		c.cores = append(c.cores, c.newNode(programCore, firstCoreNumber+i, locations[i%len(locations)]))
	}
	for i, p := range locations {
		c.agents = append(c.agents, c.newNode(programAgent, firstProxyNumber+i, p))
		c.proxies = append(c.proxies, c.newNode(programProxy, firstProxyNumber+i, p))
	}
	for _, n := range c.nodes() {
		n.start()
	}
	for i, p := range locations {
		c.writers = append(c.writers, c.startEndpoint(writerOptions(), firstWriterNumber+i, p))
		c.stocks = append(c.stocks, c.startEndpoint(stockOptions(), firstStockNumber+i, p))
	}
	c.configure(1)
	c.awaitReady()
	return c
}

// uniqueLoopbackNetwork returns the prefix of loopback addresses that, very probably, no other test uses.
func uniqueLoopbackNetwork() string {
	return fmt.Sprintf("127.%d.%d", 64+rand.IntN(180), 1+rand.IntN(250))
}

func (c *cluster) address(number, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.network, number, port)
}

// newNode returns a process with the settings that the platform would write.
func (c *cluster) newNode(program string, number int, p location) *node {
	n := &node{
		t:               c.t,
		program:         program,
		name:            fmt.Sprintf("machine-%d", number),
		ip:              fmt.Sprintf("%s.%d", c.network, number),
		log:             subprocess.NewLog(),
		firstRun:        true,
		programs:        c.programs(program, number),
		settingsFile:    filepath.Join(c.folder, fmt.Sprintf("%s-%d.conf", program, number)),
		unreachableFile: filepath.Join(c.folder, fmt.Sprintf("%s-%d.cut", program, number)),
	}
	n.settingsLines = []string{"node_name=" + n.name, "ip_addr=" + n.ip, "zone=" + p.zone, "region=" + p.region,
		fmt.Sprintf("port_range=%d,%d", portMembers, portLast), "seed_nodes=" + strings.Join(c.controlAddresses(), ","),
		fmt.Sprintf("beat_ms=%d", c.heartbeatInterval.Milliseconds()), "limits.ram_mb=280", "limits.file_limit=4096",
		fmt.Sprintf("withstand.machine_losses=%d", c.coreLosses), "withstand.zones=1"}
	for _, each := range locations {
		n.settingsLines = append(n.settingsLines, "zones."+each.zone+"="+each.region)
	}
	switch program {
	case programCore:
		n.store = filepath.Join(c.folder, fmt.Sprintf("store-%d", number))
		n.settingsLines = append(n.settingsLines, "store_dir="+n.store, "counts_loss=true", "bind.control_addr="+n.address(portControl))
	case programAgent:
		n.settingsLines = append(n.settingsLines, "bind.directory_addr="+n.address(portDirectory))
	case programProxy:
		n.settingsLines = append(n.settingsLines, "bind.front_door="+n.address(portClients), "bind.ready_addr="+n.address(portReady))
	}
	return n
}

// controlAddresses returns the control addresses of all cores.
func (c *cluster) controlAddresses() (all []string) {
	for i := range c.coreCount {
		all = append(all, c.address(firstCoreNumber+i, portControl))
	}
	return all
}

// nodes returns all processes.
func (c *cluster) nodes() (all []*node) {
	all = append(all, c.cores...)
	all = append(all, c.agents...)
	return append(all, c.proxies...)
}

// stopAll kills all processes by their IDs, and shows their logs if the test has failed.
func (c *cluster) stopAll() {
	for _, e := range append(c.writers, c.stocks...) {
		e.Close()
	}
	for _, n := range c.nodes() {
		if n.process.IsRunning() {
			n.kill()
		}
		if c.t.Failed() {
			c.t.Logf("%s on %s:\n%s", n.program, n.name, n.log.Tail(failureLogLines))
		}
		for _, bad := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if line, found := n.log.Find(0, bad); found {
				c.t.Errorf("%s on %s: %s", n.program, n.name, line.Text)
			}
		}
	}
	c.rpc.Close()
}

// eventually waits until a condition holds.
func (c *cluster) eventually(what string, is func() bool) {
	c.t.Helper()
	for until := time.Now().Add(waitTimeout); !is(); time.Sleep(pollInterval) {
		require.True(c.t, time.Now().Before(until), "never: %s", what)
	}
}

// stop suspends a process, and returns once none of its threads runs any more: SIGSTOP takes effect after kill returns.
func (c *cluster) stop(n *node) {
	c.t.Helper()
	require.NoError(c.t, n.process.Signal(syscall.SIGSTOP))
	c.eventually(n.name+" has stopped", func() bool { return procstate.AllThreadsStopped(n.process.PID()) })
}

// awaitReady waits until every proxy is ready and every directory names some.
func (c *cluster) awaitReady() {
	c.t.Helper()
	for _, n := range c.proxies {
		c.eventually(n.name+" is ready", func() bool { return c.isReady(n) })
	}
	for _, n := range c.agents {
		c.eventually("the directory of "+n.name+" names proxies", func() bool {
			return len(lookup(c.t.Context(), n.address(portDirectory), locations[0])) > 0
		})
	}
}

// isReady sends a readiness check to a proxy, as the platform does.
func (c *cluster) isReady(n *node) bool {
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+n.address(portReady)+"/readiness", nil)
	require.NoError(c.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// operator returns a client of the cores, with a context that bounds its calls.
func (c *cluster) operator() (*client.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	return &client.Client{Addresses: c.controlAddresses()}, ctx, cancel
}

// configure replaces the configuration.
func (c *cluster) configure(version uint64, extra ...string) {
	c.t.Helper()
	operator, ctx, cancel := c.operator()
	defer cancel()
	require.NoError(c.t, operator.ReplaceConfiguration(ctx, c.version, configurationWith(version, extra...)))
	c.version = version
}

// evacuate begins the evacuation of a zone.
func (c *cluster) evacuate(zone string) {
	c.t.Helper()
	operator, ctx, cancel := c.operator()
	defer cancel()
	require.NoError(c.t, operator.Evacuate(ctx, zone))
}

// report returns what a core or an agent knows; false if it doesn't respond.
func (c *cluster) report(n *node) (*introspect.Report, bool) {
	return c.fetchReport(context.Background(), n)
}

// fetchReport is report until a context ends.
func (c *cluster) fetchReport(ctx context.Context, n *node) (*introspect.Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	report, err := introspect.Fetch(ctx, c.rpc, n.address(portMembers), introspect.Request{IncludeTables: true})
	return report, err == nil
}

// awaitVersion waits until a core or an agent has the newest configuration.
func (c *cluster) awaitVersion(n *node) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%s has version %d", n.name, c.version), func() bool {
		report, answered := c.report(n)
		return answered && report.Version == c.version
	})
}
