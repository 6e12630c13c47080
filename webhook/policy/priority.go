package policy

import (
	"cmp"

	"rowanlink/webhook/api"
)

// Priority classes, most urgent first. A webhook over its tenant's quota is ranked overQuotaClasses classes lower.
const (
	onTimeClass      = 0 // it can still be delivered within its latency target
	lateClass        = 1 // it can't any more
	overQuotaClasses = 2
)

// priorityClass ranks a webhook by whether its caller can still get what it asked for: a delivery within the latency
// target, within its tenant's quota. A deduplicated webhook that may have run counts as on time, since it becomes a dead
// letter when its deduplication window ends.
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

// comparePriority orders webhooks for sending, most urgent first. Within a class, webhooks that are on time are ordered
// by targetAt, late ones by their deadline, earliest first: as many as possible are delivered before their time is up. If
// not all can be, those with the most time left are rejected first, since their callers can still try elsewhere.
func (p *Policy) comparePriority(a, b *webhook) int {
	classA, classB := p.priorityClass(a), p.priorityClass(b)
	if classA != classB {
		return classA - classB
	}
	// While slots are scarce, webhooks for the fastest destinations go first, since their calls free their slots
	// soonest: a few slow destinations would otherwise occupy all slots.
	scarce := float64(p.inFlight) >= healthyConcurrencyShare*float64(p.settings.MaxInFlight)
	if routeA, routeB := a.destination.sharedRoute, b.destination.sharedRoute; routeA != routeB && scarce {
		return cmp.Compare(routeA.meanLatency, routeB.meanLatency)
	}
	if classA%overQuotaClasses == lateClass {
		return cmp.Compare(a.deadline, b.deadline)
	}
	return cmp.Compare(a.targetAt, b.targetAt)
}

// checkOrdering has an ordered webhook wait until all earlier webhooks of its ordering key have ended and have no
// attempt in flight. Its first attempt also waits for the pause that follows an attempt that may still run: one of an
// earlier webhook, which must not overtake it. Later on, only its own attempts may still run, and they can't be out of
// order with themselves.
func (p *Policy) checkOrdering(w *webhook) stageResult {
	if !w.eventType.Ordered || w.orderingKey == 0 {
		return proceed
	}
	s := p.sequences[w.orderingKey]
	isNext := s.queue[0] == w
	return stageResult(isNext && (w.attempts > 0 || p.now >= s.pausedUntil))
}
