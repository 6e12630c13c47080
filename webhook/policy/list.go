package policy

import (
	"cmp"
	"math"
	"slices"

	"rowanlink/webhook/api"
)

// UpdateEndpoints takes a list: the whole of it, or what has changed.
func (c *Policy) UpdateEndpoints(list []api.EndpointEntry, whole bool) {
	c.now = c.host.Now()
	if whole {
		for _, e := range c.endpoints {
			e.listed = false
		}
	}
	for _, l := range list {
		d, e := c.destination(l.Destination), c.endpoints[l.Endpoint]
		d.kind = c.kinds[min(int(l.Kind), len(c.kinds)-1)]
		if e == nil {
			e = &endpoint{id: l.Endpoint, zone: l.Zone, destination: d, connectionLimit: math.Inf(1), delistedAt: c.now}
			if d.kind.SeparateRoutes {
				e.route = c.newRoute(e.id, 0, c.now)
			}
			c.endpoints[l.Endpoint] = e
		}
		e.route = cmp.Or(e.route, d.sharedRoute)
		if e.listed = l.Status == api.EndpointActive; e.listed && !slices.Contains(d.endpoints, e) {
			if len(d.endpoints) == 0 && len(d.queue) > 0 {
				c.startSlowStart(e.route) // what waited for it anywhere would go at once
			}
			d.endpoints = append(d.endpoints, e)
		} else if !e.listed && !slices.Contains(d.endpoints, e) {
			c.delistedEndpoints = append(c.delistedEndpoints, e) // never listed here: it is forgotten like one that was
		}
		switch r, part := e.route, l.Rate/float64(c.Dispatchers); {
		case !c.RatesListed || !(part > 0) || math.IsInf(part, 0) || r != nil && r.rateReported:
		case r == nil:
			d.listedRate = part
		case r.listedRate != part:
			r.listedRate, r.rate = part, part
		}
	}
	for _, d := range c.destinationList {
		d.endpoints = slices.DeleteFunc(d.endpoints, func(e *endpoint) bool {
			if !e.listed {
				e.delistedAt, c.delistedEndpoints = c.now, append(c.delistedEndpoints, e)
			}
			return !e.listed
		})
		c.rankEndpoints(d)
	}
}

// ReportLoad takes a destination's limit from itself: it stands in for a rate that no list states, or roughly.
func (c *Policy) ReportLoad(ep api.EndpointID, left, limit float64) {
	e, part := c.endpoints[ep], limit/float64(c.Dispatchers)
	if e == nil || e.route == nil || !(part > 0) || math.IsInf(part, 0) {
		return
	}
	e.route.reportedHeadroom = left * limit
	if r := e.route; !r.rateReported {
		r.rateReported, r.listedRate, r.rate = true, part, part
	} else {
		r.listedRate += smoothing * (part - r.listedRate)
	}
}

// newRoute takes, where none is stated (0) and until one is told, that a slot is used once a second; where no
// list states any, over all destinations alike.
func (c *Policy) newRoute(name api.EndpointID, stated float64, since api.Micros) *route {
	perS := float64(c.MaxInFlight)
	if !c.RatesListed {
		perS /= float64(len(c.destinationList))
	}
	perS = cmp.Or(stated, perS)
	return &route{logName: name, window: 1, listedRate: perS, rate: perS, tokens: 1, tokensAt: since, slowStartSince: never}
}

// ensureRoute gives a destination its route when its first webhook comes. Of all that are known most never get one.
func (c *Policy) ensureRoute(d *destination) *destination {
	if d.sharedRoute == nil {
		d.sharedRoute = c.newRoute(0, d.listedRate, d.firstSeenAt)
		for _, e := range d.endpoints {
			e.route = cmp.Or(e.route, d.sharedRoute)
			d.sharedRoute.logName = e.id
		}
	}
	return d
}

// rankEndpoints renews the order in which a destination's endpoints are filled: quick and near ones first.
func (c *Policy) rankEndpoints(d *destination) {
	if len(d.endpoints) < 2 {
		return
	}
	score := func(e *endpoint) float64 {
		if e.zone != c.Zone { // not first because unmeasured: each call there holds its slot for longer
			return cmp.Or(e.meanLatency, c.meanLatency) * remoteZonePenalty
		}
		return e.meanLatency
	}
	slices.SortStableFunc(d.endpoints, func(a, b *endpoint) int { return cmp.Compare(score(a), score(b)) })
}
