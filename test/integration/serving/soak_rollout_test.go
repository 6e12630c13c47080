package serving

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/operator/client"
	"rowanlink/test/fake/endpoint"
	"rowanlink/test/soak/timeline"
)

const (
	// rolloutSoakSeed is the first seed of an ordinary test run: a good version; the next one is a bad one.
	rolloutSoakSeed  = 6
	rolloutSoakSeeds = 2
	// rolloutOrderedAfter is when the order is sent, since the begin of the timeline: just before its first events.
	rolloutOrderedAfter = 1500 * time.Millisecond
	// retiredTime is how long after its end was read a roll-out's retired version may still get requests.
	retiredTime = 5 * time.Second
)

// soakRollout is a roll-out that is played beside a timeline.
type soakRollout struct {
	player  *soakPlayer
	good    bool
	targets []*endpoint.Endpoint

	orderedAt    time.Time
	acknowledged bool
	found        client.Rollout // as it was read last
	endedAt      time.Time      // when it was first read to have ended
}

// TestSoak_Rollouts plays timelines of faults beside the roll-out of a good version (even seeds) and of one half of whose
// answers fail (odd seeds).
func TestSoak_Rollouts(t *testing.T) {
	t.Parallel()
	options := readSoakOptions(t)
	first, seeds := options.firstSeed, options.seeds
	if seeds == 0 {
		first, seeds = rolloutSoakSeed, rolloutSoakSeeds
	}
	for i := range uint64(seeds) {
		seed := first + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playRollout(t, timeline.Generate(seed, options.size), options, seed%2 == 0)
		})
	}
}

// playRollout plays a timeline beside a roll-out and checks the rules.
func playRollout(t *testing.T, generated timeline.Timeline, options soakOptions, good bool) {
	t.Helper()
	player := newSoakPlayer(t, generated, options.programs)
	defer player.saveIfFailed(options.saveTo)
	r := &soakRollout{player: player, good: good}
	load := player.startTraffic()
	player.schedule(time.Now().Add(rolloutOrderedAfter), r.order)
	player.play()
	player.awaitCalm()
	r.await()
	load.awaitServed(1)
	time.Sleep(retiredTime)
	load.stop()
	load.clients.Wait()
	if good {
		assert.Zero(t, load.failed.Load(), "requests without a response")
		player.ledger.check(t)
	}
	player.checkDepartures()
	player.checkState()
	r.check()
	player.logFigures(load)
}

// order sends the order, and starts the endpoints of the target once it is acknowledged.
func (r *soakRollout) order() {
	r.orderedAt = time.Now()
	event := timeline.Event{Kind: timeline.ChangeConfiguration}
	r.player.callOperator(event, func(ctx context.Context, operator *client.Client) error {
		return operator.BeginRollout(ctx, serviceStock, targetVersion, rolloutDuration)
	}, func(time.Time) {
		r.acknowledged = true
		share := 0.5
		if r.good {
			share = 0
		}
		r.targets = r.player.startTargets(share)
	})
}

// await waits until the roll-out has ended.
func (r *soakRollout) await() {
	r.player.eventually("the roll-out has ended", func() bool {
		r.found = r.player.readRollout()
		return r.found.State != "in_transit"
	})
	r.endedAt = time.Now()
}

// check checks LOST, EXPOSURE and that the retired version gets nothing more.
func (r *soakRollout) check() {
	t := r.player.t
	assert.True(t, r.acknowledged)
	assert.Equal(t, targetVersion, r.found.Target, "LOST")
	var targets, former []string
	for _, e := range r.targets {
		targets = append(targets, e.ID)
	}
	for _, e := range append(append([]*endpoint.Endpoint{}, r.player.stocks...), r.player.leaving...) {
		former = append(former, e.ID)
	}
	retired := targets
	if r.found.State == "delivered" {
		retired = former
	}
	t.Logf("good %v: %s, %+v", r.good, r.found.State, r.found.Verdict)
	for _, run := range r.player.ledger.runsAfter(r.endedAt.Add(retiredTime/2), retired...) {
		inTouch := r.player.touch.isInTouch(r.player.frontOf(run.Attempt), run.At)
		assert.False(t, inTouch, "ROUTE: %s of a retired version got a request %v after the end was read", run.Endpoint, run.At.Sub(r.endedAt))
	}
	if r.good {
		return
	}
	assert.Equal(t, "returned", r.found.State)
	deadline := r.orderedAt.Add(rolloutDuration)
	exposed, all := 0, len(r.runsUntil(deadline, former))
	for _, run := range r.runsUntil(deadline, targets) {
		all++
		if r.player.touch.isInTouch(r.player.frontOf(run.Attempt), run.At) {
			exposed++
		}
	}
	t.Logf("exposed %d of %d", exposed, all)
	assert.LessOrEqual(t, float64(exposed), exposureShare*float64(all)+exposureSlack, "EXPOSURE")
}

// runsUntil returns the runs at some endpoints from the order to a time.
func (r *soakRollout) runsUntil(deadline time.Time, ids []string) (runs []endpoint.RequestEvent) {
	for _, run := range r.player.ledger.runsAfter(r.orderedAt, ids...) {
		if run.At.Before(deadline) {
			runs = append(runs, run)
		}
	}
	return runs
}
