package policy

import (
	"cmp"

	"rowanlink/webhook/api"
)

// Priority classes, most urgent first. A webhook over its tenant's quota is overQuotaClasses lower.
const (
	onTimeClass      = 0 // it can still be delivered within its latency target
	lateClass        = 1
	overQuotaClasses = 2
)

// priorityClass ranks by the value that can still be achieved. A deduplicated webhook that may have run counts as on time:
// past its deduplication window it would be a dead letter.
func (p *Policy) priorityClass(w *webhook) int {
	class := onTimeClass
	expiring := w.mayHaveRunAt != never && w.eventType.Semantics == api.Deduplicated
	if !expiring && p.now+api.Micros(w.destination.sharedRoute.meanLatency) > w.targetAt {
		class = lateClass
	}
	if w.overQuota {
		class += overQuotaClasses
	}
	return class
}

// comparePriority orders webhooks for sending. Within a class those on time go by the nearest target; those late go
// youngest first: all lose value alike, so what can't all be delivered on time is given up from the oldest on.
func (p *Policy) comparePriority(a, b *webhook) int {
	classA, classB := p.priorityClass(a), p.priorityClass(b)
	if classA != classB {
		return classA - classB
	}
	// While slots are scarce the quickest destinations go first, since they free their slots soonest: a few slow
	// destinations would otherwise take all of them.
	scarce := float64(p.inFlight) >= healthyConcurrencyShare*float64(p.settings.MaxInFlight)
	if routeA, routeB := a.destination.sharedRoute, b.destination.sharedRoute; routeA != routeB && scarce {
		return cmp.Compare(routeA.meanLatency, routeB.meanLatency)
	}
	if classA%overQuotaClasses == lateClass {
		return cmp.Compare(b.targetAt, a.targetAt)
	}
	return cmp.Compare(a.targetAt, b.targetAt)
}

// checkOrdering has an ordered webhook wait until each earlier one of its key has ended without an attempt in flight,
// and the key has paused after an attempt that may still run.
func (p *Policy) checkOrdering(w *webhook) stageResult {
	if !w.eventType.Ordered || w.orderingKey == 0 {
		return proceed
	}
	s := p.sequences[w.orderingKey]
	isNext := s.queue[0] == w
	return stageResult(isNext && (w.attempts > 0 || p.now >= s.pausedUntil))
}
