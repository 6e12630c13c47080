package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

const (
	simulatedConnect  = 250 * time.Millisecond // until a connection to a dark endpoint is given up
	simulatedPatience = 4 * time.Second        // until a client gives up a stream that says nothing
)

// meetDark plays a request that went to an endpoint without power: the first calls hang on kept connections, the
// others find none.
func (s *simulation) meetDark(r *simulated) {
	if s.random.Float64() < 0.5 {
		s.after(simulatedConnect, func() { s.again(r, attempt.ConnectFailed) })
		return
	}
	if r.request.Route.Idempotent() {
		s.after(r.request.Route.Target, func() { s.again(r, attempt.TimedOut) })
		return
	}
	s.after(simulatedPatience, func() {
		s.lost++
		r.proxy.ReportOutcome(s.at(), r.ticket, attempt.Canceled)
	})
}

// again ends an attempt and makes another.
func (s *simulation) again(r *simulated, outcome attempt.Outcome) {
	r.proxy.ReportOutcome(s.at(), r.ticket, outcome)
	r.request.TriedEndpoints = append(r.request.TriedEndpoints, r.endpoint.ID)
	s.place(r)
}

// darken takes the power from a zone's endpoints or gives it back.
func (s *simulation) darken(endpoints []state.Endpoint, zone string, dark bool) {
	for _, info := range endpoints {
		if info.Zone == zone {
			s.engines[info.ID].dark = dark
		}
	}
}

func TestFirstEventsComeInTimeAtSixTenthsOfTheLoad(t *testing.T) {
	s := mixOf(t, 2.3, 5)
	s.run(40 * time.Second)
	s.report(t)
	assert.Zero(t, s.refused)
	assert.Less(t, s.quantile(0.95), time.Second)
}

func TestQuietTimesAreAllServedInTime(t *testing.T) {
	s := mixOf(t, 1, 5)
	s.run(40 * time.Second)
	s.report(t)
	assert.Zero(t, s.refused)
	assert.Less(t, float64(s.late), 0.005*float64(s.answered))
}

func TestAZoneThatGoesDarkCostsFewRequests(t *testing.T) {
	s := mixOf(t, 1, 5)
	s.run(15 * time.Second)
	s.darken(s.endpoints, "e1", true)
	s.run(20 * time.Second)
	s.darken(s.endpoints, "e1", false)
	s.run(40 * time.Second)
	s.report(t)
	assert.Less(t, float64(s.lost+s.refused), 0.02*float64(s.answered))
}

func TestAnEvacuatedZonesLoadGoesElsewhere(t *testing.T) {
	s := mixOf(t, 2, 5)
	s.run(10 * time.Second)
	s.tell(&state.Record{Evacuations: []state.Evacuation{{Zone: "e1", Active: true}}})
	s.run(25 * time.Second)
	s.tell(&state.Record{Evacuations: []state.Evacuation{{Zone: "e1"}}})
	s.run(40 * time.Second)
	s.report(t)
	assert.Zero(t, s.refused)
	assert.Less(t, s.quantile(0.9), time.Second)
}
