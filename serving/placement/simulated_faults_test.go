package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

const (
	simulatedFirstByteTimeout = time.Second            // after which a proxy gives up an attempt that has no first byte
	simulatedConnectTimeout   = 250 * time.Millisecond // of a connection to an endpoint that is down
	simulatedClientTimeout    = 4 * time.Second        // until a client cancels a stream that has no events
)

// sendToFailedEndpoint simulates a request to an endpoint that has lost power: half of the calls hang on open
// connections, the others can't connect.
func (s *simulation) sendToFailedEndpoint(r *simulatedRequest) {
	if s.random.Float64() < 0.5 {
		s.schedule(simulatedConnectTimeout, func() { s.retry(r, attempt.ConnectFailed) })
		return
	}
	if r.request.Route.Idempotent() {
		s.schedule(simulatedFirstByteTimeout, func() { s.retry(r, attempt.TimedOut) })
		return
	}
	s.schedule(simulatedClientTimeout, func() {
		s.lostRequests++
		r.proxy.ReportOutcome(s.time(), r.reservation, attempt.Canceled)
	})
}

// retry ends an attempt and starts another.
func (s *simulation) retry(r *simulatedRequest, outcome attempt.Outcome) {
	r.proxy.ReportOutcome(s.time(), r.reservation, outcome)
	r.request.TriedEndpoints = append(r.request.TriedEndpoints, r.endpoint.ID)
	s.pick(r)
}

// setDown takes a zone's endpoints down or brings them back.
func (s *simulation) setDown(endpoints []state.Endpoint, zone string, down bool) {
	for _, info := range endpoints {
		if info.Zone == zone {
			s.engines[info.ID].down = down
		}
	}
}

func TestSimulation_FirstEventsAreOnTimeAt60PercentLoad(t *testing.T) {
	s := newMixedSimulation(t, 2.3)
	s.run(40 * time.Second)
	s.report(t)
	assert.Zero(t, s.rejected)
	assert.Less(t, s.quantile(0.95), time.Second)
}

func TestSimulation_LowLoadIsServedOnTime(t *testing.T) {
	s := newMixedSimulation(t, 1)
	s.run(40 * time.Second)
	s.report(t)
	assert.Zero(t, s.rejected)
	assert.Less(t, float64(s.late), 0.005*float64(s.served))
}

func TestSimulation_ZoneOutageCostsFewRequests(t *testing.T) {
	s := newMixedSimulation(t, 1)
	s.run(15 * time.Second)
	s.setDown(s.endpoints, "e1", true)
	s.run(20 * time.Second)
	s.setDown(s.endpoints, "e1", false)
	s.run(40 * time.Second)
	s.report(t)
	assert.Less(t, float64(s.lostRequests+s.rejected), 0.02*float64(s.served))
}

func TestSimulation_EvacuatedZonesLoadMoves(t *testing.T) {
	s := newMixedSimulation(t, 2)
	s.run(10 * time.Second)
	s.updateRecord(&state.Record{Evacuations: []state.Evacuation{{Zone: "e1", Active: true}}})
	s.run(25 * time.Second)
	s.updateRecord(&state.Record{Evacuations: []state.Evacuation{{Zone: "e1"}}})
	s.run(40 * time.Second)
	s.report(t)
	assert.Zero(t, s.rejected)
	assert.Less(t, s.quantile(0.9), time.Second)
}
