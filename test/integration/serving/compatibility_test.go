package serving

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/integration/subprocess"
)

const (
	// earlierRelease is the commit of the release that the present programs must work with.
	earlierRelease = "63a0b9110229a8d9e45402ca15e9b304a96f89ef"
	// releaseBeforeDepartures is the newest release whose disks have no departed endpoints.
	releaseBeforeDepartures = "2612fb5437ef529f2cc1d21f59b30160119c8068"
	// releaseBeforeRollouts is the newest release that doesn't know roll-outs.
	releaseBeforeRollouts = "643a9f8fb071e2125ba73026e96c134f428832c6"
	// repositoryRoot is the folder of go.mod, relative to this package.
	repositoryRoot = "../../.."
	// servedPerPhase is how many requests are served before and after each change of the configuration.
	servedPerPhase = 60
)

// programOfMachine identifies a process by its program and the index of its machine in locations.
type programOfMachine struct {
	program string
	index   int
}

// firstGroup holds the processes that run one release; all others run the other one. Machine 0 has an agent and a
// proxy of the same release, machines 1 and 2 have one of each.
var firstGroup = map[programOfMachine]bool{
	{programCore, 0}:  true,
	{programCore, 1}:  true,
	{programAgent, 0}: true,
	{programAgent, 1}: true,
	{programProxy, 0}: true,
	{programProxy, 2}: true,
}

// TestCompatibility_MixedVersions: programs of an earlier release and the present ones form one system, as during a
// rolling update. It serves all requests while its configuration changes through a core of each release.
func TestCompatibility_MixedVersions(t *testing.T) {
	earlier := buildRelease(t, earlierRelease)
	for _, scenario := range []struct {
		name              string
		firstGroupEarlier bool
	}{
		{"most cores are of the earlier release", true},
		{"most cores are of the present release", false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := startClusterWithSelector(t, func(program string, number int) string {
				if isInFirstGroup(program, number) == scenario.firstGroupEarlier {
					return earlier
				}
				return ""
			})
			changeThroughEachRelease(c)
			c.requireRolloutIsPutOff()
			c.ledger.check(t)
		})
	}
}

// TestCompatibility_RolloutsNeedEachProgram: no roll-out begins while a single agent or proxy is of an earlier release; it
// does once that is replaced.
func TestCompatibility_RolloutsNeedEachProgram(t *testing.T) {
	earlier := buildRelease(t, releaseBeforeRollouts)
	for _, program := range []string{programAgent, programProxy} {
		t.Run(program, func(t *testing.T) {
			c := startClusterWithSelector(t, func(started string, number int) string {
				if started == program && number == firstProxyNumber {
					return earlier
				}
				return ""
			})
			c.requireRolloutIsPutOff()
			replaced := c.agents[0]
			if program == programProxy {
				replaced = c.proxies[0]
			}
			replaced.kill()
			replaced.programs = ""
			replaced.start()
			c.awaitReady()
			c.orderRollout()
			assert.Equal(t, "in_transit", c.readRollout().State)
		})
	}
}

// TestCompatibility_Disks: the present programs start on the disks of the release before the departures were on them,
// and that release starts on theirs. Nothing acknowledged is lost by the change.
func TestCompatibility_Disks(t *testing.T) {
	earlier := buildRelease(t, releaseBeforeDepartures)
	c := startClusterWithPrograms(t, earlier)
	for round, folder := range []string{"", earlier} {
		c.configure(c.version+1, fmt.Sprint("round", round))
		require.NoError(t, c.stocks[round].Deregister(t.Context()))
		for _, n := range c.nodes() {
			n.kill()
		}
		for _, n := range c.nodes() {
			n.programs = folder
			n.start()
		}
		c.awaitReady()
		for _, n := range c.cores {
			c.assertConfiguration(n, string(configurationWith(c.version, fmt.Sprint("round", round))))
		}
		load := c.startTraffic()
		load.awaitServed(servedPerPhase)
		load.stopAndCheck()
	}
	c.ledger.check(t)
}

// requireRolloutIsPutOff checks that no core acknowledges the order of a roll-out while one of them runs a release whose
// records would lack it. The order may be sent again.
func (c *cluster) requireRolloutIsPutOff() {
	c.t.Helper()
	order := fmt.Sprintf(`{"carrier":%q,"target":"v2","over_s":60}`, serviceStock)
	for _, core := range c.cores {
		request, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost,
			"http://"+core.address(portControl)+"/Editions.Begin", strings.NewReader(order))
		require.NoError(c.t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(c.t, err)
		_ = response.Body.Close()
		want := http.StatusServiceUnavailable
		if core.programs != "" {
			want = http.StatusNotFound // that release
		}
		assert.Equal(c.t, want, response.StatusCode, core.name)
	}
}

// isInFirstGroup reports whether a program belongs to firstGroup on the machine whose address ends in a number.
func isInFirstGroup(program string, number int) bool {
	first := firstProxyNumber
	if program == programCore {
		first = firstCoreNumber
	}
	return firstGroup[programOfMachine{program, number - first}]
}

// changeThroughEachRelease changes the configuration under traffic, once through a core of each release, and then has an
// endpoint leave.
func changeThroughEachRelease(c *cluster) {
	c.t.Helper()
	load := c.startTraffic()
	load.awaitServed(servedPerPhase)
	for round, core := range []*node{c.cores[0], c.cores[2]} {
		route := fmt.Sprint("round", round)
		c.configureThrough(core, route)
		for _, n := range c.proxies {
			c.awaitRoute(n, route)
		}
		for _, n := range append(append([]*node(nil), c.cores...), c.agents...) {
			c.awaitVersion(n)
		}
		for _, n := range c.cores {
			c.assertConfiguration(n, string(configurationWith(c.version, route)))
		}
		load.awaitServed(servedPerPhase)
	}
	for _, n := range c.proxies {
		before := c.ledger.countServedBy(n.address(portClients))
		c.eventually(n.name+" serves", func() bool { return c.ledger.countServedBy(n.address(portClients)) > before })
	}
	departed := c.stocks[0]
	require.NoError(c.t, departed.Deregister(c.t.Context()), "an endpoint's end is acknowledged")
	drained := time.Now().Add(drainTime)
	load.awaitServed(servedPerPhase)
	time.Sleep(time.Until(drained.Add(drainTime)))
	load.stopAndCheck()
	assert.Empty(c.t, c.ledger.runsAfter(drained, departed.ID))
	for _, n := range c.nodes() {
		assert.True(c.t, n.process.IsRunning(), "%s on %s", n.program, n.name)
	}
}

// configureThrough replaces the configuration through one core by one with an additional route.
func (c *cluster) configureThrough(core *node, route string) {
	c.t.Helper()
	change := replaceRequest(c.version, c.version+1, route)
	c.eventually(core.name+" acknowledges the configuration", func() bool {
		status, _ := core.call(change)
		return status == http.StatusOK
	})
	c.version++
}

// awaitRoute waits until a proxy serves an additional route.
func (c *cluster) awaitRoute(proxy *node, route string) {
	c.t.Helper()
	by := newHTTPClient()
	defer by.CloseIdleConnections()
	c.eventually(fmt.Sprintf("%s serves %s", proxy.name, route), func() bool {
		attempt := c.openAttempt(kindStock)
		_, status := c.sendRequest(c.t.Context(), by, kindStock, "/"+route+"/x", proxy.address(portClients), attempt)
		return status == http.StatusOK
	})
}

// assertConfiguration reads the configuration from a core until the core responds, and checks it.
func (c *cluster) assertConfiguration(core *node, want string) {
	c.t.Helper()
	var read string
	c.eventually(core.name+" responds to a read", func() bool {
		var status int
		status, read = core.call(operatorRequest{method: http.MethodGet, path: "/Settings.Read"})
		return status == http.StatusOK
	})
	assert.Equal(c.t, want, read, core.name)
}

// buildRelease builds the programs of a commit and returns their folder. It skips the test if the repository does not
// have the commit.
func buildRelease(t *testing.T, commit string) string {
	t.Helper()
	if err := exec.CommandContext(t.Context(), "git", "-C", repositoryRoot, "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("the repository's history lacks commit %s (a shallow clone, or no git): %v", commit, err)
	}
	archive := filepath.Join(t.TempDir(), "source.tar")
	source := t.TempDir()
	runCommand(t, "git", "-C", repositoryRoot, "archive", "--output="+archive, commit)
	runCommand(t, "tar", "-x", "-f", archive, "-C", source)
	folder, remove, err := subprocess.Build(source, programCore, programAgent, programProxy)
	require.NoError(t, err)
	t.Cleanup(remove)
	return folder
}

// runCommand runs a command that must succeed.
func runCommand(t *testing.T, name string, arguments ...string) {
	t.Helper()
	command := exec.CommandContext(t.Context(), name, arguments...)
	output, err := command.CombinedOutput()
	require.NoError(t, err, "%s: %s", name, output)
}
