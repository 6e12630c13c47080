package serving

import (
	"context"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/endpoint"
)

const (
	// chaosHeartbeatInterval is so long that missing heartbeats don't hide a lost departure from the check.
	chaosHeartbeatInterval = 1500 * time.Millisecond
	// firstChaosNumber is the number of the first endpoint that leaves.
	firstChaosNumber = 61
	// maxDepartures is the largest number of endpoints that leave in a run.
	maxDepartures = 8
	// maxAway is longer than any process is away but those that are shut down.
	maxAway = 4 * time.Second
)

// chaosDeparture is an endpoint that has left. It serves on until the end of the run.
type chaosDeparture struct {
	endpoint     *endpoint.Endpoint
	acknowledged time.Time
}

// departEndpoint starts an endpoint and, once it serves, has it leave.
func (h *chaosRun) departEndpoint() {
	if len(h.departures) == maxDepartures {
		return
	}
	at := locations[h.IntN(len(locations))]
	if at.zone == h.evacuated {
		return
	}
	leaving := h.startEndpoint(stockOptions(), firstChaosNumber+len(h.departures), at)
	h.t.Cleanup(leaving.Close)
	h.eventually("the endpoint serves", func() bool { return len(h.ledger.runsAfter(time.Time{}, leaving.ID)) > 0 })
	h.sleepRandomly()
	ctx, cancel := context.WithTimeout(h.t.Context(), waitTimeout)
	defer cancel()
	if h.IntN(2) == 0 {
		require.NoError(h.t, drainSilently(leaving, ctx))
	} else {
		h.eventually("the departure is acknowledged", func() bool { return leaving.Deregister(ctx) == nil })
	}
	h.departures = append(h.departures, chaosDeparture{endpoint: leaving, acknowledged: time.Now()})
}

// restartCores kills all cores at once, up to three times in a row.
func (h *chaosRun) restartCores() {
	for range 1 + h.IntN(3) {
		restartAllCores(h.cluster)
		time.Sleep(time.Duration(h.IntN(500)) * time.Millisecond)
	}
	for _, n := range h.cores {
		h.awaitRecovered(n)
	}
}

// checkDepartures checks that machines in touch have sent nothing to an endpoint that had left drainTime before.
func (h *chaosRun) checkDepartures() {
	time.Sleep(contactTime)
	h.traffic.awaitServed(maxServedBetween)
	for _, departed := range h.departures {
		for _, run := range h.ledger.runsAfter(departed.acknowledged.Add(drainTime), departed.endpoint.ID) {
			assert.False(h.t, h.inTouchAt(run.At), "%s was reached %v after its acknowledgement", departed.endpoint.ID,
				run.At.Sub(departed.acknowledged))
		}
	}
}

// inTouchAt reports whether no process had come back within contactTime before a moment, or came back soon after it and
// may have been away by then.
func (h *chaosRun) inTouchAt(moment time.Time) bool {
	for _, comesBack := range h.disruptions {
		if moment.After(comesBack.Add(-maxAway)) && moment.Before(comesBack.Add(contactTime)) {
			return false
		}
	}
	return true
}
