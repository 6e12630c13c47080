package serving

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/operator/client"
	"rowanlink/test/fake/endpoint"
)

const (
	// firstTargetNumber is the number in the first address of a roll-out's endpoints.
	firstTargetNumber = 91
	targetVersion     = "v2"
	rolloutDuration   = 10 * time.Second
	// The bounds of the rules: a bad version may get exposureShare of the service's requests and exposureSlack more.
	exposureShare = 0.1
	exposureSlack = 50
)

// TestRollout_GoodVersionWithItsCoresKilled orders a roll-out to a good version. All core processes are killed after the
// acknowledgement and start again; the roll-out goes on and is promoted, and no request is lost when the former
// endpoints end.
func TestRollout_GoodVersionWithItsCoresKilled(t *testing.T) {
	c := startCluster(t)
	load := c.startTraffic()
	load.awaitServed(100)
	c.orderRollout()
	c.startTargets(0)
	c.killAllCoresAtOnce()
	for _, core := range c.cores {
		core.start()
	}
	assert.Equal(t, "in_transit", c.readRollout().State, "what was acknowledged is there")
	c.orderRollout() // the order may come again
	c.eventually("the roll-out is delivered", func() bool { return c.readRollout().State == "delivered" })
	former := c.stocks
	promoted := time.Now()
	load.awaitServed(300)
	for _, e := range former {
		assert.Empty(t, c.ledger.runsAfter(promoted, e.ID), "a former endpoint got a request")
		e.Close()
	}
	c.stocks = nil
	load.awaitServed(100)
	load.stopAndCheck()
	c.ledger.check(t)
}

// TestRollout_BadVersion orders a roll-out to a version half of whose answers fail, while an agent is killed.
func TestRollout_BadVersion(t *testing.T) {
	c := startCluster(t)
	load := c.startTraffic()
	load.awaitServed(100)
	ordered := time.Now()
	c.orderRollout()
	targets := c.startTargets(0.5)
	c.agents[0].kill()
	c.agents[0].start()
	c.eventually("the roll-out is returned", func() bool { return c.readRollout().State == "returned" })
	found := c.readRollout()
	assert.Equal(t, "failures", found.Verdict.Reason)
	assert.Equal(t, []string{targetVersion}, found.Retired)
	assert.Less(t, time.Since(ordered), rolloutDuration)
	rolledBack := time.Now()
	load.awaitServed(300)
	var all []string
	for _, e := range append(targets, c.stocks...) {
		all = append(all, e.ID)
	}
	exposed := 0
	for _, e := range targets {
		exposed += len(c.ledger.runsAfter(ordered, e.ID))
		assert.Empty(t, c.ledger.runsAfter(rolledBack.Add(time.Second), e.ID), "the target got a request after its roll-back")
	}
	assert.LessOrEqual(t, float64(exposed), exposureShare*float64(len(c.ledger.runsAfter(ordered, all...)))+exposureSlack)
	c.orderRollout() // sent again: it is neither refused nor begun anew
	assert.Equal(t, "returned", c.readRollout().State)
	load.stop()
	load.clients.Wait()
}

// startTargets starts endpoints of the plain service's version v2.
func (c *cluster) startTargets(failureShare float64) (targets []*endpoint.Endpoint) {
	c.t.Helper()
	for i := range 2 * len(locations) {
		options := stockOptions()
		options.Edition = targetVersion
		options.FailureShare = failureShare
		target := c.startEndpoint(options, firstTargetNumber+i, locations[i%len(locations)])
		c.t.Cleanup(target.Close)
		targets = append(targets, target)
	}
	return targets
}

// orderRollout orders a roll-out of the plain service.
func (c *cluster) orderRollout() {
	c.t.Helper()
	operator, ctx, cancel := c.operator()
	defer cancel()
	require.NoError(c.t, operator.BeginRollout(ctx, serviceStock, targetVersion, rolloutDuration))
}

// readRollout returns the roll-out of the plain service.
func (c *cluster) readRollout() client.Rollout {
	c.t.Helper()
	operator, ctx, cancel := c.operator()
	defer cancel()
	found, err := operator.Rollout(ctx, serviceStock)
	require.NoError(c.t, err)
	return found
}
