package placement

import (
	"time"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

// replace takes in all endpoints. Those that are no longer told of are forgotten.
func (p *Placer) replace(now time.Time, all []state.Endpoint) {
	for _, known := range p.endpoints {
		known.present = false
	}
	for _, s := range p.services {
		s.endpoints = s.endpoints[:0]
	}
	for index := range all {
		e := p.take(now, &all[index])
		e.service.endpoints = append(e.service.endpoints, e)
	}
	for id, known := range p.endpoints {
		if !known.present {
			delete(p.endpoints, id)
		}
	}
	for _, s := range p.services {
		s.group()
		p.drawSubsets(s)
	}
}

// take brings one endpoint up to date.
func (p *Placer) take(now time.Time, info *state.Endpoint) *endpoint {
	e := p.endpoints[info.ID]
	if e == nil || e.service.name != info.Service {
		e = newEndpoint(p.service(info.Service), *info)
		e.cold.reopenedAt = p.reopened[info.Zone]
		p.endpoints[info.ID] = e
		e.takeCold(now, info)
	} else if info.Sequence > e.info.Sequence {
		e.lost = false
		e.takeCold(now, info)
	}
	e.info, e.present = *info, true
	e.region = p.options.Regions[info.Zone]
	e.zone = p.zone(info.Zone)
	e.prefixes.limit = e.service.cacheTokens() / 2 // the other half is left to running requests and others' parts
	e.closed = e.lost || info.State != state.EndpointAccepting || p.evacuated[info.Zone]
	return e
}

// takeCold reads from newer word how long the endpoint stays cold, counted from now: too long rather than too short.
func (e *endpoint) takeCold(now time.Time, info *state.Endpoint) {
	if info.WarmupLeftMillis > 0 {
		left := time.Duration(info.WarmupLeftMillis) * time.Millisecond
		e.cold.toldUntil = now.Add(left + coldMargin)
		return
	}
	e.cold.toldUntil, e.cold.returnUntil = time.Time{}, time.Time{}
}

// reopen notes that a zone's evacuation was taken back.
func (p *Placer) reopen(now time.Time, zone string) {
	p.reopened[zone] = now
	for _, e := range p.endpoints {
		if e.info.Zone == zone {
			e.cold.reopenedAt = now
		}
	}
}

// takeLoad notes an endpoint's report on itself.
func (p *Placer) takeLoad(now time.Time, load state.Load) {
	e := p.endpoints[load.EndpointID]
	if e == nil || load == e.load {
		return
	}
	e.load, e.loadAt, e.loadSent = load, now, 0
}

// FirstByte notes that a call's answer has begun and, called again, that it goes on.
func (p *Placer) FirstByte(now time.Time, ticket Ticket) {
	c := ticket.call
	if c == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.heard && !c.finished {
		c.endpoint.seenAlive(now)
	}
	if c.heard || c.finished {
		return
	}
	p.measure(now, c)
	c.heard = true
	c.endpoint.read(c)
	c.endpoint.seenAlive(now)
}

// Finished ends a call. Every ticket must come here once; what comes twice is ignored.
func (p *Placer) Finished(now time.Time, ticket Ticket, outcome attempt.Outcome) {
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
		p.measureWhole(now, c)
	}
	c.endpoint.end(c)
	if c.endpoint.health.probe == c {
		c.endpoint.health.probe = nil
	}
	p.judge(now, c, outcome)
}

// measure learns from the time to a first byte.
func (p *Placer) measure(now time.Time, c *call) {
	s := c.endpoint.service
	took := now.Sub(c.sentAt)
	for rank := c.rank; rank < ranks; rank++ {
		c.endpoint.delays[rank].see(now, max(took-c.computed, 0))
		c.endpoint.group.delays[rank].see(now, max(took-c.computed, 0))
	}
	if s.engine() {
		s.learn(c, took)
	}
}

// measureWhole learns from the length of a call.
func (p *Placer) measureWhole(now time.Time, c *call) {
	took := float64(now.Sub(c.sentAt)-c.way) / float64(time.Millisecond)
	c.endpoint.took = blend(c.endpoint.took, took, tookBlend)
	c.endpoint.service.took = blend(c.endpoint.service.took, took, tookBlend)
}
