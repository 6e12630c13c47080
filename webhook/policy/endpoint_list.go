package policy

import (
	"cmp"
	"math"
	"slices"

	"rowanlink/webhook/api"
)

// UpdateEndpoints applies an endpoint list: the complete list, or only the entries that have changed.
func (p *Policy) UpdateEndpoints(list []api.EndpointEntry, complete bool) {
	p.now = p.host.Now()
	if complete {
		for _, e := range p.endpoints {
			e.listed = false
		}
	}
	for _, entry := range list {
		p.updateEndpoint(entry)
	}
	for _, d := range p.destinationList {
		p.removeDelisted(d)
		p.rankEndpoints(d)
	}
}

func (p *Policy) updateEndpoint(entry api.EndpointEntry) {
	d := p.ensureDestination(entry.Destination)
	d.kind = p.kinds[min(int(entry.Kind), len(p.kinds)-1)]
	e := p.endpoints[entry.Endpoint]
	if e == nil {
		e = p.newEndpoint(entry, d)
		p.endpoints[entry.Endpoint] = e
	}
	e.route = cmp.Or(e.route, d.sharedRoute)
	e.listed = entry.Status == api.EndpointActive
	if !slices.Contains(d.endpoints, e) {
		if e.listed {
			p.addListed(d, e)
		} else {
			// An endpoint that is new and not active is treated like one that is removed now.
			p.delistedEndpoints = append(p.delistedEndpoints, e)
		}
	}
	p.updateListedRate(d, e.route, entry.Rate)
}

func (p *Policy) newEndpoint(entry api.EndpointEntry, d *destination) *endpoint {
	e := &endpoint{
		id:              entry.Endpoint,
		zone:            entry.Zone,
		destination:     d,
		connectionLimit: math.Inf(1),
		delistedAt:      p.now,
	}
	if d.kind.SeparateRoutes {
		e.route = p.newRoute(e.id, 0, p.now)
	}
	return e
}

func (p *Policy) addListed(d *destination, e *endpoint) {
	if len(d.endpoints) == 0 && len(d.queue) > 0 {
		p.startSlowStart(e.route) // all dispatchers may have queued webhooks, and would send them at once
	}
	d.endpoints = append(d.endpoints, e)
}

// updateListedRate sets the listed rate to this dispatcher's share of total, the rate in the endpoint list, unless the
// destination reports its limit itself. If a route's listed rate changes, its current rate is set to it, too.
func (p *Policy) updateListedRate(d *destination, r *route, total float64) {
	share := total / float64(p.settings.Dispatchers)
	if !p.settings.RatesListed || !isRate(share) || r != nil && r.rateReported {
		return
	}
	if r == nil {
		d.listedRate = share
	} else if r.listedRate != share {
		r.listedRate = share
		r.rate = share
	}
}

// isRate reports whether a rate is positive and finite. It is false for NaN.
func isRate(rate float64) bool { return rate > 0 && !math.IsInf(rate, 0) }

// removeDelisted removes a destination's endpoints that are no longer listed as active. They are remembered for a
// while, in case they return.
func (p *Policy) removeDelisted(d *destination) {
	d.endpoints = slices.DeleteFunc(d.endpoints, func(e *endpoint) bool {
		if !e.listed {
			e.delistedAt = p.now
			p.delistedEndpoints = append(p.delistedEndpoints, e)
		}
		return !e.listed
	})
}

// ReportLoad records the limit that a destination reports. The first report replaces the rate from the endpoint list,
// which may be missing or imprecise; later reports are averaged in.
func (p *Policy) ReportLoad(report api.LoadReport) {
	e := p.endpoints[report.Endpoint]
	share := report.Limit / float64(p.settings.Dispatchers)
	if e == nil || e.route == nil || !isRate(share) {
		return
	}
	r := e.route
	r.reportedHeadroom = report.Headroom * report.Limit
	if !r.rateReported {
		r.rateReported = true
		r.listedRate = share
		r.rate = share
		return
	}
	r.listedRate += smoothing * (share - r.listedRate)
}

// newRoute returns a route with a listed rate, in calls per second; its token bucket begins to fill at since. If no
// rate is listed (0), the route has an assumed rate until one is reported: one call per second for each slot or, where
// lists state no rates at all, an equal share of that for each destination.
func (p *Policy) newRoute(logName api.EndpointID, listedRate float64, since api.Micros) *route {
	assumed := float64(p.settings.MaxInFlight)
	if !p.settings.RatesListed {
		assumed /= float64(len(p.destinationList))
	}
	rate := cmp.Or(listedRate, assumed)
	return &route{
		logName:        logName,
		window:         1,
		listedRate:     rate,
		rate:           rate,
		tokens:         1,
		tokensAt:       since,
		slowStartSince: never,
	}
}

// ensureRoute creates the destination's shared route if there is none, and returns the destination. Routes are created
// on demand, since most destinations never get a webhook.
func (p *Policy) ensureRoute(d *destination) *destination {
	if d.sharedRoute == nil {
		d.sharedRoute = p.newRoute(0, d.listedRate, d.firstSeenAt)
		for _, e := range d.endpoints {
			e.route = cmp.Or(e.route, d.sharedRoute)
			d.sharedRoute.logName = e.id
		}
	}
	return d
}

// rankEndpoints sorts a destination's endpoints by mean latency, with a penalty on those in other zones.
func (p *Policy) rankEndpoints(d *destination) {
	if len(d.endpoints) < 2 {
		return
	}
	cost := func(e *endpoint) float64 {
		if e.zone != p.settings.Zone {
			// For an endpoint without a measured latency the overall mean is used, so that it isn't preferred: a call
			// to another zone occupies its slot for longer.
			return cmp.Or(e.meanLatency, p.meanLatency) * remoteZonePenalty
		}
		return e.meanLatency
	}
	slices.SortStableFunc(d.endpoints, func(a, b *endpoint) int { return cmp.Compare(cost(a), cost(b)) })
}
