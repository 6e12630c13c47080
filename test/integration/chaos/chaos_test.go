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

	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

// TestChaos runs ROWAN_HUNT seeds, from ROWAN_SEED on or from one that differs each time. It is skipped without the
// first, since what a seed does depends on the machine.
func TestChaos(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("ROWAN_HUNT"))
	if err != nil {
		t.Skip("make hunt-fleet N=... runs it")
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

func runSeed(t *testing.T, binary string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	options := randomOptions(random, binary)
	t.Logf("seed %d: %d members, lease TTL %s", seed, options.Members, options.LeaseTTL)
	s := &scenario{
		Cluster:        harness.Start(t, options),
		Rand:           random,
		leaseTTL:       options.LeaseTTL,
		requireNoError: func(err error) { require.NoError(t, err) },
	}
	ownership := s.WatchOwnership()
	defer ownership.Check() // also if the webhooks' outcomes are missing
	ctx, stop := context.WithCancel(context.Background())
	wait := s.Platform.StartLoad(ctx, s.randomLoad())
	for range 2 + random.IntN(4) {
		if s.IntN(2) == 0 { // moves go on during the round's faults
			s.affected = map[*harness.Member]bool{}
			drained := s.randomMember().Name
			s.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\nbounds { moves_at_once = 2 }\n", drained))
		}
		s.runRound(t)
	}
	time.Sleep(2 * s.leaseTTL)
	stop()
	wait()
	s.AwaitOutcomes()
	s.Check()
	t.Logf("%+v", s.Platform.Checker.Counts())
}

func randomOptions(random *rand.Rand, binary string) harness.Options {
	options := harness.Options{
		Binary:           binary,
		Members:          3 + random.IntN(4),
		ClockRates:       map[string]float64{},
		LeaseTTL:         time.Second + time.Duration(random.IntN(3))*time.Second,
		Slack:            10 * api.Second,
		CheckedResources: []string{"checked/1", "checked/2"},
		Env:              []string{harness.DebugLog},
	}
	for i := range options.Members {
		options.ClockRates[fmt.Sprintf("m%d", i+1)] = 1 + (random.Float64()-0.5)*0.05
	}
	return options
}

// runRound has one fault or two at once, started by a random trigger.
func (s *scenario) runRound(t *testing.T) {
	trigger, offsets := logTriggers[s.IntN(len(logTriggers))], s.LogOffsets()
	s.affected = map[*harness.Member]bool{}
	s.awaitTrigger(trigger, offsets)
	var ends []func()
	for range 1 + s.IntN(2) {
		f := faults[s.IntN(len(faults))]
		t.Logf("%s: %s (%s)", time.Now().Format("05.000"), f.name, trigger)
		if end := f.start(s); end != nil {
			ends = append(ends, end)
		}
	}
	time.Sleep(s.randomDuration())
	for _, end := range ends {
		end()
	}
	for _, m := range s.Members {
		m.AwaitReady()
	}
}

// awaitTrigger waits until a member logs a trigger, for a random time at most.
func (s *scenario) awaitTrigger(trigger string, offsets map[*harness.Member]int) {
	deadline := time.Now().Add(s.randomDuration())
	for time.Now().Before(deadline) {
		if trigger != "" && s.FindLog(offsets, trigger) != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
