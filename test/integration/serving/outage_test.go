package serving

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// applyTime is how long after its acknowledgement a configuration may not be in use yet (apply_ms).
	applyTime = 3 * time.Second
	// evacuationTime is the same for an evacuation (evacuate_ms).
	evacuationTime = 5 * time.Second
)

// TestChange_HoldsWhileNoCoreRuns guards against acknowledged changes that only the cores knew of: while they were down,
// proxies used the configuration before, and sent requests to the zone that had been evacuated.
func TestChange_HoldsWhileNoCoreRuns(t *testing.T) {
	t.Run("configuration", func(t *testing.T) {
		c := startCluster(t)
		c.awaitMembers()
		by := newHTTPClient()
		defer by.CloseIdleConnections()
		c.configure(c.version+1, "added")
		acknowledged := time.Now()
		c.killAllCoresAtOnce()
		time.Sleep(time.Until(acknowledged.Add(applyTime)))
		for _, n := range c.proxies {
			_, status := c.sendRequest(t.Context(), by, kindStock, "/added/x", n.address(portClients), c.openAttempt(kindStock))
			assert.Equal(t, http.StatusOK, status, "%s doesn't have the new route", n.name)
		}
		c.ledger.check(t)
	})
	t.Run("evacuation", func(t *testing.T) {
		c := startCluster(t)
		c.awaitMembers()
		load := c.startTraffic()
		load.awaitServed(60)
		evacuated := locations[0].zone
		inZone := c.endpointsOf(evacuated)
		c.evacuate(evacuated)
		acknowledged := time.Now()
		c.killAllCoresAtOnce()
		time.Sleep(time.Until(acknowledged.Add(evacuationTime + observedTime)))
		load.stopAndCheck()
		assert.Empty(t, c.ledger.runsAfter(acknowledged.Add(evacuationTime), inZone...), "requests reached the zone")
		c.ledger.check(t)
	})
}
