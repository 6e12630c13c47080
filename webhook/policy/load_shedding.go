package policy

import "slices"

// shedLoad keeps the buffer from filling up: beyond a share of it, the webhooks of least value of the destination with the
// longest queue are rejected, so that those of other destinations are still admitted.
func (p *Policy) shedLoad() {
	p.grandfathered = min(p.grandfathered, p.unanswered)
	limit := max(int(maxBufferFill*float64(p.settings.BufferSize)), p.grandfathered, 1)
	p.updateShedding(limit)
	for p.unanswered > limit && len(p.backlogged) > 0 {
		d := slices.MaxFunc(p.backlogged, func(a, b *destination) int { return len(a.queue) - len(b.queue) })
		victim := p.leastValuable(d)
		if victim == nil {
			return
		}
		p.giveUp(victim)
		d.removeDequeued()
	}
}

// updateShedding logs when shedding begins, and when it ends at half of the limit.
func (p *Policy) updateShedding(limit int) {
	begins := !p.shedding && p.unanswered > limit
	ends := p.shedding && p.unanswered <= limit/2
	if begins || ends {
		p.shedding = !p.shedding
		p.log("shedding %v, %d pending", p.shedding, p.unanswered)
	}
}

// leastValuable returns the last webhook by priority that no attempt may have run, or nil.
func (p *Policy) leastValuable(d *destination) *webhook {
	var victim *webhook
	for _, w := range d.queue {
		if w.mayHaveRunAt == never && (victim == nil || p.comparePriority(victim, w) < 0) {
			victim = w
		}
	}
	return victim
}
