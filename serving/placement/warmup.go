package placement

import (
	"math"
	"time"

	"rowanlink/serving/subscription"
)

// An endpoint that is warming up accepts a limited number of requests a second from all proxies together (slow start).
// Each proxy keeps to a quota, chosen so that the quotas of all proxies can't add up to more than the limit.
const (
	// warmupWindow is the sliding window in which a proxy's sends are counted. It is longer than the one second for which
	// the limit is stated, because the time from the choice of the endpoint to the request's arrival there varies.
	warmupWindow = 1300 * time.Millisecond
	// warmupMargin is added to each reported warm-up time.
	warmupMargin = time.Second
	// evacuationMargin is added to the warm-up time after the end of an evacuation.
	evacuationMargin = 1500 * time.Millisecond
	// discoverySpan is the time after its start in which a process may not know all other proxies.
	discoverySpan = 5 * time.Second
	// uncountedProxies is the number of proxies that may be running in addition to those that are known.
	uncountedProxies = 2
	// overrunProbability bounds the probability that more proxies than an endpoint's limit permits may send to it, where
	// senders are selected at random (see warmupQuota).
	overrunProbability = 1e-7
)

// warmupState holds the reasons for which an endpoint may be warming up, and the sends that count against the quota.
type warmupState struct {
	reportedUntil     time.Time   // end of the warm-up according to the endpoint's heartbeats
	recoveryUntil     time.Time   // end of the warm-up assumed when the endpoint responds again after an ejection
	evacuationEndedAt time.Time   // when the evacuation of its zone ended
	sends             []time.Time // this proxy's calls in the last warmupWindow, the oldest first
}

// isWarmingUp reports whether the endpoint counts as warming up: its heartbeats report it, it is suspect or has
// responded again after an ejection and so may have restarted, or the evacuation of its zone has ended recently.
func (p *Picker) isWarmingUp(now time.Time, e *endpoint) bool {
	if e.service.warmupRate() <= 0 {
		return false
	}
	w := &e.warmup
	if e.isSuspect() || now.Before(w.reportedUntil) || now.Before(w.recoveryUntil) {
		return true
	}
	if w.evacuationEndedAt.IsZero() {
		return false
	}
	return now.Before(w.evacuationEndedAt.Add(e.service.warmupSpan() + evacuationMargin))
}

// warmupDelay returns the time until a call may go to the endpoint; zero: now. It reports false if this proxy may send
// it no calls at all while it is warming up.
func (p *Picker) warmupDelay(now time.Time, e *endpoint) (delay time.Duration, allowed bool) {
	if !p.isWarmingUp(now, e) {
		return 0, true
	}
	quota := p.warmupQuota(e)
	if quota == 0 {
		return 0, false
	}
	age := now.Sub(p.options.StartedAt)
	if left := warmupWindow - age; left > 0 {
		return left, true // an earlier incarnation of this process may have used the quota
	}
	if age < discoverySpan {
		quota = 1
	}
	e.warmup.dropOldSends(now)
	if surplus := len(e.warmup.sends) - quota; surplus >= 0 {
		return max(warmupWindow-now.Sub(e.warmup.sends[surplus]), time.Millisecond), true
	}
	return 0, true
}

// warmupQuota returns how many calls this proxy may send to a warming-up endpoint within warmupWindow. If the limit
// isn't enough for one call of each proxy, a hash of proxy and endpoint selects the proxies that may send one.
func (p *Picker) warmupQuota(e *endpoint) int {
	if p.proxyCount == 0 {
		return 0 // the number of other proxies is unknown
	}
	limit := e.service.warmupRate()*p.options.Bounds.WarmUpExcess + p.options.Bounds.WarmUpSlack
	proxies := float64(p.proxyCount + uncountedProxies)
	if quota := math.Floor(limit / proxies); quota >= 1 {
		return int(quota)
	}
	draw := float64(mixHashes(e.hash, p.nameHash)>>11) / (1 << 53)
	if draw < maxPoissonMean(math.Floor(limit))/proxies {
		return 1
	}
	return 0
}

// maxPoissonMean returns the largest mean of a Poisson-distributed number that exceeds the limit with a probability of
// at most overrunProbability (by Chernoff's bound).
func maxPoissonMean(limit float64) float64 {
	const step = 0.9
	above := limit + 1
	for mean := limit; mean > 0.01; mean *= step {
		if math.Exp(above-mean)*math.Pow(mean/above, above) <= overrunProbability {
			return mean
		}
	}
	return 0
}

// recordSend counts a call that is sent now against the quota.
func (w *warmupState) recordSend(now time.Time) {
	w.dropOldSends(now)
	w.sends = append(w.sends, now)
}

// dropOldSends removes the calls that have left the window.
func (w *warmupState) dropOldSends(now time.Time) {
	expired := 0
	for expired < len(w.sends) && now.Sub(w.sends[expired]) >= warmupWindow {
		expired++
	}
	w.sends = append(w.sends[:0], w.sends[expired:]...)
}

// undoSend removes a call from the count: another incarnation at the endpoint's address has rejected it.
func (w *warmupState) undoSend(sent *call) {
	for index, at := range w.sends {
		if at.Equal(sent.sentAt) {
			w.sends = append(w.sends[:index], w.sends[index+1:]...)
			return
		}
	}
}

// updateProxyCount updates the numbers of proxies. proxyCount stays at the largest number ever reported.
func (p *Picker) updateProxyCount(reported subscription.ProxyCounts) {
	p.proxyCount = max(p.proxyCount, reported.MaxRunning, reported.Live)
	p.proxiesInRegion = max(reported.LiveInRegion, 1)
}
