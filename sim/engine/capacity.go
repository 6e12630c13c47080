package engine

import (
	"math"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// slidingSum sums the weights of a sliding window of time.
type slidingSum struct {
	times   []api.Micros
	weights []float64
	sum     float64
}

// add adds a weight and returns the sum over the window that ends with it.
func (l *slidingSum) add(at, window api.Micros, weight float64) float64 {
	l.times = append(l.times, at)
	l.weights = append(l.weights, weight)
	l.sum += weight
	expired := 0
	for expired < len(l.times) && l.times[expired] <= at-window {
		l.sum -= l.weights[expired]
		expired++
	}
	l.times = slices.Delete(l.times, 0, expired)
	l.weights = slices.Delete(l.weights, 0, expired)
	return l.sum
}

// warmupCapacity returns a route's share of its warm capacity. It grows linearly in the slow start.
func (m *Simulation) warmupCapacity(r *route) float64 {
	if r.warmingSince == never {
		return 1
	}
	initial := m.scenario.Thresholds.SlowStartCapacity
	elapsed := float64(m.now-r.warmingSince) / float64(max(m.scenario.Thresholds.SlowStartDuration, 1))
	if elapsed >= 1 {
		r.warmingSince = never
		r.warmupLoad = slidingSum{}
		return 1
	}
	return initial + (1-initial)*elapsed
}

// toleratedExcess is the random excess over a budget of calls that doesn't count as overload.
func toleratedExcess(budget float64) float64 { return 2 + math.Sqrt(budget) }

// recordWarmupLoad counts a call to a route in its slow start. The route collapses when it is overloaded.
func (m *Simulation) recordWarmupLoad(routeIndex int32, weight float64) {
	r, thresholds := &m.routes[routeIndex], &m.scenario.Thresholds
	if r.down || r.warmingSince == never {
		return
	}
	window := thresholds.OverloadDuration.micros()
	budget := thresholds.OverloadFactor * m.warmupCapacity(r) * r.rate * window.Seconds()
	if r.warmingSince == never { // the slow start has just ended
		return
	}
	if r.warmupLoad.add(m.now, window, weight) <= budget+toleratedExcess(budget) {
		return
	}
	m.Bus.Emit(event.Event{
		At:          m.now,
		Kind:        event.Collapsed,
		Route:       event.Route(routeIndex),
		Destination: r.destination,
	})
	for _, e := range r.endpoints {
		m.updateServer(e, func(s *server) { s.down++ })
	}
}

// admitsCall counts a call for the route's limit and reports whether it is within it.
func (m *Simulation) admitsCall(r *route) bool {
	rate := r.rate * m.warmupCapacity(r)
	for _, factor := range r.limitFactors {
		rate *= factor
	}
	switch r.kind.Limit {
	case limitRate:
		return r.takeToken(rate, m.now)
	case limitWindow:
		return r.countInWindow(rate, m.now)
	}
	return true
}

// takeToken is a token bucket of half a second's tokens.
func (r *route) takeToken(rate float64, now api.Micros) bool {
	r.tokens = min(r.tokens+rate*(now-r.tokensAt).Seconds(), max(rate/2, 1))
	r.tokensAt = now
	if r.tokens >= 1 {
		r.tokens--
		return true
	}
	if r.kind.CountsRejected {
		r.tokens = max(r.tokens-1, -rate)
	}
	return false
}

// countInWindow is a limit by fixed windows.
func (r *route) countInWindow(rate float64, now api.Micros) bool {
	window := r.kind.LimitWindow.micros()
	if now-r.windowStart >= window {
		r.windowStart = now - (now-r.windowStart)%window
		r.windowCalls = 0
	}
	if r.windowCalls+1 <= max(rate*window.Seconds(), 1) {
		r.windowCalls++
		return true
	}
	if r.kind.CountsRejected {
		r.windowStart = now // each call over the limit starts the window again
	}
	return false
}

// serviceTime returns a random time for which a call with a number of webhooks is served. It has a log-normal
// distribution with the mean and the coefficient of variation of the kind.
func (m *Simulation) serviceTime(s *server, kind *DestinationKind, webhooks int) api.Micros {
	t := float64(kind.ServiceTime) * (1 + kind.BatchItemCost*float64(webhooks-1))
	if kind.ServiceTimeCV > 0 {
		variance := math.Log(1 + kind.ServiceTimeCV*kind.ServiceTimeCV)
		t *= math.Exp(math.Sqrt(variance)*m.random.NormFloat64() - variance/2)
	}
	for _, factor := range s.slowFactors {
		t *= factor
	}
	return max(api.Micros(t), 1)
}
