package policy

import (
	"cmp"
	"math"
	"slices"

	"rowanlink/webhook/api"
)

// UpdateEndpoints takes a list: the whole of it, or what has changed.
func (c *Control) UpdateEndpoints(list []api.EndpointEntry, whole bool) {
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
			e = &endpoint{id: l.Endpoint, zone: l.Zone, dest: d, limit: math.Inf(1), leftAt: c.now}
			if d.kind.SeparateRoutes {
				e.route = c.newRoute(e.id, 0, c.now)
			}
			c.endpoints[l.Endpoint] = e
		}
		e.route = cmp.Or(e.route, d.shared)
		if e.listed = l.Status == api.EndpointActive; e.listed && !slices.Contains(d.endpoints, e) {
			if len(d.endpoints) == 0 && len(d.queue) > 0 {
				c.chill(e.route) // what waited for it anywhere would go at once
			}
			d.endpoints = append(d.endpoints, e)
		} else if !e.listed && !slices.Contains(d.endpoints, e) {
			c.left = append(c.left, e) // never listed here: it is forgotten like one that was
		}
		switch r, part := e.route, l.Rate/float64(c.Dispatchers); {
		case !c.RatesListed || !(part > 0) || math.IsInf(part, 0) || r != nil && r.told:
		case r == nil:
			d.stated = part
		case r.stated != part:
			r.stated, r.pace = part, part
		}
	}
	for _, d := range c.order {
		d.endpoints = slices.DeleteFunc(d.endpoints, func(e *endpoint) bool {
			if !e.listed {
				e.leftAt, c.left = c.now, append(c.left, e)
			}
			return !e.listed
		})
		c.rank(d)
	}
}

// ReportLoad takes a destination's limit from itself: it stands in for a rate that no list states, or roughly.
func (c *Control) ReportLoad(ep api.EndpointID, left, limit float64) {
	e, part := c.endpoints[ep], limit/float64(c.Dispatchers)
	if e == nil || e.route == nil || !(part > 0) || math.IsInf(part, 0) {
		return
	}
	e.route.room = left * limit
	if r := e.route; !r.told {
		r.told, r.stated, r.pace = true, part, part
	} else {
		r.stated += smooth * (part - r.stated)
	}
}

// newRoute takes, where none is stated (0) and until one is told, that a slot is used once a second; where no
// list states any, over all destinations alike.
func (c *Control) newRoute(name api.EndpointID, stated float64, since api.Micros) *route {
	perS := float64(c.MaxInFlight)
	if !c.RatesListed {
		perS /= float64(len(c.order))
	}
	perS = cmp.Or(stated, perS)
	return &route{name: name, window: 1, stated: perS, pace: perS, tokens: 1, tokensAt: since, coldSince: never}
}

// awake gives a destination its route when its first webhook comes. Of all that are known most never get one.
func (c *Control) awake(d *destination) *destination {
	if d.shared == nil {
		d.shared = c.newRoute(0, d.stated, d.knownAt)
		for _, e := range d.endpoints {
			e.route = cmp.Or(e.route, d.shared)
			d.shared.name = e.id
		}
	}
	return d
}

// rank renews the order in which a destination's endpoints are filled: quick and near ones first.
func (c *Control) rank(d *destination) {
	if len(d.endpoints) < 2 {
		return
	}
	score := func(e *endpoint) float64 {
		if e.zone != c.Zone { // not first because unmeasured: each call there holds its slot for longer
			return cmp.Or(e.mean, c.mean) * farBy
		}
		return e.mean
	}
	slices.SortStableFunc(d.endpoints, func(a, b *endpoint) int { return cmp.Compare(score(a), score(b)) })
}
