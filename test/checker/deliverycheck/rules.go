package deliverycheck

import (
	"fmt"
	"math"
	"slices"

	"rowanlink/webhook/api"
)

// overlaps: one call at a time with a webhook at a destination.
func (l *Ledger) overlaps(api.Micros) (all []Breach) {
	last := map[at]*Call{}
	for _, c := range l.calls {
		for _, id := range c.IDs {
			k := at{id, c.Dest}
			if p := last[k]; p != nil && (p.over == api.Never || p.over > c.At) {
				all = append(all, Breach{Overlap, c.At, id, c.Dest, c.Member, "a call by " + p.Member + " is out"})
			}
			last[k] = c
		}
	}
	return all
}

// orders: where a was taken on before b was handed in, at the same member (or at any, by the terms), no call
// with a begins after one with b, and none with b while one with a is out.
func (l *Ledger) orders(api.Micros) (all []Breach) {
	type key struct {
		dest api.DestinationID
		key  string
	}
	tries := map[at][]*Call{}
	for _, c := range l.calls {
		for _, id := range c.IDs {
			tries[at{id, c.Dest}] = append(tries[at{id, c.Dest}], c)
		}
	}
	turns := map[key][]*webhook{}
	for _, b := range l.order {
		if !l.Terms.Types[b.Type].Ordered || b.Key == "" {
			continue
		}
		for _, d := range b.Dests {
			k := key{d, b.Key}
			for _, a := range turns[k] {
				if !a.taken() || a.answeredAt >= b.At || a.Member != b.Member && !l.Terms.OrderAcross {
					continue
				}
				if why := outOfTurn(tries[at{a.ID, d}], tries[at{b.ID, d}]); why != "" {
					c := tries[at{b.ID, d}][0]
					all = append(all, Breach{Order, c.At, b.ID, d, c.Member, fmt.Sprintf("%s, of key %s: %s", a.ID,
						b.Key, why)})
				}
			}
			turns[k] = append(turns[k], b)
		}
	}
	return all
}

func outOfTurn(a, b []*Call) string {
	for _, later := range b {
		for _, c := range a {
			switch {
			case c.At > later.At:
				return "its turn was before, and it is called after"
			case c.over == api.Never || c.over > later.At:
				return "a call with it is out"
			}
		}
	}
	return ""
}

// waits: nothing to a destination from whoever was told to wait. A process's end also ends the waits that it
// was told.
func (l *Ledger) waits(api.Micros) (all []Breach) {
	told := map[api.DestinationID][]*Call{}
	for _, c := range l.calls {
		if c.wait > 0 {
			told[c.Dest] = append(told[c.Dest], c)
		}
	}
	for _, c := range l.calls {
		for _, told := range told[c.Dest] {
			wait := told.wait
			if longest := l.Terms.Facts.MaxRetryAfter; longest > 0 {
				wait = min(wait, longest)
			}
			if !l.Terms.WaitsBindAll && told.Member != c.Member || c.At <= told.over+l.Terms.WaitGrace ||
				c.At >= told.over+wait || l.ended(told.Member, told.over, c.At) {
				continue
			}
			all = append(all, Breach{Waits, c.At, c.IDs[0], c.Dest, c.Member, fmt.Sprintf(
				"%s was told %.3f s before to wait for %.3f s", told.Member, (c.At - told.over).Seconds(),
				wait.Seconds())})
			break
		}
	}
	return all
}

// ended tells whether a member's process ended, or was gone, at some time between two.
func (l *Ledger) ended(member string, from, to api.Micros) bool {
	return slices.ContainsFunc(l.down[member], func(s span) bool {
		return s.died && s.from < to && (s.until == api.Never || s.until > from)
	})
}

// drained: nothing new to an endpoint from whoever was told, or would have been by now.
func (l *Ledger) drained(api.Micros) (all []Breach) {
	for _, c := range l.calls {
		for _, d := range l.drains[c.Endpoint] {
			if c.At < d.from || d.until != api.Never && c.At > d.until {
				continue
			}
			by := d.from + l.Terms.ToldWithin
			for _, told := range l.told[toldOf{c.Member, c.Endpoint}] {
				if told >= d.from {
					by = min(by, told)
				}
			}
			if late := c.At - by; late > l.Terms.DrainGrace {
				all = append(all, Breach{Drains, c.At, c.IDs[0], c.Dest, c.Member,
					fmt.Sprintf("%s drains, as told %.3f s before", c.Endpoint, late.Seconds())})
			}
		}
	}
	return all
}

// pushed: over the length of TipAfter, a destination that is back gets no more than FallMultiple times what
// it can take meanwhile, all members' calls together. Once for each return: it then stays down.
func (l *Ledger) pushed(api.Micros) (all []Breach) {
	f := l.Terms.Facts
	for dest, outages := range l.outages {
		for _, o := range outages {
			if o.until == api.Never || o.rate == 0 || f.OverloadDuration == 0 {
				continue
			}
			var since []*Call
			for _, c := range l.calls {
				if c.Dest == dest && c.At >= o.until && c.At <= o.until+f.SlowStartDuration {
					since = append(since, c)
				}
			}
			for i, c := range since {
				from := max(o.until, c.At-f.OverloadDuration)
				first := slices.IndexFunc(since, func(c *Call) bool { return c.At >= from })
				most := f.OverloadFactor * o.takes(f, from, from+f.OverloadDuration)
				if n := float64(i - first + 1); n > math.Ceil(most) {
					all = append(all, Breach{Cold, c.At, c.IDs[0], dest, c.Member, fmt.Sprintf(
						"%.0f calls, with %.1f it falls over, %.3f s after its return", n, most, (c.At - o.until).Seconds())})
					break
				}
			}
		}
	}
	return all
}

// takes is how many calls a destination that warms up can take between two times.
func (o outage) takes(f api.Settings, from, to api.Micros) float64 {
	const steps = 64
	sum, step := 0.0, (to-from).Seconds()/steps
	for i := range steps {
		warm := ((from - o.until).Seconds() + (float64(i)+0.5)*step) / max(f.SlowStartDuration.Seconds(), 1e-6)
		sum += step * o.rate * (f.SlowStartCapacity + (1-f.SlowStartCapacity)*min(1, warm))
	}
	return sum
}
