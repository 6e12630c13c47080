package deliverycheck

import (
	"fmt"
	"slices"

	"rowanlink/webhook/api"
)

// Window is what became of a destination's webhooks in a window of time, for benchmarks.
type Window struct {
	ResponseTimes  []api.Micros // from the submission to the response, of accepted webhooks
	DeliveryDelays []api.Micros // from the submission to the first effect
	LongestGap     api.Micros   // between two successive deliveries, or the window's ends
	Rejected       int
	Unanswered     int
}

// Median returns the median of times; 0: there are none.
func Median(times []api.Micros) api.Micros {
	if len(times) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(times))[len(times)/2]
}

// Window returns what became of the webhooks that were submitted between two times, and the deliveries between them.
func (c *Checker) Window(destination api.DestinationID, from, until api.Micros) (w Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	times := slices.DeleteFunc(c.deliveryTimes(destination), func(at api.Micros) bool { return at < from || at > until })
	w.LongestGap = longestGap(append(times, from, until))
	firstEffect := c.firstEffects(destination)
	for _, submitted := range c.submissions {
		isInWindow := submitted.At >= from && submitted.At <= until
		if !isInWindow || !slices.Contains(submitted.Destinations, destination) {
			continue
		}
		switch {
		case submitted.accepted():
			w.ResponseTimes = append(w.ResponseTimes, submitted.respondedAt-submitted.At)
		case submitted.status == 0 && submitted.respondedAt > 0:
			w.Unanswered++
		case submitted.status != 0:
			w.Rejected++
		}
		if at, hasEffect := firstEffect[submitted.ID]; hasEffect {
			w.DeliveryDelays = append(w.DeliveryDelays, at-submitted.At)
		}
	}
	return w
}

// deliveryTimes returns when the calls of a destination that delivered something ended.
func (c *Checker) deliveryTimes(destination api.DestinationID) (times []api.Micros) {
	for _, call := range c.calls {
		if call.Destination == destination && len(call.delivered) > 0 {
			times = append(times, call.endedAt)
		}
	}
	return times
}

// firstEffects returns the time of each webhook's first effect at a destination.
func (c *Checker) firstEffects(destination api.DestinationID) map[string]api.Micros {
	first := map[string]api.Micros{}
	for _, call := range c.calls {
		if call.Destination != destination {
			continue
		}
		for id, at := range call.effects {
			if earlier, hasEarlier := first[id]; !hasEarlier || at < earlier {
				first[id] = at
			}
		}
	}
	return first
}

// longestGap returns the longest time between successive times. It sorts them in place.
func longestGap(times []api.Micros) (longest api.Micros) {
	slices.Sort(times)
	for i := 1; i < len(times); i++ {
		longest = max(longest, times[i]-times[i-1])
	}
	return longest
}

// LongestGap returns the longest time between two successive deliveries at a destination.
func (c *Checker) LongestGap(destination api.DestinationID) api.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	return longestGap(c.deliveryTimes(destination))
}

// ConcurrentCalls describes the calls of a destination that a member began, before a time, while a call of another
// member was in flight.
func (c *Checker) ConcurrentCalls(destination api.DestinationID, until api.Micros) (texts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, call := range c.calls {
		if call.Destination != destination || call.At >= until {
			continue
		}
		for _, earlier := range c.calls[:i] {
			isOfOther := earlier.Destination == destination && earlier.Member != call.Member
			if isOfOther && earlier.endedAt > call.At {
				texts = append(texts, fmt.Sprintf("by %s at %d, while one by %s from %d is in flight", call.Member, call.At,
					earlier.Member, earlier.At))
			}
		}
	}
	return texts
}
