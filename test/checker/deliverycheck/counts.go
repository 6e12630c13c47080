package deliverycheck

// Outstanding is how many webhooks were taken on and have no end yet.
func (l *Checker) Outstanding() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := l.deliveries()
	for _, w := range l.submissions {
		if w.accepted() && !l.forgiven[w.ID] && len(w.missing(ends)) > 0 {
			n++
		}
	}
	return n
}

// Counts says what came of all.
type Counts struct {
	Submitted, Accepted, Rejected, Unanswered int
	Delivered, Notices                        int // by destination
	Calls, RateExceeded, Effects              int
}

// Counts counts up to now.
func (l *Checker) Counts() (c Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Submitted, c.Calls, c.RateExceeded = len(l.submissions), len(l.calls), l.rateExceeded
	for _, w := range l.submissions {
		switch {
		case w.accepted():
			c.Accepted++
		case w.status == 429 || w.status == 503:
			c.Rejected++
		case w.status == 0:
			c.Unanswered++
		}
		c.Notices += len(w.notices)
	}
	c.Delivered = len(l.deliveries())
	for _, call := range l.calls {
		c.Effects += len(call.effects)
	}
	return c
}
