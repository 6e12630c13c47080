package serving

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// fixedSeed and fixedFaults are the seed and the number of faults of an ordinary test run.
	fixedSeed   = 7
	fixedFaults = 3
	// randomFaults is the number of faults of other seeds.
	randomFaults = 8
	// maxServedBetween is the largest number of requests served between two faults.
	maxServedBetween = 40
	// maxStopped is the longest time that a process is suspended.
	maxStopped = 3 * time.Second
)

// chaosRun injects random faults into a system under traffic.
type chaosRun struct {
	*cluster
	*rand.Rand
	t         *testing.T
	traffic   *traffic
	evacuated string

	departures  []chaosDeparture
	disruptions []time.Time // when processes came back
}

// chaosFault is a kind of fault. It is over when inject returns, since only one core may be down at a time.
type chaosFault struct {
	name   string
	inject func(*chaosRun)
}

var chaosFaults = []chaosFault{
	{"a core is killed", func(h *chaosRun) { h.killAndRestart(h.pickNode(h.cores), false) }},
	{"a core is killed and its disk lost", func(h *chaosRun) { h.killAndRestart(h.pickNode(h.cores), true) }},
	{"an agent is killed", func(h *chaosRun) { h.killAndRestart(h.pickNode(h.agents), false) }},
	{"a proxy is killed", func(h *chaosRun) { h.killProxyAndRestart() }},
	{"all agents and proxies are killed together", func(h *chaosRun) { h.killHerdAndRestart() }},
	{"a core is suspended", func(h *chaosRun) { h.suspend(h.pickNode(h.cores)) }},
	{"an agent is suspended", func(h *chaosRun) { h.suspend(h.pickNode(h.agents)) }},
	{"a proxy is suspended", func(h *chaosRun) { h.suspend(h.pickNode(h.proxies)) }},
	{"a core is shut down", func(h *chaosRun) { h.terminateAndRestart(h.pickNode(h.cores)) }},
	{"an agent is shut down", func(h *chaosRun) { h.terminateAndRestart(h.pickNode(h.agents)) }},
	{"a proxy is shut down", func(h *chaosRun) { h.terminateAndRestart(h.pickNode(h.proxies)) }},
	{"settings are reloaded", func(h *chaosRun) { h.pickNode(h.nodes()).reload() }},
	{"the configuration changes", func(h *chaosRun) { h.changeConfiguration() }},
	{"an evacuation begins or ends", func(h *chaosRun) { h.toggleEvacuation() }},
	{"an endpoint leaves", func(h *chaosRun) { h.departEndpoint() }},
	{"an endpoint leaves and all cores are killed", func(h *chaosRun) {
		h.departEndpoint()
		h.restartCores()
	}},
}

// TestChaos runs ROWAN_HUNT seeds, from ROWAN_SEED on or, without it, from a new one. Without ROWAN_HUNT it is a short
// run of a fixed seed. A seed's effects depend on the machine: faults are timed by the traffic.
func TestChaos(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("ROWAN_HUNT"))
	if err != nil {
		runChaos(t, fixedSeed, fixedFaults)
		return
	}
	first := uint64(time.Now().UnixMicro())
	if text := os.Getenv("ROWAN_SEED"); text != "" {
		first, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	for i := range uint64(n) {
		t.Run(fmt.Sprint("seed ", first+i), func(t *testing.T) { runChaos(t, first+i, randomFaults) })
	}
}

// runChaos runs one seed.
func runChaos(t *testing.T, seed uint64, faults int) {
	c := startClusterWithHeartbeats(t, func(string, int) string { return "" }, chaosHeartbeatInterval)
	h := &chaosRun{cluster: c, Rand: rand.New(rand.NewPCG(seed, 1)), t: t}
	t.Logf("seed %d, %d faults", seed, faults)
	h.traffic = h.startTraffic()
	for range faults {
		h.traffic.awaitServed(int64(1 + h.IntN(maxServedBetween)))
		time.Sleep(time.Duration(h.IntN(300)) * time.Millisecond)
		next := chaosFaults[h.IntN(len(chaosFaults))]
		t.Logf("%s: %s", time.Now().Format("05.000"), next.name)
		next.inject(h)
	}
	h.traffic.awaitServed(maxServedBetween)
	h.checkDepartures()
	h.traffic.stopAndCheck()
	h.checkState()
	h.ledger.check(t)
}

func (h *chaosRun) pickNode(of []*node) *node { return of[h.IntN(len(of))] }

// killAndRestart kills a process and restarts it after a while.
func (h *chaosRun) killAndRestart(n *node, wiped bool) {
	before := h.replicaOf(h.otherCore(n), n.address(portMembers))
	n.kill()
	if wiped {
		n.wipe()
	}
	h.sleepRandomly()
	n.start()
	h.awaitRecovered(n)
	if wiped {
		h.eventually("the core is a replica under a new ID", func() bool {
			now := h.replicaOf(h.otherCore(n), n.address(portMembers))
			return now != "" && now != before
		})
	}
}

// killProxyAndRestart kills a proxy and restarts it. Its requests in flight may be lost, which the ledger records.
func (h *chaosRun) killProxyAndRestart() {
	n := h.pickNode(h.proxies)
	h.ledger.killProxy(n.address(portClients), n.kill)
	h.sleepRandomly()
	n.start()
	h.awaitRecovered(n)
}

// killHerdAndRestart kills all agents and proxies at the same moment, and restarts them all at the same moment.
func (h *chaosRun) killHerdAndRestart() {
	for _, n := range h.proxies {
		h.ledger.killProxy(n.address(portClients), n.kill)
	}
	for _, n := range h.agents {
		n.kill()
	}
	h.sleepRandomly()
	herd := append(slices.Clone(h.agents), h.proxies...)
	for _, n := range herd {
		n.start()
	}
	for _, n := range herd {
		h.awaitRecovered(n)
	}
}

// suspend suspends a process for a while.
func (h *chaosRun) suspend(n *node) {
	n.log.Annotate("stop")
	require.NoError(h.t, n.process.Signal(syscall.SIGSTOP))
	time.Sleep(time.Duration(h.Int64N(int64(maxStopped))))
	require.NoError(h.t, n.process.Signal(syscall.SIGCONT))
	h.awaitRecovered(n)
}

// terminateAndRestart shuts a process down gracefully and restarts it.
func (h *chaosRun) terminateAndRestart(n *node) {
	n.terminate()
	h.sleepRandomly()
	n.start()
	h.awaitRecovered(n)
}

// changeConfiguration replaces the configuration.
func (h *chaosRun) changeConfiguration() {
	h.configure(h.version+1+h.Uint64N(3), fmt.Sprintf("more%d", h.IntN(4)))
}

// toggleEvacuation begins an evacuation, or ends the current one.
func (h *chaosRun) toggleEvacuation() {
	operator, ctx, cancel := h.operator()
	defer cancel()
	if h.evacuated != "" {
		require.NoError(h.t, operator.EndEvacuation(ctx, h.evacuated))
		h.evacuated = ""
		return
	}
	h.evacuated = locations[h.IntN(len(locations))].zone
	require.NoError(h.t, operator.Evacuate(ctx, h.evacuated))
}

func (h *chaosRun) sleepRandomly() { time.Sleep(time.Duration(h.IntN(1500)) * time.Millisecond) }

// otherCore returns another core than the node.
func (h *chaosRun) otherCore(n *node) *node {
	if h.cores[0] == n {
		return h.cores[1]
	}
	return h.cores[0]
}

// awaitRecovered waits until a process that has come back works again.
func (h *chaosRun) awaitRecovered(n *node) {
	h.disruptions = append(h.disruptions, time.Now())
	switch n.program {
	case programProxy:
		h.eventually(n.name+" is ready", func() bool { return h.isReady(n) })
	case programCore:
		h.eventually(n.name+" is a replica", func() bool { return h.replicaOf(n, n.address(portMembers)) != "" })
		h.awaitVersion(n)
	default:
		h.awaitVersion(n)
	}
}

// checkState checks that all processes know what was acknowledged last, and that an operator reads it.
func (h *chaosRun) checkState() {
	operator, ctx, cancel := h.operator()
	defer cancel()
	read, err := operator.Configuration(ctx)
	require.NoError(h.t, err)
	assert.Contains(h.t, string(read), fmt.Sprintf(`"edition":%d,`, h.version))
	for _, n := range append(append([]*node(nil), h.cores...), h.agents...) {
		h.awaitVersion(n)
		h.eventually(n.name+" knows the evacuation", func() bool {
			report, answered := h.report(n)
			if h.evacuated == "" {
				return answered && len(report.Evacuated) == 0
			}
			return answered && len(report.Evacuated) == 1 && report.Evacuated[0] == h.evacuated
		})
	}
}
