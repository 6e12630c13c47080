package serving

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/soak/timeline"
)

const (
	// soakSeed is the seed of an ordinary test run.
	soakSeed = 3
	// soakServedPerSecond is the least rate at which requests are served over a timeline: far less than in calm times, so
	// that a run in which hardly anything was served doesn't count as one that held.
	soakServedPerSecond = 10
)

// TestSoak plays timelines of faults that overlap and come in series: those of ROWAN_SOAK seeds, from ROWAN_SEED on or,
// without it, from a new one; or that of the file ROWAN_TIMELINE. Without either it is a run of a fixed seed. Timelines
// that broke a rule are written to ROWAN_SOAK_DIR, where it is set.
func TestSoak(t *testing.T) {
	if path := os.Getenv("ROWAN_TIMELINE"); path != "" {
		file, err := os.Open(path)
		require.NoError(t, err)
		defer func() { _ = file.Close() }() // it was read
		read, err := timeline.Read(file, timeline.Small)
		require.NoError(t, err, path)
		playTimeline(t, read)
		if t.Failed() && os.Getenv("ROWAN_REDUCE") != "" {
			reduceTimeline(t, read)
		}
		return
	}
	n, err := strconv.Atoi(os.Getenv("ROWAN_SOAK"))
	if err != nil {
		playTimeline(t, timeline.Generate(soakSeed, timeline.Small))
		return
	}
	first := uint64(time.Now().UnixMicro())
	if text := os.Getenv("ROWAN_SEED"); text != "" {
		first, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	for seed := first; seed < first+uint64(n); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel() // as many at a time as -parallel allows
			playTimeline(t, timeline.Generate(seed, timeline.Small))
		})
	}
}

// playTimeline plays a timeline at a new system and checks the rules.
func playTimeline(t *testing.T, drawn timeline.Timeline) {
	t.Helper()
	player := newSoakPlayer(t, drawn)
	defer player.saveIfFailed()
	load := player.startTraffic()
	reader := player.startReader()
	player.play()
	player.awaitCalm()
	load.stopAndCheck()
	reads := reader.end()
	assert.NotEmpty(t, reads)
	assert.Empty(t, outdatedReads(reads, player.versions), "CONFIG: reads of older versions than were acknowledged before")
	player.checkDepartures()
	player.checkState()
	player.ledger.check(t)
	minServed := int64(drawn.Length.Seconds() * soakServedPerSecond)
	assert.Greater(t, load.done.Load(), minServed, "requests are served beside the faults")
	player.logFigures(load)
}

// reducePlays is how often a smaller timeline is played before it counts as one that holds.
const reducePlays = 2

// reduceTimeline cuts a timeline that broke a rule down, and logs what remains.
func reduceTimeline(t *testing.T, broken timeline.Timeline) {
	t.Helper()
	reduced := broken.Reduce(func(candidate timeline.Timeline) bool {
		for range reducePlays {
			if !t.Run(fmt.Sprintf("%d events", len(candidate.Events)), func(t *testing.T) { playTimeline(t, candidate) }) {
				return true
			}
		}
		return false
	})
	var text strings.Builder
	require.NoError(t, reduced.Write(&text))
	t.Logf("reduced to:\n%s", text.String())
}

// saveIfFailed writes the timeline of a failed run to ROWAN_SOAK_DIR.
func (p *soakPlayer) saveIfFailed() {
	folder := os.Getenv("ROWAN_SOAK_DIR")
	if !p.t.Failed() || folder == "" {
		return
	}
	path := filepath.Join(folder, filepath.Base(p.t.Name())+".timeline")
	file, err := os.Create(path)
	if !assert.NoError(p.t, err) {
		return
	}
	assert.NoError(p.t, p.timeline.Write(file))
	assert.NoError(p.t, file.Close())
	p.t.Logf("ROWAN_TIMELINE=%s go test -run TestSoak ./test/integration/serving plays it again", path)
}

// logFigures logs what the run consisted of.
func (p *soakPlayer) logFigures(load *traffic) {
	memoryKB := 0
	for _, n := range p.nodes() {
		memoryKB += n.peakMemoryKB()
	}
	overlaps := p.timeline.Overlaps()
	pairs := slices.Collect(maps.Keys(overlaps))
	p.t.Logf("requests %d, events %d, pairs of kinds that overlapped %d, processes %d, peak memory of all %d MB",
		load.done.Load(), len(p.timeline.Events), len(pairs), len(p.nodes()), memoryKB>>10)
}

// checkDepartures checks DRAIN: machines in touch send nothing to an endpoint that had left drainTime before.
func (p *soakPlayer) checkDepartures() {
	for _, departed := range p.departures {
		for _, run := range p.ledger.runsAfter(departed.acknowledged.Add(drainTime), departed.endpoint.ID) {
			proxy := p.ledger.proxyOf(run.Attempt)
			front := slices.IndexFunc(p.proxies, func(n *node) bool { return n.address(portClients) == proxy })
			assert.False(p.t, p.touch.isInTouch(front, run.At), "DRAIN: %s was reached by front %d %v after its acknowledgement",
				departed.endpoint.ID, front, run.At.Sub(departed.acknowledged))
		}
	}
}

// checkState checks that all processes know what was acknowledged last, that an operator reads it, and that each proxy
// uses it.
func (p *soakPlayer) checkState() {
	operator, ctx, cancel := p.operator()
	defer cancel()
	read, err := operator.Configuration(ctx)
	require.NoError(p.t, err)
	assert.Contains(p.t, string(read), fmt.Sprintf(`"edition":%d,`, p.version), "CONFIG: an operator reads another version")
	by := newHTTPClient()
	defer by.CloseIdleConnections()
	for _, n := range p.proxies {
		_, status := p.sendRequest(p.t.Context(), by, kindStock, "/"+p.newestRoute+"/x", n.address(portClients), p.openAttempt(kindStock))
		assert.Equal(p.t, 200, status, "CONFIG: %s doesn't have the newest route", n.name)
	}
	for _, n := range append(slices.Clone(p.cores), p.agents...) {
		report, answered := p.report(n)
		if assert.True(p.t, answered, "%s on %s doesn't answer", n.program, n.name) {
			assert.Equal(p.t, p.version, report.Version, "CONFIG: the version at %s", n.name)
			assert.Empty(p.t, report.Evacuated, "EVAC: at %s", n.name)
		}
	}
}
