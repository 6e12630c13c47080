package placement

import (
	"time"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

// replaceEndpoints takes in all endpoints. Those that are no longer told of are forgotten.
func (p *Picker) replaceEndpoints(now time.Time, all []state.Endpoint) {
	for _, known := range p.endpoints {
		known.inSnapshot = false
	}
	for _, s := range p.services {
		s.endpoints = s.endpoints[:0]
	}
	for index := range all {
		e := p.updateEndpoint(now, &all[index])
		e.service.endpoints = append(e.service.endpoints, e)
	}
	for id, known := range p.endpoints {
		if !known.inSnapshot {
			delete(p.endpoints, id)
		}
	}
	for _, s := range p.services {
		s.groupByRegion()
		p.selectSubsets(s)
	}
}

// updateEndpoint brings one endpoint up to date.
func (p *Picker) updateEndpoint(now time.Time, info *state.Endpoint) *endpoint {
	e := p.endpoints[info.ID]
	if e == nil || e.service.name != info.Service {
		e = newEndpoint(p.ensureService(info.Service), *info)
		e.warmup.evacuationEndedAt = p.evacuationEndedAt[info.Zone]
		p.endpoints[info.ID] = e
		e.updateWarmup(now, info)
	} else if info.Sequence > e.info.Sequence {
		e.replaced = false
		e.updateWarmup(now, info)
	}
	e.info, e.inSnapshot = *info, true
	e.region = p.options.Regions[info.Zone]
	e.zone = p.ensureZone(info.Zone)
	e.prefixCache.tokenLimit = e.service.cacheTokens() / 2 // the other half is left to running requests and others' parts
	e.excluded = e.replaced || info.State != state.EndpointAccepting || p.evacuated[info.Zone]
	return e
}

// updateWarmup reads from newer word how long the endpoint stays cold, counted from now: too long rather than too short.
func (e *endpoint) updateWarmup(now time.Time, info *state.Endpoint) {
	if info.WarmupLeftMillis > 0 {
		left := time.Duration(info.WarmupLeftMillis) * time.Millisecond
		e.warmup.reportedUntil = now.Add(left + warmupMargin)
		return
	}
	e.warmup.reportedUntil, e.warmup.recoveryUntil = time.Time{}, time.Time{}
}

// endEvacuation notes that a zone's evacuation was taken back.
func (p *Picker) endEvacuation(now time.Time, zone string) {
	p.evacuationEndedAt[zone] = now
	for _, e := range p.endpoints {
		if e.info.Zone == zone {
			e.warmup.evacuationEndedAt = now
		}
	}
}

// updateLoad notes an endpoint's report on itself.
func (p *Picker) updateLoad(now time.Time, load state.Load) {
	e := p.endpoints[load.EndpointID]
	if e == nil || load == e.loadReport {
		return
	}
	e.loadReport, e.loadReportedAt, e.tokensSinceReport = load, now, 0
}

// ReportProgress notes that a call's answer has begun and, called again, that it goes on.
func (p *Picker) ReportProgress(now time.Time, ticket Reservation) {
	c := ticket.call
	if c == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.gotFirstByte && !c.finished {
		c.endpoint.recordActivity(now)
	}
	if c.gotFirstByte || c.finished {
		return
	}
	p.recordFirstByte(now, c)
	c.gotFirstByte = true
	c.endpoint.leaveQueue(c)
	c.endpoint.recordActivity(now)
}

// ReportOutcome ends a call. Every ticket must come here once; what comes twice is ignored.
func (p *Picker) ReportOutcome(now time.Time, ticket Reservation, outcome attempt.Outcome) {
	c := ticket.call
	if c == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.finished {
		return
	}
	c.finished = true
	if outcome == attempt.Succeeded {
		p.recordCallTime(now, c)
	}
	c.endpoint.endCall(c)
	if c.endpoint.health.probe == c {
		c.endpoint.health.probe = nil
	}
	p.applyOutcome(now, c, outcome)
}

// recordFirstByte learns from the time to a first byte.
func (p *Picker) recordFirstByte(now time.Time, c *call) {
	s := c.endpoint.service
	took := now.Sub(c.sentAt)
	for rank := c.priority; rank < priorityLevels; rank++ {
		c.endpoint.queueDelays[rank].add(now, max(took-c.modeledFirstByte, 0))
		c.endpoint.regionGroup.queueDelays[rank].add(now, max(took-c.modeledFirstByte, 0))
	}
	if s.hasEngine() {
		s.learnPrefillRate(c, took)
	}
}

// recordCallTime learns from the length of a call.
func (p *Picker) recordCallTime(now time.Time, c *call) {
	took := float64(now.Sub(c.sentAt)-c.pathLatency) / float64(time.Millisecond)
	c.endpoint.callMillis = smooth(c.endpoint.callMillis, took, callTimeSmoothing)
	c.endpoint.service.callMillis = smooth(c.endpoint.service.callMillis, took, callTimeSmoothing)
}
