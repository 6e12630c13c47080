package deliverycheck

import (
	"maps"
	"slices"

	"rowanlink/webhook/api"
)

// RecordMemberDown notes that a member stands still, leaves or has ended (died): nothing it may have is overdue until Up.
func (l *Checker) RecordMemberDown(at api.Micros, member string, died bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.downtimes[member]
	if len(all) == 0 || all[len(all)-1].until != api.Never {
		all = append(all, period{from: at, until: api.Never})
	}
	all[len(all)-1].processEnded = all[len(all)-1].processEnded || died
	l.downtimes[member] = all
}

func (l *Checker) RecordMemberUp(at api.Micros, member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endLastPeriod(l.downtimes[member], at)
}

func endLastPeriod(all []period, at api.Micros) {
	if len(all) > 0 && all[len(all)-1].until == api.Never {
		all[len(all)-1].until = at
	}
}

// ForgiveOutstanding forgives what has not ended: its home's folder may be the one that is gone. It returns how many.
func (l *Checker) ForgiveOutstanding(at api.Micros) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := l.deliveries()
	for _, w := range l.submissions {
		if w.accepted() && len(w.missing(ends)) > 0 && !l.forgiven[w.ID] {
			l.forgiven[w.ID] = true
			n++
		}
	}
	return n
}

// downMembers are those that were ever down, in order.
func (l *Checker) downMembers() []string { return slices.Sorted(maps.Keys(l.downtimes)) }
