package placement

import (
	"time"

	"rowanlink/internal/backoff"
	"rowanlink/serving/attempt"
)

// Parameters of backoff and outlier ejection. Endpoints send no Retry-After, so the backoff is computed from the
// outcomes of calls, by the schedule of package backoff.
const (
	backoffUnit         = 50 * time.Millisecond
	maxRejectionBackoff = 400 * time.Millisecond // upper bound after consecutive rejections
	maxFailureBackoff   = 2 * time.Second        // upper bound after consecutive failures
	maxMajorityBackoff  = 200 * time.Millisecond // upper bound after failures while most of the service's endpoints are ejected
	// A call hangs if the endpoint has shown no activity for hangFactor times the expected time to first byte, and at
	// least for minHangTime.
	hangFactor  = 4
	minHangTime = time.Second
	// ejectionThreshold is the number of consecutive failures after which an endpoint is ejected: only one call at a
	// time goes to it, as a probe.
	ejectionThreshold = 3
	// unhealthyFailureRate is the failure rate above which calls may use only backoff.UnhealthyShare of the slots.
	unhealthyFailureRate = 0.25
	// failureSmoothing is the weight of a new outcome in the failure rate.
	failureSmoothing = 1.0 / 8
	// maxEjectedShare is the share of a service's endpoints that may be ejected. If more are, the cause is probably not
	// the endpoints, and the remaining ones must not get the whole load.
	maxEjectedShare = 0.5
)

// health holds the backoff and ejection of an endpoint, as derived from the outcomes of this proxy's calls.
type health struct {
	consecutiveFailures int // failures of calls that were in flight together count as one
	rejections          int // consecutive rejections, counted in the same way
	failureRate         float64
	backoffUntil        time.Time // nothing is sent before
	backoffSetAt        time.Time
	probe               *call // the one call in flight while the endpoint is ejected
}

// isEjected reports whether the endpoint is ejected. Unless most of the service's endpoints are
// (service.majorityEjected), it then gets probes only.
func (h *health) isEjected() bool { return h.consecutiveFailures >= ejectionThreshold }

// recordSuccess ends backoff and ejection.
func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
	h.rejections = 0
	h.backoffUntil = time.Time{}
	h.failureRate -= failureSmoothing * h.failureRate
}

// recordFailure counts a failure and sets the backoff. random is a draw from [0, 1).
func (h *health) recordFailure(now time.Time, c *call, limit time.Duration, random float64) {
	h.failureRate += failureSmoothing * (1 - h.failureRate)
	if c.sentAt.Before(h.backoffSetAt) {
		return // it was in flight together with a call that has been counted
	}
	h.consecutiveFailures++
	h.setBackoff(now, h.consecutiveFailures-1, limit, random)
}

// recordRejection counts a rejection and sets the backoff. random is a draw from [0, 1).
func (h *health) recordRejection(now time.Time, c *call, random float64) {
	if c.sentAt.Before(h.backoffSetAt) {
		return
	}
	h.rejections++
	h.setBackoff(now, h.rejections-1, maxRejectionBackoff, random)
}

// eject ejects the endpoint at once. The backoff is the longest one that the schedule has for retry ejectionThreshold:
// 400 ms, or maxMajorityBackoff if that is the limit.
func (h *health) eject(now time.Time, limit time.Duration) {
	h.consecutiveFailures = ejectionThreshold
	h.setBackoff(now, ejectionThreshold, limit, 1)
}

// setBackoff sets the backoff that the schedule gives for a retry number, from zero.
func (h *health) setBackoff(now time.Time, retry int, limit time.Duration, random float64) {
	units := float64(limit) / float64(backoffUnit)
	h.backoffUntil = now.Add(time.Duration(backoff.Delay(units, retry, random, float64(backoffUnit))))
	h.backoffSetAt = now
}

// applyOutcome updates the state of an endpoint's health, window and warm-up by the outcome of a call.
func (p *Picker) applyOutcome(now time.Time, c *call, outcome attempt.Outcome) {
	e := c.endpoint
	wasEjected, wasExcluded := e.health.isEjected(), e.excluded
	switch outcome {
	case attempt.Succeeded:
		p.recordRecovery(now, e)
		e.health.recordSuccess()
		e.window = backoff.Grow(e.window, windowStep, e.slots())
		e.recordActivity(now)
	case attempt.Rejected:
		p.applyRejection(now, c)
	case attempt.Misdirected:
		e.replaced, e.excluded = true, true
		e.service.forgetOwners()
		e.warmup.undoSend(c)
	case attempt.TimedOut:
		p.pendingObservation(e).Failures++
		e.zone.recordUnresponsive(now, e)
		e.halveWindow(now, c)
		e.health.recordFailure(now, c, e.service.maxBackoff(), p.random.Float64())
		e.ejectIfUnresponsive(now, c)
	case attempt.Failed, attempt.ConnectFailed, attempt.Broken:
		p.pendingObservation(e).Failures++
		if outcome != attempt.Failed {
			e.zone.recordUnresponsive(now, e)
		}
		e.health.recordFailure(now, c, e.service.maxBackoff(), p.random.Float64())
	case attempt.Canceled:
		e.ejectIfUnresponsive(now, c)
	}
	if e.health.isEjected() != wasEjected || e.excluded != wasExcluded {
		e.service.updateMajorityEjected()
	}
}

// applyRejection backs off from an endpoint that has rejected a call, unless the call needs more than the whole KV
// cache: such a rejection says nothing about the endpoint's load.
func (p *Picker) applyRejection(now time.Time, c *call) {
	e := c.endpoint
	e.recordActivity(now)
	if e.service.hasEngine() && c.reservedTokens > e.service.cacheTokens() {
		return
	}
	e.halveWindow(now, c)
	e.health.recordRejection(now, c, p.random.Float64())
}

// ejectIfUnresponsive ejects an endpoint that has shown no activity on any call since the call that has now ended was
// sent, if that call lasted at least the hang time (see hangFactor). Calls that hang take long to end, so waiting for
// ejectionThreshold of them in a row would make each of them late.
func (e *endpoint) ejectIfUnresponsive(now time.Time, c *call) {
	hangTime := max(hangFactor*c.expectedFirstByte, minHangTime)
	active := c.gotFirstByte || e.lastActivityAt.After(c.sentAt)
	if active || now.Sub(c.sentAt) < hangTime || e.health.isEjected() {
		return
	}
	e.health.eject(now, e.service.maxBackoff())
}

// recordRecovery resets the cache and warm-up state of an ejected endpoint that responds again: it may have restarted
// and lost its caches.
func (p *Picker) recordRecovery(now time.Time, e *endpoint) {
	if !e.health.isEjected() {
		return
	}
	e.prefixCache.clear()
	if span := e.service.warmupSpan(); span > 0 {
		e.warmup.recoveryUntil = now.Add(span + warmupMargin)
	}
}

// maxBackoff returns the upper bound of the backoff after a failure.
func (s *service) maxBackoff() time.Duration {
	if s.majorityEjected {
		return maxMajorityBackoff
	}
	return maxFailureBackoff
}

// updateMajorityEjected determines whether more than maxEjectedShare of the service's endpoints are ejected.
func (s *service) updateMajorityEjected() {
	ejected, all := 0, 0
	for _, e := range s.endpoints {
		if e.excluded {
			continue
		}
		all++
		if e.health.isEjected() {
			ejected++
		}
	}
	s.majorityEjected = float64(ejected) > maxEjectedShare*float64(all)
}
