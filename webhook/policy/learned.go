package policy

import "rowanlink/webhook/api"

// Learned tells what is known of a destination that must hold for whoever calls it next; false: nothing is,
// or its endpoints are separate routes, which are known here by numbers that mean nothing elsewhere.
func (c *Control) Learned(id api.DestinationID) (api.Learned, bool) {
	d := c.dests[id]
	if d == nil || d.shared == nil || d.kind.Apart {
		return api.Learned{}, false
	}
	r := d.shared
	return api.Learned{Destination: id, At: c.host.Now(), Window: r.window, WaitUntil: r.waitUntil,
		Sick: r.sick, CanaryAt: r.tryAt, ColdSince: r.coldSince, Mean: r.mean, Failing: r.failing,
		Lost: r.lost}, true
}

// Teach takes it over from another dispatcher; times are of this one's clock. What is known here is kept
// where it is the more careful.
func (c *Control) Teach(l api.Learned) {
	c.now = c.host.Now()
	d := c.awake(c.destination(l.Destination))
	r := d.shared
	if r.waitUntil = max(r.waitUntil, l.WaitUntil); l.Sick && !r.sick {
		r.sick, r.tryAt = true, max(r.tryAt, l.CanaryAt)
	}
	if r.coldSince = max(r.coldSince, l.ColdSince); r.mean == 0 {
		r.window, r.mean, r.failing, r.lost = max(l.Window, 1), l.Mean, l.Failing, l.Lost
	}
}
