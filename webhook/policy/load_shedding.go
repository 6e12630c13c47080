package policy

import "slices"

// shedLoad keeps the buffer from filling up. While the buffer is filled beyond maxBufferFill, the webhooks
// of lowest priority of the destination with the longest queue are rejected, so that webhooks for other destinations are still
// accepted.
func (p *Policy) shedLoad() {
	p.exemptFromShedding = min(p.exemptFromShedding, p.unanswered)
	limit := max(int(maxBufferFill*float64(p.settings.BufferSize)), p.exemptFromShedding, 1)
	p.updateShedding(limit)
	for p.unanswered > limit && len(p.backlogged) > 0 {
		d := slices.MaxFunc(p.backlogged, func(a, b *destination) int { return len(a.queue) - len(b.queue) })
		victim := p.lowestPriority(d)
		if victim == nil {
			return
		}
		p.giveUp(victim)
		d.removeDequeued()
	}
}

// updateShedding logs that shedding begins when more webhooks are pending than the limit, and that it ends when at most
// half as many are.
func (p *Policy) updateShedding(limit int) {
	begins := !p.shedding && p.unanswered > limit
	ends := p.shedding && p.unanswered <= limit/2
	if begins || ends {
		p.shedding = !p.shedding
		p.log("shedding %v, %d pending", p.shedding, p.unanswered)
	}
}

// lowestPriority returns the queued webhook of lowest priority that can be rejected, or nil. A webhook can be rejected
// while no attempt may have run.
func (p *Policy) lowestPriority(d *destination) *webhook {
	var victim *webhook
	for _, w := range d.queue {
		if w.mayHaveRunAt == never && (victim == nil || p.comparePriority(victim, w) < 0) {
			victim = w
		}
	}
	return victim
}
