package placement

import (
	"time"

	"rowanlink/internal/backoff"
	"rowanlink/serving/attempt"
)

// Told waits. Endpoints send none, so they are drawn by the schedule from what comes of calls.
const (
	backoffUnit          = 50 * time.Millisecond
	maxRejectionBackoff  = 400 * time.Millisecond // cap of the wait after refusals in a row
	maxFailureBackoff    = 2 * time.Second        // cap of the wait after failures in a row
	maxMajorityBackoff   = 200 * time.Millisecond // the same where half of a service's endpoints or more are held
	hangFactor           = 4                      // so many times the expected time without a sign is a hang
	minHangTime          = time.Second            // and no less than this
	ejectionThreshold    = 3                      // failures in a row after which only one probing call at a time goes out
	unhealthyFailureRate = 0.25                   // share of failed calls above which the window takes the lesser share
	failureSmoothing     = 1.0 / 8
	// maxEjectedShare is the share of a service's endpoints that may be put aside: where more fail, the cause is
	// elsewhere, and what is left must not take all the load.
	maxEjectedShare = 0.5
)

// health is what own calls say of an endpoint.
type health struct {
	consecutiveFailures int       // in a row, those of calls that were out together counted once
	rejections          int       // the same for refusals
	failureRate         float64   // smoothed share of calls that failed
	backoffUntil        time.Time // nothing is sent before
	backoffSetAt        time.Time // when that was set
	probe               *call     // the one call out while the endpoint is put aside
}

// isEjected tells whether the endpoint is put aside but for probes.
func (h *health) isEjected() bool { return h.consecutiveFailures >= ejectionThreshold }

// recordSuccess takes a whole answer as proof of health: told waits end.
func (h *health) recordSuccess() {
	h.consecutiveFailures, h.rejections, h.backoffUntil = 0, 0, time.Time{}
	h.failureRate -= failureSmoothing * h.failureRate
}

// recordFailure counts a failure and draws the wait. x is a random draw from [0, 1).
func (h *health) recordFailure(now time.Time, c *call, limit time.Duration, x float64) {
	h.failureRate += failureSmoothing * (1 - h.failureRate)
	if c.sentAt.Before(h.backoffSetAt) {
		return // it was out together with one that is counted
	}
	h.consecutiveFailures++
	h.setBackoff(now, h.consecutiveFailures-1, limit, x)
}

// recordRejection counts a refusal and draws the wait.
func (h *health) recordRejection(now time.Time, c *call, x float64) {
	if c.sentAt.Before(h.backoffSetAt) {
		return
	}
	h.rejections++
	h.setBackoff(now, h.rejections-1, maxRejectionBackoff, x)
}

func (h *health) setBackoff(now time.Time, i int, limit time.Duration, x float64) {
	m := float64(limit) / float64(backoffUnit)
	h.backoffUntil = now.Add(time.Duration(backoff.Delay(m, i, x, float64(backoffUnit))))
	h.backoffSetAt = now
}

// applyOutcome applies the outcome of a call to its endpoint.
func (p *Picker) applyOutcome(now time.Time, c *call, outcome attempt.Outcome) {
	e := c.endpoint
	switch outcome {
	case attempt.Succeeded:
		p.recordRecovery(now, e)
		e.health.recordSuccess()
		e.window = backoff.Grow(e.window, windowStep, e.slots())
		e.recordActivity(now)
	case attempt.Rejected:
		e.recordActivity(now)
		if e.service.hasEngine() && c.reservedTokens > e.service.cacheTokens() {
			break // larger than its memory: this says nothing of its load
		}
		e.halveWindow(now, c)
		e.health.recordRejection(now, c, p.random.Float64())
	case attempt.Misdirected:
		e.replaced, e.excluded = true, true
		e.warmup.undoSend(c)
	case attempt.TimedOut:
		p.pendingObservation(e).Failures++
		e.zone.recordSilence(now, e)
		e.halveWindow(now, c)
		e.health.recordFailure(now, c, e.service.maxBackoff(), p.random.Float64())
		e.ejectIfUnresponsive(now, c)
	case attempt.Failed, attempt.ConnectFailed, attempt.Broken:
		p.pendingObservation(e).Failures++
		if outcome != attempt.Failed {
			e.zone.recordSilence(now, e)
		}
		e.health.recordFailure(now, c, e.service.maxBackoff(), p.random.Float64())
	case attempt.Canceled:
		e.ejectIfUnresponsive(now, c)
	}
	e.service.updateMajorityEjected()
}

// ejectIfUnresponsive puts an endpoint aside that has said nothing on any call since the one that ended was sent: calls that
// hang are long, and to wait for several of them in a row would cost each.
func (e *endpoint) ejectIfUnresponsive(now time.Time, c *call) {
	long := max(hangFactor*c.expectedFirstByte, minHangTime)
	if c.gotFirstByte || e.lastActivityAt.After(c.sentAt) || now.Sub(c.sentAt) < long || e.health.isEjected() {
		return
	}
	e.health.consecutiveFailures = ejectionThreshold
	e.health.setBackoff(now, ejectionThreshold, e.service.maxBackoff(), 1)
}

// recordRecovery notes that an endpoint that was put aside answers again: it may have come back cold.
func (p *Picker) recordRecovery(now time.Time, e *endpoint) {
	if !e.health.isEjected() {
		return
	}
	e.prefixCache.clear()
	if span := e.service.warmupSpan(); span > 0 {
		e.warmup.recoveryUntil = now.Add(span + warmupMargin)
	}
}

// maxBackoff is the cap of the next wait after a failure.
func (s *service) maxBackoff() time.Duration {
	if s.majorityEjected {
		return maxMajorityBackoff
	}
	return maxFailureBackoff
}

// updateMajorityEjected judges whether so many endpoints fail that the cause is elsewhere.
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
