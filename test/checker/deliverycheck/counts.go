package deliverycheck

// Outstanding returns how many webhooks were accepted and have no outcome yet.
func (c *Checker) Outstanding() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delivered := c.deliveries()
	for _, w := range c.submissions {
		if c.isOutstanding(w, delivered) {
			n++
		}
	}
	return n
}

func (c *Checker) isOutstanding(w *webhook, delivered map[delivery]bool) bool {
	return w.accepted() && !c.forgiven[w.ID] && len(w.missing(delivered)) > 0
}

// Counts is what became of all webhooks.
type Counts struct {
	Submitted, Accepted, Rejected, Unanswered int
	Delivered, Notices                        int // by destination
	Calls, RateExceeded, Effects              int
}

// Counts returns the counts up to now.
func (c *Checker) Counts() (counts Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts.Submitted = len(c.submissions)
	counts.Calls = len(c.calls)
	counts.RateExceeded = c.rateExceeded
	for _, w := range c.submissions {
		switch {
		case w.accepted():
			counts.Accepted++
		case w.rejected():
			counts.Rejected++
		case w.status == 0:
			counts.Unanswered++
		}
		counts.Notices += len(w.notices)
	}
	counts.Delivered = len(c.deliveries())
	for _, call := range c.calls {
		counts.Effects += len(call.effects)
	}
	return counts
}
