package placement

import (
	"time"

	"rowanlink/serving/state"
)

// pendingObservation returns the observation of an endpoint for the next report, and adds it if there is none.
func (p *Picker) pendingObservation(e *endpoint) *state.Observation {
	if e.observation == (state.Observation{}) {
		e.observation.EndpointID = e.info.ID
		p.observedEndpoints = append(p.observedEndpoints, e)
	}
	return &e.observation
}

// TakeObservations returns the observations of endpoints since the last call; nil if there are none.
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

// PendingObservations reports whether there are observations to report, and whether any of them is urgent.
func (p *Picker) PendingObservations() (pending, urgent bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, e := range p.observedEndpoints {
		urgent = urgent || e.observation.Unacknowledged
	}
	if p.rollouts.hasNewBadAnswers() {
		return true, true
	}
	return len(p.observedEndpoints) > 0, urgent
}

// ReportUnacknowledged ejects the endpoints, given by ID, whose machines don't acknowledge sent data at the transport
// layer. If these are most of the endpoints with calls in flight, the cause is this machine's own link, and no endpoint
// is ejected.
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
		if e == nil || e.excluded || e.health.isEjected() {
			continue
		}
		p.pendingObservation(e).Unacknowledged = true
		e.health.eject(now, e.service.maxBackoff())
		e.service.updateMajorityEjected()
	}
}
