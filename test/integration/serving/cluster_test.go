package serving

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/serving/introspect"
	"rowanlink/serving/operator/client"
	"rowanlink/serving/rpc"
	"rowanlink/test/fake/endpoint"
	"rowanlink/test/integration/subprocess"
)

const (
	// within bounds all waits: generous, for a machine with other work. None is asserted.
	within = time.Minute
	// look is the time between two looks at what is waited for.
	look = 20 * time.Millisecond
	// tail is how many lines of each log a failure shows.
	tail = 25
)

// places of the machines: one core machine and one that clients reach in each zone.
var places = []place{{"z1", "north"}, {"z2", "north"}, {"z3", "south"}}

// The addresses of machines and endpoints end in these numbers plus the number of their place.
const (
	coreNumber     = 1
	frontNumber    = 11
	writerNumber   = 31
	stockNumber    = 41
	machinesOfKind = 3
)

// cluster is a whole system, its endpoints and its operator.
type cluster struct {
	t        *testing.T
	programs string // folder of the programs; empty: the ordinary ones
	folder   string // of settings and disks
	network  string // the first three numbers of all addresses
	cores    []*node
	agents   []*node
	proxies  []*node
	ledger   *ledger
	writers  []*endpoint.Endpoint
	stocks   []*endpoint.Endpoint
	rpc      *rpc.Client
	version  uint64 // of the newest configuration that was acknowledged
}

// begin starts a system for the first time and waits until all of it serves.
func begin(t *testing.T) *cluster {
	t.Helper()
	return beginWith(t, "")
}

// beginWith does the same with the programs of a folder; empty: the ordinary ones.
func beginWith(t *testing.T, programs string) *cluster {
	t.Helper()
	c := &cluster{programs: programs, t: t, network: freshNetwork(), ledger: newLedger(), rpc: rpc.NewClient()}
	t.Cleanup(c.end)
	c.folder = t.TempDir()
	for i, p := range places {
		c.cores = append(c.cores, c.newNode(programCore, coreNumber+i, p))
		c.agents = append(c.agents, c.newNode(programAgent, frontNumber+i, p))
		c.proxies = append(c.proxies, c.newNode(programProxy, frontNumber+i, p))
	}
	for _, n := range c.nodes() {
		n.start()
	}
	for i, p := range places {
		c.writers = append(c.writers, c.startEndpoint(writerOptions(), writerNumber+i, p))
		c.stocks = append(c.stocks, c.startEndpoint(stockOptions(), stockNumber+i, p))
	}
	c.configure(1)
	c.allReady()
	return c
}

// freshNetwork is the beginning of loopback addresses that no other test uses, by chance.
func freshNetwork() string { return fmt.Sprintf("127.%d.%d", 64+rand.IntN(180), 1+rand.IntN(250)) }

func (c *cluster) address(number, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.network, number, port)
}

// newNode describes a process. Its settings are those that the platform would write.
func (c *cluster) newNode(program string, number int, p place) *node {
	n := &node{t: c.t, program: program, name: fmt.Sprintf("machine-%d", number), log: subprocess.NewLog(), firstRun: true,
		ip: fmt.Sprintf("%s.%d", c.network, number)}
	n.settings = filepath.Join(c.folder, fmt.Sprintf("%s-%d.conf", program, number))
	n.programs, n.cut = c.programs, filepath.Join(c.folder, fmt.Sprintf("%s-%d.cut", program, number))
	n.lines = []string{"node_name=" + n.name, "ip_addr=" + n.ip, "zone=" + p.zone, "region=" + p.region,
		fmt.Sprintf("port_range=%d,%d", portInner, portLast), "seed_nodes=" + strings.Join(c.control(), ","),
		"beat_ms=500", "limits.ram_mb=280", "limits.file_limit=4096", "withstand.machine_losses=1", "withstand.zones=1"}
	for _, each := range places {
		n.lines = append(n.lines, "zones."+each.zone+"="+each.region)
	}
	switch program {
	case programCore:
		n.store = filepath.Join(c.folder, fmt.Sprintf("store-%d", number))
		n.lines = append(n.lines, "store_dir="+n.store, "counts_loss=true", "bind.control_addr="+n.at(portControl))
	case programAgent:
		n.lines = append(n.lines, "bind.directory_addr="+n.at(portDirectory))
	case programProxy:
		n.lines = append(n.lines, "bind.front_door="+n.at(portFront), "bind.ready_addr="+n.at(portReady))
	}
	return n
}

// control are the control addresses of all cores.
func (c *cluster) control() (all []string) {
	for i := range machinesOfKind {
		all = append(all, c.address(coreNumber+i, portControl))
	}
	return all
}

// nodes are all processes.
func (c *cluster) nodes() (all []*node) {
	all = append(all, c.cores...)
	all = append(all, c.agents...)
	return append(all, c.proxies...)
}

// end kills all processes by their ids and shows their logs where the test failed.
func (c *cluster) end() {
	for _, e := range append(c.writers, c.stocks...) {
		e.Close()
	}
	for _, n := range c.nodes() {
		if n.process.IsRunning() {
			n.kill()
		}
		if c.t.Failed() {
			c.t.Logf("%s on %s:\n%s", n.program, n.name, n.log.Tail(tail))
		}
		for _, bad := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if line, found := n.log.Find(0, bad); found {
				c.t.Errorf("%s on %s: %s", n.program, n.name, line.Text)
			}
		}
	}
	c.rpc.Close()
}

// soon waits for something.
func (c *cluster) soon(what string, is func() bool) {
	c.t.Helper()
	for until := time.Now().Add(within); !is(); time.Sleep(look) {
		require.True(c.t, time.Now().Before(until), "never: %s", what)
	}
}

// allReady waits until every proxy is ready and every directory names some.
func (c *cluster) allReady() {
	c.t.Helper()
	for _, n := range c.proxies {
		c.soon(n.name+" is ready", func() bool { return c.ready(n) })
	}
	for _, n := range c.agents {
		c.soon("the directory of "+n.name+" names proxies", func() bool {
			return len(lookup(n.at(portDirectory), places[0])) > 0
		})
	}
}

// ready asks a proxy as the platform does.
func (c *cluster) ready(n *node) bool {
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+n.at(portReady)+"/readiness", nil)
	require.NoError(c.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// operator calls the cores. The context ends with the wait.
func (c *cluster) operator() (*client.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	return &client.Client{Addresses: c.control()}, ctx, cancel
}

// configure puts the next configuration in force.
func (c *cluster) configure(version uint64, extra ...string) {
	c.t.Helper()
	operator, ctx, cancel := c.operator()
	defer cancel()
	require.NoError(c.t, operator.ReplaceConfiguration(ctx, c.version, document(version, extra...)))
	c.version = version
}

// evacuate orders that nothing more go to the endpoints of a zone.
func (c *cluster) evacuate(zone string) {
	c.t.Helper()
	operator, ctx, cancel := c.operator()
	defer cancel()
	require.NoError(c.t, operator.Evacuate(ctx, zone))
}

// report asks a core or an agent what it knows; false: it doesn't answer.
func (c *cluster) report(n *node) (*introspect.Report, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	report, err := introspect.Fetch(ctx, c.rpc, n.at(portInner), introspect.Request{IncludeTables: true})
	return report, err == nil
}

// hasVersion waits until a core or an agent has the newest configuration.
func (c *cluster) hasVersion(n *node) {
	c.t.Helper()
	c.soon(fmt.Sprintf("%s has version %d", n.name, c.version), func() bool {
		report, answered := c.report(n)
		return answered && report.Version == c.version
	})
}
