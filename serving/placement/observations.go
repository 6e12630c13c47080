package placement

import (
	"time"

	"rowanlink/serving/state"
)

// pendingObservation returns the observation of an endpoint that is to be told next.
func (p *Picker) pendingObservation(e *endpoint) *state.Observation {
	if e.observation == (state.Observation{}) {
		e.observation.EndpointID = e.info.ID
		p.observedEndpoints = append(p.observedEndpoints, e)
	}
	return &e.observation
}

// TakeObservations returns what there is to tell of endpoints since the last call; nil: nothing.
func (p *Picker) TakeObservations() (observations []state.Observation) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, e := range p.observedEndpoints {
		observations = append(observations, e.observation)
		e.observation = state.Observation{}
	}
	p.observedEndpoints = nil
	return observations
}

// PendingObservations tells whether there are observations, and whether one of them is urgent.
func (p *Picker) PendingObservations() (any, urgent bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, e := range p.observedEndpoints {
		urgent = urgent || e.observation.Unacknowledged
	}
	return len(p.observedEndpoints) > 0, urgent
}

// ReportUnacknowledged notes that endpoints, by ID, do not even acknowledge what is sent to them. Where that is so for most
// of those that have calls in flight, the cause is this machine's own link, and it says nothing of them.
func (p *Picker) ReportUnacknowledged(now time.Time, ids []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	busy := 0
	for _, e := range p.endpoints {
		if e.inFlight > 0 {
			busy++
		}
	}
	if 2*len(ids) > max(busy, 2) {
		return
	}
	for _, id := range ids {
		e := p.endpoints[id]
		if e == nil || e.excluded {
			continue
		}
		if !e.health.isEjected() {
			p.pendingObservation(e).Unacknowledged = true
			e.health.consecutiveFailures = ejectionThreshold
			e.health.setBackoff(now, ejectionThreshold, e.service.maxBackoff(), 1)
			e.service.updateMajorityEjected()
		}
	}
}
