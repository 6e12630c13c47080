package placement

import (
	"math"
	"time"

	"rowanlink/serving/subscription"
)

// Cold endpoints bear few requests a second, counted over all proxies. Each proxy keeps to a share that can't add up
// to more, whatever the others do.
const (
	// coldWindow is the span in which a proxy's sends are counted, for a bound on every span of a second: the time
	// between choice and arrival varies.
	coldWindow = 1300 * time.Millisecond
	// coldMargin is added to every span that an endpoint is told to be cold.
	coldMargin = time.Second
	// evacuationMargin is the same after an evacuation was taken back.
	evacuationMargin = 1500 * time.Millisecond
	// settleSpan is how long after its start a process may not yet have heard of all other proxies.
	settleSpan = 5 * time.Second
	// uncounted is how many proxies more than are known may run.
	uncounted = 2
	// overrunChance is how likely chance may make too many of the proxies senders of one endpoint, where it is drawn
	// which ones send.
	overrunChance = 1e-7
)

// coldness is what decides whether an endpoint bears only few requests now.
type coldness struct {
	toldUntil   time.Time   // from its heartbeats
	returnUntil time.Time   // it answered again after it had been put aside
	reopenedAt  time.Time   // when its zone was taken back into service
	sends       []time.Time // own calls of the last window, the oldest first
}

// isCold tells whether the endpoint counts as cold.
func (p *Placer) isCold(now time.Time, e *endpoint) bool {
	if e.service.coldRate() <= 0 {
		return false
	}
	c := &e.cold
	if e.doubtful() || now.Before(c.toldUntil) || now.Before(c.returnUntil) {
		return true
	}
	return !c.reopenedAt.IsZero() && now.Before(c.reopenedAt.Add(e.service.coldSpan()+evacuationMargin))
}

// coldWait is how long nothing may go to the endpoint; zero: a call may go now. ok is false where this proxy may
// send it none while it is cold.
func (p *Placer) coldWait(now time.Time, e *endpoint) (wait time.Duration, ok bool) {
	if !p.isCold(now, e) {
		return 0, true
	}
	share := p.coldShare(e)
	if share == 0 {
		return 0, false
	}
	age := now.Sub(p.options.Started)
	if fresh := coldWindow - age; fresh > 0 {
		return fresh, true // an earlier life of the process may have used the share
	}
	if age < settleSpan {
		share = 1
	}
	e.cold.trim(now)
	if over := len(e.cold.sends) - share; over >= 0 {
		return max(coldWindow-now.Sub(e.cold.sends[over]), time.Millisecond), true
	}
	return 0, true
}

// coldShare is how many calls this proxy may send to a cold endpoint within coldWindow.
func (p *Placer) coldShare(e *endpoint) int {
	if p.proxies == 0 {
		return 0 // nobody has told yet how many others there are
	}
	bound := e.service.coldRate()*p.options.Bounds.ColdExcess + p.options.Bounds.ColdSlack
	others := float64(p.proxies + uncounted)
	if share := math.Floor(bound / others); share >= 1 {
		return int(share)
	}
	draw := float64(mix(e.hash, p.nameHash)>>11) / (1 << 53)
	if draw < sendersMean(math.Floor(bound))/others {
		return 1
	}
	return 0
}

// sendersMean is the largest mean of a Poisson-distributed number that is above the bound with no more than the
// chance overrunChance (by Chernoff's bound).
func sendersMean(bound float64) float64 {
	const step = 0.9
	above := bound + 1
	for mean := bound; mean > 0.01; mean *= step {
		if math.Exp(above-mean)*math.Pow(mean/above, above) <= overrunChance {
			return mean
		}
	}
	return 0
}

// count notes a call that was chosen to go out.
func (c *coldness) count(now time.Time) {
	c.trim(now)
	c.sends = append(c.sends, now)
}

// trim drops the calls that have left the window.
func (c *coldness) trim(now time.Time) {
	left := 0
	for left < len(c.sends) && now.Sub(c.sends[left]) >= coldWindow {
		left++
	}
	c.sends = append(c.sends[:0], c.sends[left:]...)
}

// takeBack uncounts a call that another incarnation turned away.
func (c *coldness) takeBack(sent *call) {
	for index, at := range c.sends {
		if at.Equal(sent.sentAt) {
			c.sends = append(c.sends[:index], c.sends[index+1:]...)
			return
		}
	}
}

// countProxies keeps the most proxies that were ever told of.
func (p *Placer) countProxies(told subscription.Proxies) {
	p.proxies = max(p.proxies, told.Most, told.Live)
	p.near = max(told.Region, 1)
}
