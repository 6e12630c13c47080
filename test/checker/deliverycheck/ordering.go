package deliverycheck

import (
	"fmt"
	"math"
	"slices"

	"rowanlink/webhook/api"
)

// overlaps: one call at a time with a webhook at a destination.
func (l *Checker) checkOverlaps(api.Micros) (all []Violation) {
	last := map[delivery]*Call{}
	for _, c := range l.calls {
		for _, id := range c.IDs {
			k := delivery{id, c.Destination}
			if p := last[k]; p != nil && (p.endedAt == api.Never || p.endedAt > c.At) {
				all = append(all, Violation{Overlap, c.At, id, c.Destination, c.Member, "a call by " + p.Member + " is out"})
			}
			last[k] = c
		}
	}
	return all
}

// orders: where a was taken on before b was handed in, at the same member (or at any, by the terms), no call
// with a begins after one with b, and none with b while one with a is out.
func (l *Checker) checkOrder(api.Micros) (all []Violation) {
	type key struct {
		dest api.DestinationID
		key  string
	}
	tries := map[delivery][]*Call{}
	for _, c := range l.calls {
		for _, id := range c.IDs {
			tries[delivery{id, c.Destination}] = append(tries[delivery{id, c.Destination}], c)
		}
	}
	turns := map[key][]*webhook{}
	for _, b := range l.submissions {
		if !l.Requirements.EventTypes[b.Type].Ordered || b.Key == "" {
			continue
		}
		for _, d := range b.Destinations {
			k := key{d, b.Key}
			for _, a := range turns[k] {
				if !a.accepted() || a.respondedAt >= b.At || a.Member != b.Member && !l.Requirements.OrderAcross {
					continue
				}
				if why := orderViolation(tries[delivery{a.ID, d}], tries[delivery{b.ID, d}]); why != "" {
					c := tries[delivery{b.ID, d}][0]
					all = append(all, Violation{Order, c.At, b.ID, d, c.Member, fmt.Sprintf("%s, of key %s: %s", a.ID,
						b.Key, why)})
				}
			}
			turns[k] = append(turns[k], b)
		}
	}
	return all
}

func orderViolation(a, b []*Call) string {
	for _, later := range b {
		for _, c := range a {
			switch {
			case c.At > later.At:
				return "its turn was before, and it is called after"
			case c.endedAt == api.Never || c.endedAt > later.At:
				return "a call with it is out"
			}
		}
	}
	return ""
}

// waits: nothing to a destination from whoever was told to wait. A process's end also ends the waits that it
// was told.
func (l *Checker) checkRetryAfter(api.Micros) (all []Violation) {
	told := map[api.DestinationID][]*Call{}
	for _, c := range l.calls {
		if c.retryAfter > 0 {
			told[c.Destination] = append(told[c.Destination], c)
		}
	}
	for _, c := range l.calls {
		for _, told := range told[c.Destination] {
			wait := told.retryAfter
			if longest := l.Requirements.Settings.MaxRetryAfter; longest > 0 {
				wait = min(wait, longest)
			}
			if !l.Requirements.WaitsBindAll && told.Member != c.Member || c.At <= told.endedAt+l.Requirements.WaitGrace ||
				c.At >= told.endedAt+wait || l.processEnded(told.Member, told.endedAt, c.At) {
				continue
			}
			all = append(all, Violation{RetryAfter, c.At, c.IDs[0], c.Destination, c.Member, fmt.Sprintf(
				"%s was told %.3f s before to wait for %.3f s", told.Member, (c.At - told.endedAt).Seconds(),
				wait.Seconds())})
			break
		}
	}
	return all
}

// processEnded tells whether a member's process ended, or was gone, at some time between two.
func (l *Checker) processEnded(member string, from, to api.Micros) bool {
	return slices.ContainsFunc(l.downtimes[member], func(s period) bool {
		return s.processEnded && s.from < to && (s.until == api.Never || s.until > from)
	})
}

// drained: nothing new to an endpoint from whoever was told, or would have been by now.
func (l *Checker) checkDraining(api.Micros) (all []Violation) {
	for _, c := range l.calls {
		for _, d := range l.drains[c.Endpoint] {
			if c.At < d.from || d.until != api.Never && c.At > d.until {
				continue
			}
			by := d.from + l.Requirements.NotifiedWithin
			for _, told := range l.notified[notification{c.Member, c.Endpoint}] {
				if told >= d.from {
					by = min(by, told)
				}
			}
			if late := c.At - by; late > l.Requirements.DrainGrace {
				all = append(all, Violation{Draining, c.At, c.IDs[0], c.Destination, c.Member,
					fmt.Sprintf("%s drains, as told %.3f s before", c.Endpoint, late.Seconds())})
			}
		}
	}
	return all
}

// pushed: over the length of TipAfter, a destination that is back gets no more than FallMultiple times what
// it can take meanwhile, all members' calls together. Once for each return: it then stays down.
func (l *Checker) checkSlowStart(api.Micros) (all []Violation) {
	f := l.Requirements.Settings
	for dest, outages := range l.outages {
		for _, o := range outages {
			if o.until == api.Never || o.rate == 0 || f.OverloadDuration == 0 {
				continue
			}
			var since []*Call
			for _, c := range l.calls {
				if c.Destination == dest && c.At >= o.until && c.At <= o.until+f.SlowStartDuration {
					since = append(since, c)
				}
			}
			for i, c := range since {
				from := max(o.until, c.At-f.OverloadDuration)
				first := slices.IndexFunc(since, func(c *Call) bool { return c.At >= from })
				most := f.OverloadFactor * o.capacity(f, from, from+f.OverloadDuration)
				if n := float64(i - first + 1); n > math.Ceil(most) {
					all = append(all, Violation{SlowStart, c.At, c.IDs[0], dest, c.Member, fmt.Sprintf(
						"%.0f calls, with %.1f it falls over, %.3f s after its return", n, most, (c.At - o.until).Seconds())})
					break
				}
			}
		}
	}
	return all
}

// capacity is how many calls a destination that warms up can take between two times.
func (o outage) capacity(f api.Settings, from, to api.Micros) float64 {
	const steps = 64
	sum, step := 0.0, (to-from).Seconds()/steps
	for i := range steps {
		warm := ((from - o.until).Seconds() + (float64(i)+0.5)*step) / max(f.SlowStartDuration.Seconds(), 1e-6)
		sum += step * o.rate * (f.SlowStartCapacity + (1-f.SlowStartCapacity)*min(1, warm))
	}
	return sum
}
