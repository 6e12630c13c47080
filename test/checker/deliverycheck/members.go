package deliverycheck

import (
	"maps"
	"slices"

	"rowanlink/webhook/api"
)

// RecordMemberDown records that a member is paused, terminates or that its process has ended: webhooks that it may have
// are not overdue until RecordMemberUp.
func (c *Checker) RecordMemberDown(at api.Micros, member string, processEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	periods := c.downtimes[member]
	if len(periods) == 0 || periods[len(periods)-1].until != api.Never {
		periods = append(periods, period{from: at, until: api.Never})
	}
	last := &periods[len(periods)-1]
	last.processEnded = last.processEnded || processEnded
	c.downtimes[member] = periods
}

// RecordMemberUp records that a member runs again.
func (c *Checker) RecordMemberUp(at api.Micros, member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	endLastPeriod(c.downtimes[member], at)
}

func endLastPeriod(periods []period, at api.Micros) {
	if len(periods) == 0 {
		return
	}
	if last := &periods[len(periods)-1]; last.until == api.Never {
		last.until = at
	}
}

// ForgiveOutstanding forgives webhooks that have no outcome yet, since their member's state may be the one that was
// deleted. It returns how many.
func (c *Checker) ForgiveOutstanding(_ api.Micros) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delivered := c.deliveries()
	for _, w := range c.submissions {
		if c.isOutstanding(w, delivered) {
			c.forgiven[w.ID] = true
			n++
		}
	}
	return n
}

// downMembers returns the members that were ever down, sorted.
func (c *Checker) downMembers() []string { return slices.Sorted(maps.Keys(c.downtimes)) }
