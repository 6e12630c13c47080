package engine

import (
	"math"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// slidingSum sums what came within a span of time.
type slidingSum struct {
	times   []api.Micros
	weights []float64
	sum     float64
}

func (l *slidingSum) add(at, span api.Micros, of float64) float64 {
	l.times, l.weights, l.sum = append(l.times, at), append(l.weights, of), l.sum+of
	n := 0
	for n < len(l.times) && l.times[n] <= at-span {
		l.sum -= l.weights[n]
		n++
	}
	l.times, l.weights = slices.Delete(l.times, 0, n), slices.Delete(l.weights, 0, n)
	return l.sum
}

// warmupCapacity is the share of what a route takes when warm that it takes now.
func (m *Simulation) warmupCapacity(r *route) float64 {
	if r.warmingSince == never {
		return 1
	}
	r0 := m.scenario.Thresholds.SlowStartCapacity
	part := float64(m.now-r.warmingSince) / float64(max(m.scenario.Thresholds.SlowStartDuration, 1))
	if part >= 1 {
		r.warmingSince, r.warmupLoad = never, slidingSum{}
		return 1
	}
	return r0 + (1-r0)*part
}

// toleratedExcess is what chance may add to a cold route's budget before it falls.
func toleratedExcess(budget float64) float64 { return 2 + math.Sqrt(budget) }

// recordWarmupLoad counts a call that reached a cold route, and pushes it over where that was too much.
func (m *Simulation) recordWarmupLoad(routeIndex int32, weight float64) {
	r, rules := &m.routes[routeIndex], &m.scenario.Thresholds
	if r.out || r.warmingSince == never {
		return
	}
	budget := rules.OverloadFactor * m.warmupCapacity(r) * r.rate * rules.OverloadDuration.micros().Seconds()
	if r.warmingSince == never {
		return
	}
	if r.warmupLoad.add(m.now, rules.OverloadDuration.micros(), weight) > budget+toleratedExcess(budget) {
		m.Bus.Emit(event.Event{At: m.now, Kind: event.Collapsed, Route: event.Route(routeIndex), Destination: r.destination})
		for _, e := range r.endpoints {
			m.updateServer(e, func(s *server) { s.down++ })
		}
	}
}

// admitsCall tells whether the route's limit has room for a call.
func (m *Simulation) admitsCall(r *route) bool {
	rate := r.rate * m.warmupCapacity(r)
	for _, left := range r.limitFactors {
		rate *= left
	}
	switch r.kind.Limit {
	case "rate":
		r.tokens = min(r.tokens+rate*(m.now-r.tokensAt).Seconds(), max(rate/2, 1))
		r.tokensAt = m.now
		if r.tokens >= 1 {
			r.tokens--
			return true
		}
		if r.kind.CountsRejected {
			r.tokens = max(r.tokens-1, -rate)
		}
		return false
	case "window":
		if m.now-r.windowStart >= r.kind.LimitWindow.micros() {
			r.windowStart, r.windowCalls = m.now-(m.now-r.windowStart)%r.kind.LimitWindow.micros(), 0
		}
		if r.windowCalls+1 <= max(rate*r.kind.LimitWindow.micros().Seconds(), 1) {
			r.windowCalls++
			return true
		}
		if r.kind.CountsRejected {
			r.windowStart = m.now // a span starts again with each call that is too many
		}
		return false
	}
	return true
}

// serviceTime is how long a call of so many webhooks keeps a server.
func (m *Simulation) serviceTime(s *server, kind *DestinationKind, webhooks int) api.Micros {
	t := float64(kind.ServiceTime) * (1 + kind.BatchItemCost*float64(webhooks-1))
	if kind.ServiceTimeCV > 0 { // log-normal with the mean and the spread given
		v := math.Log(1 + kind.ServiceTimeCV*kind.ServiceTimeCV)
		t *= math.Exp(math.Sqrt(v)*m.random.NormFloat64() - v/2)
	}
	for _, by := range s.slowFactors {
		t *= by
	}
	return max(api.Micros(t), 1)
}
