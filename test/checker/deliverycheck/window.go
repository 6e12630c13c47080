package deliverycheck

import (
	"fmt"
	"slices"

	"rowanlink/webhook/api"
)

// Window is what befell a destination's webhooks in a span of time: for benchmarks.
type Window struct {
	ResponseTimes  []api.Micros // from handed in to taken on
	DeliveryDelays []api.Micros // from handed in to the first effect
	LongestGap     api.Micros   // between two deliveries that follow each other, or the span's ends
	Rejected       int          // with a time to come again
	Unanswered     int
}

// Median is the middle one; 0: there is none.
func Median(all []api.Micros) api.Micros {
	if len(all) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(all))[len(all)/2]
}

// Window looks at what was handed in, and what was delivered, from one time to another.
func (l *Checker) Window(dest api.DestinationID, from, until api.Micros) (w Window) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := map[string]api.Micros{}
	ends := []api.Micros{from, until}
	for _, c := range l.calls {
		if c.Destination != dest {
			continue
		}
		if len(c.delivered) > 0 && c.endedAt >= from && c.endedAt <= until {
			ends = append(ends, c.endedAt)
		}
		for id, at := range c.effects {
			if was, ran := first[id]; !ran || at < was {
				first[id] = at
			}
		}
	}
	slices.Sort(ends)
	for i := 1; i < len(ends); i++ {
		w.LongestGap = max(w.LongestGap, ends[i]-ends[i-1])
	}
	for _, one := range l.submissions {
		if one.At < from || one.At > until || !slices.Contains(one.Destinations, dest) {
			continue
		}
		switch {
		case one.accepted():
			w.ResponseTimes = append(w.ResponseTimes, one.respondedAt-one.At)
		case one.status == 0 && one.respondedAt > 0:
			w.Unanswered++
		case one.status != 0:
			w.Rejected++
		}
		if at, ran := first[one.ID]; ran {
			w.DeliveryDelays = append(w.DeliveryDelays, at-one.At)
		}
	}
	return w
}

// ConcurrentCalls lists the calls of a destination that a member began up to a time while another's was out.
func (l *Checker) ConcurrentCalls(dest api.DestinationID, until api.Micros) (all []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range l.calls {
		for _, p := range l.calls[:i] {
			if c.Destination == dest && c.At < until && p.Destination == dest && p.Member != c.Member && p.endedAt > c.At {
				all = append(all, fmt.Sprintf("by %s at %d, one by %s from %d is out", c.Member, c.At, p.Member, p.At))
			}
		}
	}
	return all
}
