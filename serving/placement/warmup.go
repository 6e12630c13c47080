package placement

import (
	"math"
	"time"

	"rowanlink/serving/subscription"
)

// Cold endpoints bear few requests a second, counted over all proxies. Each proxy keeps to a share that can't add up
// to more, whatever the others do.
const (
	// warmupWindow is the span in which a proxy's sends are counted, for a bound on every span of a second: the time
	// between choice and arrival varies.
	warmupWindow = 1300 * time.Millisecond
	// warmupMargin is added to every span that an endpoint is told to be cold.
	warmupMargin = time.Second
	// evacuationMargin is the same after an evacuation was taken back.
	evacuationMargin = 1500 * time.Millisecond
	// discoverySpan is how long after its start a process may not yet have heard of all other proxies.
	discoverySpan = 5 * time.Second
	// uncountedProxies is how many proxies more than are known may run.
	uncountedProxies = 2
	// overrunProbability is how likely chance may make too many of the proxies senders of one endpoint, where it is drawn
	// which ones send.
	overrunProbability = 1e-7
)

// warmupState is what decides whether an endpoint bears only few requests now.
type warmupState struct {
	reportedUntil     time.Time   // from its heartbeats
	recoveryUntil     time.Time   // it answered again after it had been put aside
	evacuationEndedAt time.Time   // when its zone was taken back into service
	sends             []time.Time // own calls of the last window, the oldest first
}

// isWarmingUp tells whether the endpoint counts as cold.
func (p *Picker) isWarmingUp(now time.Time, e *endpoint) bool {
	if e.service.warmupRate() <= 0 {
		return false
	}
	c := &e.warmup
	if e.isSuspect() || now.Before(c.reportedUntil) || now.Before(c.recoveryUntil) {
		return true
	}
	return !c.evacuationEndedAt.IsZero() && now.Before(c.evacuationEndedAt.Add(e.service.warmupSpan()+evacuationMargin))
}

// warmupDelay is how long nothing may go to the endpoint; zero: a call may go now. ok is false where this proxy may
// send it none while it is cold.
func (p *Picker) warmupDelay(now time.Time, e *endpoint) (wait time.Duration, ok bool) {
	if !p.isWarmingUp(now, e) {
		return 0, true
	}
	share := p.warmupQuota(e)
	if share == 0 {
		return 0, false
	}
	age := now.Sub(p.options.StartedAt)
	if fresh := warmupWindow - age; fresh > 0 {
		return fresh, true // an earlier life of the process may have used the share
	}
	if age < discoverySpan {
		share = 1
	}
	e.warmup.dropOldSends(now)
	if over := len(e.warmup.sends) - share; over >= 0 {
		return max(warmupWindow-now.Sub(e.warmup.sends[over]), time.Millisecond), true
	}
	return 0, true
}

// warmupQuota is how many calls this proxy may send to a cold endpoint within warmupWindow.
func (p *Picker) warmupQuota(e *endpoint) int {
	if p.proxyCount == 0 {
		return 0 // nobody has told yet how many others there are
	}
	bound := e.service.warmupRate()*p.options.Bounds.ColdExcess + p.options.Bounds.ColdSlack
	others := float64(p.proxyCount + uncountedProxies)
	if share := math.Floor(bound / others); share >= 1 {
		return int(share)
	}
	draw := float64(mixHashes(e.hash, p.nameHash)>>11) / (1 << 53)
	if draw < maxPoissonMean(math.Floor(bound))/others {
		return 1
	}
	return 0
}

// maxPoissonMean is the largest mean of a Poisson-distributed number that is above the bound with no more than the
// chance overrunProbability (by Chernoff's bound).
func maxPoissonMean(bound float64) float64 {
	const step = 0.9
	above := bound + 1
	for mean := bound; mean > 0.01; mean *= step {
		if math.Exp(above-mean)*math.Pow(mean/above, above) <= overrunProbability {
			return mean
		}
	}
	return 0
}

// recordSend notes a call that was chosen to go out.
func (c *warmupState) recordSend(now time.Time) {
	c.dropOldSends(now)
	c.sends = append(c.sends, now)
}

// dropOldSends drops the calls that have left the window.
func (c *warmupState) dropOldSends(now time.Time) {
	left := 0
	for left < len(c.sends) && now.Sub(c.sends[left]) >= warmupWindow {
		left++
	}
	c.sends = append(c.sends[:0], c.sends[left:]...)
}

// undoSend uncounts a call that another incarnation turned away.
func (c *warmupState) undoSend(sent *call) {
	for index, at := range c.sends {
		if at.Equal(sent.sentAt) {
			c.sends = append(c.sends[:index], c.sends[index+1:]...)
			return
		}
	}
}

// updateProxyCount keeps the most proxies that were ever told of.
func (p *Picker) updateProxyCount(told subscription.Proxies) {
	p.proxyCount = max(p.proxyCount, told.Most, told.Live)
	p.proxiesInRegion = max(told.Region, 1)
}
