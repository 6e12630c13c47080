package stream

import (
	"slices"

	"pgregory.net/rapid"

	"rowanlink/webhook/api"
)

// recordAttempt records an attempt that ran, from the relay or from the origin. It fails the test if the event type's
// semantics do not allow the attempt.
func (m *model) recordAttempt(d Delivery, i *Item) {
	attempts := append(m.attempts[d], m.now)
	m.attempts[d] = attempts
	switch t := eventTypes[i.EventType]; {
	case t.Semantics == api.AtMostOnce && len(attempts) > 1:
		m.Fatalf("%v is at most once and ran twice", d)
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

// runRelay attempts or ends a random delivery at the relay, if it is the first of its ordering key there.
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
	switch late := m.now+relayClockLead >= h.Deadline; {
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

// runBypassing has the origin attempt or dead-letter one of the deliveries that bypass the relay.
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
		case m.now >= o.Deadline || o.isTokenForgotten(m.now):
			o.deadLetteredInDoubt = true
			m.recordOutcome(o.delivery(), DeadLettered)
		default:
			m.recordAttempt(o.delivery(), &o.Item)
			m.recordOutcome(o.delivery(), Delivered)
		}
		return
	}
}

// isTokenForgotten reports whether endpoints may have forgotten the token of the first attempt.
func (o *ownedDelivery) isTokenForgotten(now api.Micros) bool {
	wasAttempted := o.TokenWindow > 0 && o.FirstAttemptAt != api.Never
	return wasAttempted && now >= o.FirstAttemptAt+o.TokenWindow
}

// advanceTime advances the clock by a random time and rejects the queued deliveries that have expired.
func (m *model) advanceTime() {
	m.now += api.Micros(rapid.IntRange(1, 4000).Draw(m.T, "ms")) * 1000
	for _, d := range m.sender.DropExpired(m.now) {
		m.recordOutcome(d, Rejected)
	}
	if m.sender.unreachable {
		m.handleUnreachable()
	}
}

// startSender starts the origin's sender, or restarts it with a new epoch, from the origin's journal.
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

// startRelay starts or restarts the relay from its journal. lost says that its folder was lost, and is replaced by an
// empty one.
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

// deliverOne delivers one of the first four messages in flight, which may stay in flight and be delivered again.
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

// runRound sends a frame, runs a delivery and reports results. After each step it delivers the newest message of each
// direction, perhaps as a duplicate.
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
	foldersToLose := rapid.IntRange(0, 3).Draw(t, "folders lost at most")
	loseFolder := func() {
		if foldersToLose--; foldersToLose >= 0 {
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
		loseFolder,
		m.advanceTime,
		m.advanceTime,
		func() { m.loseMessage(&m.toRelay) },
		func() { m.loseMessage(&m.toOrigin) },
		func() { m.now += dedupWindow },
	}
	stepsPerFault := rapid.SampledFrom([]int{2, 5, 15}).Draw(t, "steps per fault")
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		steps := work
		if rapid.IntRange(1, stepsPerFault).Draw(t, "fault") == 1 {
			steps = faults
		}
		steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
	}
	m.drain()
	for _, o := range m.deliveries {
		if m.outcomes[o.delivery()] == 0 {
			t.Fatalf("%v has no result: %+v", o.delivery(), o)
		}
		if m.outcomes[o.delivery()] == Rejected && len(m.attempts[o.delivery()]) > 0 {
			t.Fatalf("%v was reported as rejected, but ran", o.delivery())
		}
		if m.outcomes[o.delivery()] == Delivered && len(m.attempts[o.delivery()]) == 0 {
			t.Fatalf("%v was reported as delivered, but never ran", o.delivery())
		}
	}
	for k, ran := range m.trace {
		// The first attempts of the deliveries must be in order, and so must the last ones. A delivery that was
		// dead-lettered in doubt is exempt from the second rule, as the relay may still have run it afterwards.
		notInDoubt := slices.DeleteFunc(slices.Clone(ran), func(n int) bool { return m.deliveries[n].deadLetteredInDoubt })
		if !slices.IsSorted(firstOccurrences(ran)) || !slices.IsSorted(reversed(firstOccurrences(reversed(notInDoubt)))) {
			t.Fatalf("%v ran out of order: %v", k, ran)
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

// firstOccurrences returns the numbers without repetitions, in the order of their first occurrence.
func firstOccurrences(of []int) (all []int) {
	for _, n := range of {
		if !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}
