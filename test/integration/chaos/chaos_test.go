package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

// TestHunt plays ROWAN_HUNT seeds, from ROWAN_SEED on or from one that is new each time. Without the first it
// is left out: what a seed does depends on the machine.
func TestHunt(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("ROWAN_HUNT"))
	if err != nil {
		t.Skip("make hunt-fleet N=... plays it")
	}
	first := uint64(time.Now().UnixMicro())
	if text := os.Getenv("ROWAN_SEED"); text != "" {
		first, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	binary, remove, err := harness.Build("../../..", "rowan-clustered")
	require.NoError(t, err)
	defer remove()
	for i := range uint64(n) {
		t.Run(fmt.Sprint("seed ", first+i), func(t *testing.T) { runSeed(t, binary, first+i) })
	}
}

// runSeed plays one seed.
func runSeed(t *testing.T, binary string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	shape := harness.Options{Binary: binary, Members: 3 + r.IntN(4), ClockRates: map[string]float64{},
		LeaseTTL: time.Second + time.Duration(r.IntN(3))*time.Second, Slack: 10 * api.Second, WaitsBindAll: false,
		CheckedResources: []string{"errand/1", "errand/2"}, Env: []string{harness.DebugLog}}
	for i := range shape.Members {
		shape.ClockRates[fmt.Sprintf("m%d", i+1)] = 1 + (r.Float64()-0.5)*0.05
	}
	t.Logf("seed %d: %d members, term %s", seed, shape.Members, shape.LeaseTTL)
	w := &scenario{Cluster: harness.Start(t, shape), Rand: r, leaseTTL: shape.LeaseTTL,
		requireNoError: func(err error) { require.NoError(t, err) }}
	views := w.WatchOwnership()
	defer views.Check() // of what did not settle, too
	ctx, stop := context.WithCancel(context.Background())
	done := w.Platform.StartLoad(ctx, w.randomLoad())
	for range 2 + r.IntN(4) {
		if w.IntN(2) == 0 { // moves go on beside what the round has
			w.affected = map[*harness.Member]bool{}
			w.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\nbounds { moves_at_once = 2 }\n", w.randomMember().Name))
		}
		w.runRound(t)
	}
	w.sleep(2 * w.leaseTTL)
	stop()
	done()
	w.AwaitOutcomes()
	w.Check()
	t.Logf("%+v", w.Platform.Checker.Counts())
}

// randomLoad is drawn: event types in turn, some destinations more than others.
func (w *scenario) randomLoad() platform.Load {
	types, names, dests := []string{"status", "paid", "charge"}, w.Names(), w.destinations()
	hot := w.IntN(len(dests))
	return platform.Load{Members: names, PerSecond: 40 + 100*w.Float64(), Clients: 6,
		Next: func(n int) platform.Webhook {
			d := dests[n/3%len(dests)]
			if n%2 == 0 {
				d = dests[hot]
			}
			return platform.Webhook{Type: types[n%len(types)], Destination: d, Body: "a webhook's body"}
		}}
}

// runRound has one fault or two at once, at a drawn moment.
func (w *scenario) runRound(t *testing.T) {
	moment, marks := logTriggers[w.IntN(len(logTriggers))], w.LogOffsets()
	w.affected = map[*harness.Member]bool{}
	for until := time.Now().Add(w.randomDuration()); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if moment != "" && w.FindLog(marks, moment) != nil {
			break
		}
	}
	var ends []func()
	for range 1 + w.IntN(2) {
		f := faults[w.IntN(len(faults))]
		t.Logf("%s: %s (%s)", time.Now().Format("05.000"), f.name, moment)
		if end := f.start(w); end != nil {
			ends = append(ends, end)
		}
	}
	w.sleep(w.randomDuration())
	for _, end := range ends {
		end()
	}
	for _, m := range w.Members {
		m.AwaitReady()
	}
}

func (w *scenario) sleep(span time.Duration) { time.Sleep(span) }
