package engine

import (
	"math"
	"slices"

	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// loads sums what came within a span of time.
type loads struct {
	at  []api.Micros
	of  []float64
	sum float64
}

func (l *loads) add(at, span api.Micros, of float64) float64 {
	l.at, l.of, l.sum = append(l.at, at), append(l.of, of), l.sum+of
	n := 0
	for n < len(l.at) && l.at[n] <= at-span {
		l.sum -= l.of[n]
		n++
	}
	l.at, l.of = slices.Delete(l.at, 0, n), slices.Delete(l.of, 0, n)
	return l.sum
}

// capacity is the share of what a route takes when warm that it takes now.
func (m *Model) capacity(r *route) float64 {
	if r.backAt == never {
		return 1
	}
	r0 := m.plan.Rules.StartCapacity
	part := float64(m.now-r.backAt) / float64(max(m.plan.Rules.WarmAfter, 1))
	if part >= 1 {
		r.backAt, r.load = never, loads{}
		return 1
	}
	return r0 + (1-r0)*part
}

// slack is what chance may add to a cold route's budget before it falls.
func slack(budget float64) float64 { return 2 + math.Sqrt(budget) }

// weigh counts a call that reached a cold route, and pushes it over where that was too much.
func (m *Model) weigh(ri int32, weight float64) {
	r, rules := &m.routes[ri], &m.plan.Rules
	if r.out || r.backAt == never {
		return
	}
	budget := rules.FallMultiple * m.capacity(r) * r.perS * rules.TipAfter.us().Seconds()
	if r.backAt == never {
		return
	}
	if r.load.add(m.now, rules.TipAfter.us(), weight) > budget+slack(budget) {
		m.Bus.Emit(eventpkg.Event{At: m.now, Kind: eventpkg.Collapsed, Route: eventpkg.Route(ri), Destination: r.dest})
		for _, e := range r.endpoints {
			m.strike(e, func(s *server) { s.down++ })
		}
	}
}

// admits tells whether the route's limit has room for a call.
func (m *Model) admits(r *route) bool {
	perS := r.perS * m.capacity(r)
	for _, left := range r.lowered {
		perS *= left
	}
	switch r.kind.Limit {
	case "rate":
		r.tokens = min(r.tokens+perS*(m.now-r.tokensAt).Seconds(), max(perS/2, 1))
		r.tokensAt = m.now
		if r.tokens >= 1 {
			r.tokens--
			return true
		}
		if r.kind.CountsRefused {
			r.tokens = max(r.tokens-1, -perS)
		}
		return false
	case "window":
		if m.now-r.begun >= r.kind.Window.us() {
			r.begun, r.used = m.now-(m.now-r.begun)%r.kind.Window.us(), 0
		}
		if r.used+1 <= max(perS*r.kind.Window.us().Seconds(), 1) {
			r.used++
			return true
		}
		if r.kind.CountsRefused {
			r.begun = m.now // a span starts again with each call that is too many
		}
		return false
	}
	return true
}

// served is how long a call of so many webhooks keeps a server.
func (m *Model) served(s *server, k *Kind, webhooks int) api.Micros {
	t := float64(k.Answer) * (1 + k.ItemCost*float64(webhooks-1))
	if k.Spread > 0 { // log-normal with the mean and the spread given
		v := math.Log(1 + k.Spread*k.Spread)
		t *= math.Exp(math.Sqrt(v)*m.chance.NormFloat64() - v/2)
	}
	for _, by := range s.slow {
		t *= by
	}
	return max(api.Micros(t), 1)
}
