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

	"rowanlink/test/fake/endpoint"
	"rowanlink/test/soak/timeline"
)

const (
	// soakSeed is the seed of an ordinary test run.
	soakSeed = 3
	// soakServedPerSecond is the least rate at which requests are served over a timeline: far less than in calm times, so
	// that a run in which hardly anything was served doesn't count as one that held.
	soakServedPerSecond = 10
)

// soakOptions say what TestSoak plays. Without any it is a run of a fixed seed.
type soakOptions struct {
	size      timeline.Size
	seeds     int    // ROWAN_SOAK: the number of seeds
	firstSeed uint64 // ROWAN_SEED; a new one where it isn't set
	file      string // ROWAN_TIMELINE: a timeline that is played in place of seeds
	reduce    bool   // ROWAN_REDUCE: the file's timeline is cut down to the events that break the rule
	saveTo    string // ROWAN_SOAK_DIR: the folder for timelines that broke a rule
	programs  string // ROWAN_SOAK_PROGRAMS: a folder with programs of another version
}

// readSoakOptions reads the options from the environment.
func readSoakOptions(t *testing.T) soakOptions {
	t.Helper()
	options := soakOptions{
		size:      timeline.Small,
		firstSeed: uint64(time.Now().UnixMicro()),
		file:      os.Getenv("ROWAN_TIMELINE"),
		reduce:    os.Getenv("ROWAN_REDUCE") != "",
		saveTo:    os.Getenv("ROWAN_SOAK_DIR"),
		programs:  os.Getenv("ROWAN_SOAK_PROGRAMS"),
	}
	var err error
	switch cores := os.Getenv("ROWAN_SOAK_CORES"); cores {
	case "", "3":
	case "5":
		options.size = timeline.FiveCores
	default:
		require.Fail(t, "ROWAN_SOAK_CORES has to be 3 or 5", cores)
	}
	if text := os.Getenv("ROWAN_SOAK"); text != "" {
		options.seeds, err = strconv.Atoi(text)
		require.NoError(t, err, "ROWAN_SOAK")
	}
	if text := os.Getenv("ROWAN_SEED"); text != "" {
		options.firstSeed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err, "ROWAN_SEED")
	}
	if options.programs == "" {
		options.programs = buildPartitionable(t)
	}
	return options
}

// TestSoak plays timelines of faults that overlap and come in series.
func TestSoak(t *testing.T) {
	t.Parallel()
	options := readSoakOptions(t)
	switch {
	case options.file != "":
		playFile(t, options)
	case options.seeds == 0:
		playTimeline(t, timeline.Generate(soakSeed, options.size), options)
	}
	for i := range uint64(options.seeds) {
		seed := options.firstSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel() // as many at a time as -parallel allows
			playTimeline(t, timeline.Generate(seed, options.size), options)
		})
	}
}

// playFile plays the timeline of a file, and reduces it if it breaks a rule and that is asked for.
func playFile(t *testing.T, options soakOptions) {
	t.Helper()
	file, err := os.Open(options.file)
	require.NoError(t, err)
	defer func() { _ = file.Close() }() // it was read
	read, err := timeline.Read(file, options.size)
	require.NoError(t, err, options.file)
	holds := t.Run("all events", func(t *testing.T) { playTimeline(t, read, options) })
	if !holds && options.reduce {
		reduceTimeline(t, read, options)
	}
}

// playTimeline plays a timeline at a new system and checks the rules.
func playTimeline(t *testing.T, generated timeline.Timeline, options soakOptions) {
	t.Helper()
	player := newSoakPlayer(t, generated, options.programs)
	defer player.saveIfFailed(options.saveTo)
	load := player.startTraffic()
	reader := player.startReader()
	player.play()
	player.awaitCalm()
	load.stopAndCheck()
	reads := reader.end()
	assert.NotEmpty(t, reads)
	assert.Empty(t, outdatedReads(reads, player.versions), "CONFIG: reads of older versions than were acknowledged before")
	player.checkDepartures()
	player.checkEvacuations()
	player.checkState()
	player.ledger.check(t)
	minServed := int64(generated.Length.Seconds() * soakServedPerSecond)
	assert.Greater(t, load.done.Load(), minServed, "requests are served beside the faults")
	player.logFigures(load)
}

// reducePlays is how often a smaller timeline is played before it counts as one that holds.
const reducePlays = 2

// reduceTimeline cuts a timeline that broke a rule down, and logs what remains.
func reduceTimeline(t *testing.T, broken timeline.Timeline, options soakOptions) {
	t.Helper()
	reduced := broken.Reduce(func(candidate timeline.Timeline) bool {
		for range reducePlays {
			if !t.Run(fmt.Sprintf("%d events", len(candidate.Events)), func(t *testing.T) { playTimeline(t, candidate, options) }) {
				return true
			}
		}
		return false
	})
	var text strings.Builder
	require.NoError(t, reduced.Write(&text))
	t.Logf("reduced to:\n%s", text.String())
}

// saveIfFailed writes the timeline of a failed run to a folder, if there is one.
func (p *soakPlayer) saveIfFailed(folder string) {
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
			front := p.frontOf(run.Attempt)
			assert.False(p.t, p.touch.isInTouch(front, run.At), "DRAIN: %s was reached by front %d %v after its acknowledgement",
				departed.endpoint.ID, front, run.At.Sub(departed.acknowledged))
		}
	}
}

// checkEvacuations checks EVAC: machines in touch send nothing to a zone that was evacuated evacuationTime before.
func (p *soakPlayer) checkEvacuations() {
	for _, evacuation := range p.evacuations {
		for _, run := range p.ledger.runsAfter(evacuation.begin.Add(evacuationTime), p.endpointsIn(evacuation.zone)...) {
			front := p.frontOf(run.Attempt)
			isLate := run.At.Before(evacuation.end) && p.touch.isInTouch(front, run.At)
			assert.False(p.t, isLate, "EVAC: %s was reached by front %d %v after its zone's evacuation was acknowledged",
				run.Endpoint, front, run.At.Sub(evacuation.begin))
		}
	}
}

// endpointsIn returns the endpoints in a zone, also those that have left.
func (p *soakPlayer) endpointsIn(zone string) (ids []string) {
	for _, list := range [][]*endpoint.Endpoint{p.stocks, p.writers, p.leaving} {
		for i, e := range list {
			if locations[i%len(locations)].zone == zone {
				ids = append(ids, e.ID)
			}
		}
	}
	return ids
}

// frontOf returns the index of the machine that a client sent an attempt to.
func (p *soakPlayer) frontOf(attempt string) int {
	proxy := p.ledger.proxyOf(attempt)
	return slices.IndexFunc(p.proxies, func(n *node) bool { return n.address(portClients) == proxy })
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
