package deliverycheck

// Open is how many webhooks were taken on and have no end yet.
func (l *Ledger) Open() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := l.ends()
	for _, w := range l.order {
		if w.taken() && !l.forgiven[w.ID] && len(w.missing(ends)) > 0 {
			n++
		}
	}
	return n
}

// Counts says what came of all.
type Counts struct {
	HandedIn, Taken, Refused, Unanswered int
	Delivered, Told                      int // by destination
	Calls, OverRate, Effects             int
}

// Counts counts up to now.
func (l *Ledger) Counts() (c Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.HandedIn, c.Calls, c.OverRate = len(l.order), len(l.calls), l.over
	for _, w := range l.order {
		switch {
		case w.taken():
			c.Taken++
		case w.code == 429 || w.code == 503:
			c.Refused++
		case w.code == 0:
			c.Unanswered++
		}
		c.Told += len(w.notices)
	}
	c.Delivered = len(l.ends())
	for _, call := range l.calls {
		c.Effects += len(call.ran)
	}
	return c
}
