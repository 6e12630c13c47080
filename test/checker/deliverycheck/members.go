package deliverycheck

import (
	"maps"
	"slices"

	"rowanlink/webhook/api"
)

// Down notes that a member stands still, leaves or has ended (died): nothing it may have is overdue until Up.
func (l *Ledger) Down(at api.Micros, member string, died bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.down[member]
	if len(all) == 0 || all[len(all)-1].until != api.Never {
		all = append(all, span{from: at, until: api.Never})
	}
	all[len(all)-1].died = all[len(all)-1].died || died
	l.down[member] = all
}

func (l *Ledger) Up(at api.Micros, member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeLast(l.down[member], at)
}

func closeLast(all []span, at api.Micros) {
	if len(all) > 0 && all[len(all)-1].until == api.Never {
		all[len(all)-1].until = at
	}
}

// FolderLost forgives what has not ended: its home's folder may be the one that is gone. It returns how many.
func (l *Ledger) FolderLost(at api.Micros) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := l.ends()
	for _, w := range l.order {
		if w.taken() && len(w.missing(ends)) > 0 && !l.forgiven[w.ID] {
			l.forgiven[w.ID] = true
			n++
		}
	}
	return n
}

// members are those that were ever down, in order.
func (l *Ledger) members() []string { return slices.Sorted(maps.Keys(l.down)) }
