package serving

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// fixedSeed is the seed that the ordinary tests play, for fixedFaults faults.
	fixedSeed   = 7
	fixedFaults = 3
	// huntedFaults is how many faults a drawn seed has.
	huntedFaults = 8
	// servedBetween is the most requests that are served between two faults.
	servedBetween = 40
	// stoppedMost is the longest that a process is stopped.
	stoppedMost = 3 * time.Second
)

// hunt is a play of drawn faults at a whole system under traffic.
type hunt struct {
	*cluster
	*rand.Rand
	t         *testing.T
	load      *traffic
	evacuated string
}

// huntFault is one kind of fault. Each is over when play returns, as no more than one core may be out at a time.
type huntFault struct {
	name string
	play func(*hunt)
}

var huntFaults = []huntFault{
	{"a core is killed", func(h *hunt) { h.killed(h.one(h.cores), false) }},
	{"a core is killed and its disk lost", func(h *hunt) { h.killed(h.one(h.cores), true) }},
	{"an agent is killed", func(h *hunt) { h.killed(h.one(h.agents), false) }},
	{"a proxy is killed", func(h *hunt) { h.killedProxy() }},
	{"a core stands still", func(h *hunt) { h.stopped(h.one(h.cores)) }},
	{"an agent stands still", func(h *hunt) { h.stopped(h.one(h.agents)) }},
	{"a core is ended", func(h *hunt) { h.ended(h.one(h.cores)) }},
	{"an agent is ended", func(h *hunt) { h.ended(h.one(h.agents)) }},
	{"a proxy is ended", func(h *hunt) { h.ended(h.one(h.proxies)) }},
	{"settings are read again", func(h *hunt) { h.one(h.nodes()).reload() }},
	{"the configuration changes", func(h *hunt) { h.changed() }},
	{"an evacuation begins or ends", func(h *hunt) { h.turned() }},
}

// TestHunt plays ROWAN_HUNT seeds, from ROWAN_SEED on or from one that is new each time; without the first, a short one.
// What a seed does depends on the machine: the moments are those of the traffic.
func TestHunt(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("ROWAN_HUNT"))
	if err != nil {
		playHunt(t, fixedSeed, fixedFaults)
		return
	}
	first := uint64(time.Now().UnixMicro())
	if text := os.Getenv("ROWAN_SEED"); text != "" {
		first, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	for i := range uint64(n) {
		t.Run(fmt.Sprint("seed ", first+i), func(t *testing.T) { playHunt(t, first+i, huntedFaults) })
	}
}

// playHunt plays one seed.
func playHunt(t *testing.T, seed uint64, faults int) {
	h := &hunt{cluster: begin(t), Rand: rand.New(rand.NewPCG(seed, 1)), t: t}
	t.Logf("seed %d, %d faults", seed, faults)
	h.load = h.send()
	for range faults {
		h.load.more(int64(1 + h.IntN(servedBetween)))
		time.Sleep(time.Duration(h.IntN(300)) * time.Millisecond)
		next := huntFaults[h.IntN(len(huntFaults))]
		t.Logf("%s: %s", time.Now().Format("05.000"), next.name)
		next.play(h)
	}
	h.load.more(servedBetween)
	h.load.end()
	h.judgeState()
	h.ledger.judge(t)
}

func (h *hunt) one(of []*node) *node { return of[h.IntN(len(of))] }

// killed kills a process and starts it again after a while.
func (h *hunt) killed(n *node, wiped bool) {
	before := h.replicaOf(h.witness(n), n.at(portInner))
	n.kill()
	if wiped {
		n.wipe()
	}
	h.aWhile()
	n.start()
	h.back(n)
	if wiped {
		h.soon("the core is a replica under a new ID", func() bool {
			now := h.replicaOf(h.witness(n), n.at(portInner))
			return now != "" && now != before
		})
	}
}

// killedProxy kills a proxy. What it had in hand is lost: no rule covers that, and the ledger is told.
func (h *hunt) killedProxy() {
	n := h.one(h.proxies)
	h.ledger.kill(n.at(portFront), n.kill)
	h.aWhile()
	n.start()
	h.back(n)
}

// stopped has a process stand still for a while.
func (h *hunt) stopped(n *node) {
	n.log.Annotate("stop")
	require.NoError(h.t, n.process.Signal(syscall.SIGSTOP))
	time.Sleep(time.Duration(h.Int64N(int64(stoppedMost))))
	require.NoError(h.t, n.process.Signal(syscall.SIGCONT))
	h.back(n)
}

// ended ends a process by plan and starts it again.
func (h *hunt) ended(n *node) {
	n.terminate()
	h.aWhile()
	n.start()
	h.back(n)
}

// changed puts another configuration in force.
func (h *hunt) changed() { h.configure(h.version+1+h.Uint64N(3), fmt.Sprintf("more%d", h.IntN(4))) }

// turned begins an evacuation, or ends the one that there is.
func (h *hunt) turned() {
	operator, ctx, cancel := h.operator()
	defer cancel()
	if h.evacuated != "" {
		require.NoError(h.t, operator.EndEvacuation(ctx, h.evacuated))
		h.evacuated = ""
		return
	}
	h.evacuated = places[h.IntN(len(places))].zone
	require.NoError(h.t, operator.Evacuate(ctx, h.evacuated))
}

func (h *hunt) aWhile() { time.Sleep(time.Duration(h.IntN(1500)) * time.Millisecond) }

// witness is a core other than the one.
func (h *hunt) witness(n *node) *node {
	if h.cores[0] == n {
		return h.cores[1]
	}
	return h.cores[0]
}

// back waits until a process does its work again.
func (h *hunt) back(n *node) {
	switch n.program {
	case programProxy:
		h.soon(n.name+" is ready", func() bool { return h.ready(n) })
	case programCore:
		h.soon(n.name+" is a replica", func() bool { return h.replicaOf(n, n.at(portInner)) != "" })
		h.hasVersion(n)
	default:
		h.hasVersion(n)
	}
}

// judgeState checks that all know what was acknowledged last, and that the operator reads it.
func (h *hunt) judgeState() {
	operator, ctx, cancel := h.operator()
	defer cancel()
	read, err := operator.Configuration(ctx)
	require.NoError(h.t, err)
	assert.Contains(h.t, string(read), fmt.Sprintf(`"edition":%d,`, h.version))
	for _, n := range append(append([]*node(nil), h.cores...), h.agents...) {
		h.hasVersion(n)
		h.soon(n.name+" knows the evacuation", func() bool {
			report, answered := h.report(n)
			if h.evacuated == "" {
				return answered && len(report.Evacuated) == 0
			}
			return answered && len(report.Evacuated) == 1 && report.Evacuated[0] == h.evacuated
		})
	}
}
