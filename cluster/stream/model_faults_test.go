package stream

import (
	"slices"

	"pgregory.net/rapid"

	"rowanlink/webhook/api"
)

// recordAttempt records an attempt that takes effect, at the relay or bypassing it.
func (m *model) recordAttempt(d Delivery, i *Item) {
	attempts := append(m.attempts[d], m.now)
	m.attempts[d] = attempts
	switch t := eventTypes[i.EventType]; {
	case t.Semantics == api.AtMostOnce && len(attempts) > 1:
		m.Fatalf("%v took effect twice", d)
	case t.Semantics == api.Deduplicated && m.now >= attempts[0]+t.DedupWindow:
		m.Fatalf("%v ran again after its token was forgotten", d)
	}
	if i.Key != 0 {
		k := orderingScope{destination: d.Destination, key: i.Key}
		m.trace[k] = append(m.trace[k], m.number(d))
	}
}

func (m *model) number(d Delivery) int {
	return slices.IndexFunc(m.deliveries, func(o *ownedDelivery) bool { return o.delivery() == d })
}

// runRelay attempts or ends a random delivery of the relay that is the first of its key.
func (m *model) runRelay() {
	if len(m.relayDeliveries) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.relayDeliveries)-1).Draw(m.T, "held")
	h := m.relayDeliveries[n]
	first := slices.IndexFunc(m.relayDeliveries, func(o *relayDelivery) bool {
		return o.Destinations[0] == h.Destinations[0] && o.Key == h.Key && (h.Key != 0 || o == h)
	})
	if first != n {
		return
	}
	outcome := Delivered
	wouldRepeat := h.called && eventTypes[h.EventType].Semantics == api.AtMostOnce
	switch late := m.now+relayClockLead >= h.TTL; {
	case late && !h.called:
		outcome = Rejected
	case late || wouldRepeat:
		outcome = DeadLettered
	default:
		h.called = true
		m.recordAttempt(h.delivery(), &h.Item)
		if rapid.Bool().Draw(m.T, "answer lost") {
			return
		}
	}
	e := Result{Delivery: h.delivery(), Outcome: outcome, MayHaveRun: h.called}
	m.relayDeliveries = slices.Delete(m.relayDeliveries, n, n+1)
	m.unacknowledged = append(m.unacknowledged, e)
	m.receiver.RecordResult(e)
}

// runBypassing has the origin end a delivery that bypasses the relay.
func (m *model) runBypassing() {
	for _, o := range m.deliveries {
		if m.open[o.delivery()] != o || !o.bypassing || rapid.Bool().Draw(m.T, "another") {
			continue
		}
		earlier := func(p *ownedDelivery) bool {
			isSameScope := p.Destinations[0] == o.Destinations[0] && p.Key == o.Key
			return m.open[p.delivery()] == p && p.bypassing && p.number < o.number && isSameScope
		}
		switch {
		case o.Key != 0 && slices.ContainsFunc(m.deliveries, earlier):
			continue
		case m.now >= o.TTL || o.isTokenForgotten(m.now):
			o.deadLetteredInDoubt = true
			m.recordOutcome(o.delivery(), DeadLettered)
		default:
			m.recordAttempt(o.delivery(), &o.Item)
			m.recordOutcome(o.delivery(), Delivered)
		}
		return
	}
}

// isTokenForgotten reports whether endpoints may have forgotten the token of an earlier attempt.
func (o *ownedDelivery) isTokenForgotten(now api.Micros) bool {
	wasAttempted := o.TokenWindow > 0 && o.FirstAttemptAt != api.Never
	return wasAttempted && now >= o.FirstAttemptAt+o.TokenWindow
}

// advanceTime lets some time pass; queued deliveries that have expired are rejected.
func (m *model) advanceTime() {
	m.now += api.Micros(rapid.IntRange(1, 4000).Draw(m.T, "ms")) * 1000
	for _, d := range m.sender.DropExpired(m.now) {
		m.recordOutcome(d, Rejected)
	}
	if m.sender.unreachable {
		m.handleUnreachable()
	}
}

// startSender restarts the origin's process from what it has on disk.
func (m *model) startSender() {
	m.epoch++
	m.sender = NewSender(m.epoch, 0)
	for _, o := range m.deliveries {
		switch {
		case m.open[o.delivery()] != o:
		case o.bypassing:
			m.sender.RestoreBypassing(o.Item)
		case o.relayIncarnation != 0:
			m.sender.RestoreSent(o.Item, o.relayIncarnation, o.sentAt)
		default:
			m.sender.Add(o.Item, api.Second, m.now)
		}
	}
	m.takeBypassing()
}

func (m *model) startRelay(lost bool) {
	if lost {
		m.relayIncarnation++
		m.checkpoint = Checkpoint{Incarnation: m.relayIncarnation}
		m.relayDeliveries = nil
		m.unacknowledged = nil
	}
	var pending []Delivery
	for _, h := range m.relayDeliveries {
		pending = append(pending, h.delivery())
	}
	m.receiver = NewReceiver(m.checkpoint, pending, m.unacknowledged)
}

// deliverOne delivers one message, which may be delivered again later.
func (m *model) deliverOne(from *[]func()) {
	if len(*from) == 0 {
		return
	}
	n := rapid.IntRange(0, min(len(*from)-1, 3)).Draw(m.T, "which")
	deliver := (*from)[n]
	if !rapid.Bool().Draw(m.T, "doubled") || len(*from) > 20 {
		*from = slices.Delete(*from, n, n+1)
	}
	deliver()
}

func (m *model) deliverBothWays() {
	m.deliverOne(&m.toRelay)
	m.deliverOne(&m.toOrigin)
}

// runRound is a round without faults: deliveries are sent, run, reported and acknowledged, the last message first.
func (m *model) runRound() {
	for _, step := range []func(){m.sendFrame, m.runRelay, m.sendResults} {
		step()
		for _, from := range []*[]func(){&m.toRelay, &m.toOrigin, &m.toRelay} {
			if n := len(*from); n > 0 {
				(*from)[n-1]()
				if rapid.IntRange(0, 3).Draw(m.T, "once more") > 0 {
					*from = (*from)[:n-1]
				}
			}
		}
	}
}

func (m *model) loseMessage(from *[]func()) {
	if len(*from) > 0 {
		n := rapid.IntRange(0, len(*from)-1).Draw(m.T, "lost")
		*from = slices.Delete(*from, n, n+1)
	}
}

func checkModel(t *rapid.T) {
	m := &model{
		T:                t,
		open:             map[Delivery]*ownedDelivery{},
		outcomes:         map[Delivery]Outcome{},
		relayIncarnation: 1,
		checkpoint:       Checkpoint{Incarnation: 1},
		attempts:         map[Delivery][]api.Micros{},
		trace:            map[orderingScope][]int{},
	}
	m.startRelay(false)
	m.startSender()
	folders := rapid.IntRange(0, 3).Draw(t, "folders lost at the most")
	lose := func() {
		if folders--; folders >= 0 {
			m.startRelay(true)
		}
	}
	work := []func(){
		m.addItem, m.addItem, m.sendFrame, m.deliverBothWays, m.deliverBothWays, m.runRelay, m.runRelay,
		m.sendResults, m.runBypassing, m.runRound, m.runRound, m.sendOpenRequest,
	}
	faults := []func(){
		func() { m.sender.Retransmit() },
		m.handleUnreachable,
		m.startSender,
		func() { m.startRelay(false) },
		func() { m.failNextWrite = true },
		lose,
		m.advanceTime,
		m.advanceTime,
		func() { m.loseMessage(&m.toRelay) },
		func() { m.loseMessage(&m.toOrigin) },
		func() { m.now += dedupWindow },
	}
	often := rapid.SampledFrom([]int{2, 5, 15}).Draw(t, "a fault in so many steps")
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		of := work
		if rapid.IntRange(1, often).Draw(t, "fault") == 1 {
			of = faults
		}
		of[rapid.IntRange(0, len(of)-1).Draw(t, "step")]()
	}
	m.drain()
	for _, o := range m.deliveries {
		if m.outcomes[o.delivery()] == 0 {
			t.Fatalf("%v never ended: %+v", o.delivery(), o)
		}
		if m.outcomes[o.delivery()] == Rejected && len(m.attempts[o.delivery()]) > 0 {
			t.Fatalf("%v was rejected and had run", o.delivery())
		}
		if m.outcomes[o.delivery()] == Delivered && len(m.attempts[o.delivery()]) == 0 {
			t.Fatalf("%v was reported as delivered and never ran", o.delivery())
		}
	}
	for k, ran := range m.trace {
		sure := slices.DeleteFunc(slices.Clone(ran), func(n int) bool { return m.deliveries[n].deadLetteredInDoubt })
		if !slices.IsSorted(firstOccurrences(ran)) || !slices.IsSorted(reversed(firstOccurrences(reversed(sure)))) {
			t.Fatalf("%v ran in the order %v", k, ran)
		}
	}
}

// drain continues without faults until all deliveries have a result.
func (m *model) drain() {
	m.failNextWrite = false
	for n := 0; n < 400 && (len(m.open) > 0 || n < 4); n++ {
		m.sender.Retransmit()
		for _, step := range []func(){
			m.sendOpenRequest, m.sendFrame, m.sendFrame, m.sendFrame, m.sendResults, m.runBypassing, m.advanceTime,
		} {
			step()
			for _, from := range []*[]func(){&m.toRelay, &m.toOrigin} {
				for len(*from) > 0 {
					deliver := (*from)[0]
					*from = (*from)[1:]
					deliver()
				}
			}
		}
		for range 2 * len(m.relayDeliveries) {
			m.runRelay()
		}
	}
}

func reversed(of []int) []int {
	of = slices.Clone(of)
	slices.Reverse(of)
	return of
}

// firstOccurrences keeps the first occurrence of each number.
func firstOccurrences(of []int) (all []int) {
	for _, n := range of {
		if !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}
