package serving

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/endpoint"
)

const (
	// departureHeartbeatInterval is so long that missing heartbeats count well after contactTime.
	departureHeartbeatInterval = 1500 * time.Millisecond
	// contactTime is how long after the last restart of a core all machines are in touch again.
	contactTime = 4 * time.Second
	// observedTime is how long an endpoint that has left is observed from then on.
	observedTime = 4 * time.Second
	// outageTime is how long all cores are down.
	outageTime = 500 * time.Millisecond
	// firstLeavingNumber plus the index of the scenario is the number of the endpoint that leaves.
	firstLeavingNumber = 51
)

// TestDeparture_SurvivesRestartsOfAllCores guards against the loss of an acknowledged departure that was held in memory
// only: requests reached the endpoint again until its heartbeats counted as missing.
func TestDeparture_SurvivesRestartsOfAllCores(t *testing.T) {
	c := startClusterWithHeartbeats(t, func(string, int) string { return "" }, departureHeartbeatInterval)
	for i, scenario := range []struct {
		name   string
		leave  func(*endpoint.Endpoint, context.Context) error
		before func(*cluster) // the departure
		after  func(*cluster) // it was acknowledged
	}{
		{"deregistration, one restart", (*endpoint.Endpoint).Deregister, func(*cluster) {}, restartAllCores},
		{"report of draining, one restart", drainSilently, func(*cluster) {}, restartAllCores},
		{"deregistration, killed again after the restart", (*endpoint.Endpoint).Deregister, func(*cluster) {},
			restartAllCoresTwice},
		{"deregistration while one core is down that returns with an older disk", (*endpoint.Endpoint).Deregister,
			killFirstCore, restartAllCores},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			leaving := c.startEndpoint(stockOptions(), firstLeavingNumber+i, locations[i%len(locations)])
			defer leaving.Close()
			load := c.startTraffic()
			c.eventually("the endpoint serves", func() bool {
				return len(c.ledger.runsAfter(time.Time{}, leaving.ID)) > 0
			})
			time.Sleep(2 * time.Second) // the saved copy of the endpoints has it as accepting
			scenario.before(c)
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			require.NoError(t, scenario.leave(leaving, ctx))
			acknowledged := time.Now()
			scenario.after(c)
			judged := time.Now().Add(contactTime)
			if drained := acknowledged.Add(drainTime); drained.After(judged) {
				judged = drained
			}
			time.Sleep(time.Until(judged.Add(observedTime)))
			load.stopAndCheck()
			assert.Empty(t, c.ledger.runsAfter(judged, leaving.ID), "requests reached the endpoint")
			leaving.Close()
			c.requireSuccessorServes(leaving.ID, firstLeavingNumber+i-i%2, locations[i%len(locations)])
		})
		c.ledger.check(t)
	}
}

// requireSuccessorServes checks that a new process under the ID of an endpoint that has left gets requests.
func (c *cluster) requireSuccessorServes(id string, number int, at location) {
	c.t.Helper()
	options := stockOptions()
	options.ID = id
	started := time.Now()
	successor := c.startEndpoint(options, number, at)
	defer successor.Close()
	load := c.startTraffic()
	c.eventually("the successor serves", func() bool { return len(c.ledger.runsAfter(started, id)) > 0 })
	load.stopAndCheck()
	c.t.Logf("the successor served after %v", time.Since(started))
}

// drainSilently reports that the endpoint is closing and ends its heartbeats once that was acknowledged.
func drainSilently(e *endpoint.Endpoint, ctx context.Context) error { //nolint:revive // the order of a method expression
	select {
	case <-e.AnnounceDraining():
		e.StopHeartbeats()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func killFirstCore(c *cluster) { c.cores[0].kill() }

// restartAllCores kills the cores that run and starts all after outageTime.
func restartAllCores(c *cluster) {
	for _, n := range c.cores {
		if n.process.IsRunning() {
			n.kill()
		}
	}
	time.Sleep(outageTime)
	for _, n := range c.cores {
		n.start()
	}
}

func restartAllCoresTwice(c *cluster) {
	restartAllCores(c)
	time.Sleep(300 * time.Millisecond)
	restartAllCores(c)
}
