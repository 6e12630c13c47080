package placement

import (
	"slices"
	"time"

	"rowanlink/serving/routing"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// Snapshot is the complete state of the cluster as far as this process knows it.
type Snapshot struct {
	Routing   *routing.Table
	Endpoints []state.Endpoint
	Loads     []state.Load
	Record    *state.Record // nil: unknown
	Proxies   subscription.ProxyCounts
	// RolloutLeases are the leases received since the last snapshot.
	RolloutLeases []state.RolloutLease
}

// Update replaces the picker's state of the cluster.
func (p *Picker) Update(now time.Time, snapshot Snapshot) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.options.StartedAt.IsZero() {
		p.options.StartedAt = now
	}
	p.updateProxyCount(snapshot.Proxies)
	p.applyRouting(snapshot.Routing)
	for _, known := range p.services {
		known.updateConnectionLimit(p.proxyCount)
	}
	p.applyEvacuations(now, snapshot.Record)
	p.applyRollouts(now, snapshot.Record, snapshot.RolloutLeases)
	p.replaceEndpoints(now, snapshot.Endpoints)
	for _, load := range snapshot.Loads {
		p.updateLoad(now, load)
	}
}

// applyRouting gives the services their part of a new configuration.
func (p *Picker) applyRouting(table *routing.Table) {
	if table == p.routing {
		return
	}
	p.routing = table
	clear(p.splits)
	for _, known := range p.services {
		known.config = serviceConfig(table, known.name)
	}
}

// applyEvacuations applies the record's evacuations. The endpoints of a zone whose evacuation has ended may have to
// warm up. In the first record, each evacuation that isn't active counts as just ended.
func (p *Picker) applyEvacuations(now time.Time, record *state.Record) {
	if record == nil {
		return
	}
	for _, evacuation := range record.Evacuations {
		ended := !evacuation.Active && (p.evacuated[evacuation.Zone] || !p.hasRecord)
		p.evacuated[evacuation.Zone] = evacuation.Active
		if ended {
			p.endEvacuation(now, evacuation.Zone)
		}
	}
	p.hasRecord = true
}

// endEvacuation records the end of a zone's evacuation.
func (p *Picker) endEvacuation(now time.Time, zone string) {
	p.evacuationEndedAt[zone] = now
	for _, e := range p.endpoints {
		if e.info.Zone == zone {
			e.warmup.evacuationEndedAt = now
		}
	}
}

// replaceEndpoints replaces the list of endpoints. Those that are not in the new list are removed.
func (p *Picker) replaceEndpoints(now time.Time, all []state.Endpoint) {
	for _, known := range p.endpoints {
		known.inSnapshot = false
	}
	for _, s := range p.services {
		s.endpoints = s.endpoints[:0]
	}
	p.recordVersions(now, all)
	for index := range all {
		e := p.updateEndpoint(now, &all[index])
		e.service.endpoints = append(e.service.endpoints, e)
	}
	for id, known := range p.endpoints {
		if !known.inSnapshot {
			known.service.ownersChanged = true
			delete(p.endpoints, id)
		}
	}
	p.selectCanaries()
	for _, s := range p.services {
		s.groupByRegion()
		p.selectSubsets(s)
	}
}

// updateEndpoint adds an endpoint or brings it up to date.
func (p *Picker) updateEndpoint(now time.Time, info *state.Endpoint) *endpoint {
	e := p.endpoints[info.ID]
	isNew := e == nil || e.service.name != info.Service || e.info.Registration != info.Registration
	if isNew {
		e = p.addEndpoint(info)
	}
	e.moveTo(p.serviceOf(info))
	before := e.ownership()
	if isNew || info.Sequence > e.info.Sequence {
		e.replaced = false
		e.updateWarmup(now, info)
	}
	sameModels := slices.EqualFunc(e.info.Models, info.Models, sameName)
	e.info, e.inSnapshot = *info, true
	e.region = p.options.Regions[info.Zone]
	e.zone = p.ensureZone(info.Zone)
	e.prefixCache.tokenLimit = e.service.cacheTokens() / 2 // the rest is for running requests and unshared blocks
	e.excluded = e.replaced || info.State != state.EndpointAccepting || p.evacuated[info.Zone] ||
		p.withholdsVersion(now, info)
	if isNew || !sameModels || e.ownership() != before {
		e.service.ownersChanged = true
	}
	return e
}

func sameName(one, other state.Model) bool { return one.Name == other.Name }

// addEndpoint adds an endpoint. It replaces an earlier registration, or an endpoint of another service, with the same
// ID.
func (p *Picker) addEndpoint(info *state.Endpoint) *endpoint {
	if former := p.endpoints[info.ID]; former != nil {
		former.service.ownersChanged = true
	}
	e := newEndpoint(p.serviceOf(info), *info, p.proxiesInRegion)
	e.warmup.evacuationEndedAt = p.evacuationEndedAt[info.Zone]
	p.endpoints[info.ID] = e
	return e
}

// updateWarmup applies the remaining warm-up time of a newer heartbeat. The time counts from the heartbeat's receipt,
// not from its sending, so the warm-up ends too late rather than too early.
func (e *endpoint) updateWarmup(now time.Time, info *state.Endpoint) {
	if info.WarmupLeftMillis > 0 {
		left := time.Duration(info.WarmupLeftMillis) * time.Millisecond
		e.warmup.reportedUntil = now.Add(left + warmupMargin)
		return
	}
	e.warmup.reportedUntil, e.warmup.recoveryUntil = time.Time{}, time.Time{}
}

// updateLoad applies an endpoint's load report.
func (p *Picker) updateLoad(now time.Time, load state.Load) {
	e := p.endpoints[load.EndpointID]
	if e == nil || load == e.loadReport {
		return
	}
	e.loadReport = load
	e.loadReportedAt = now
	e.tokensSinceReport = 0
}
