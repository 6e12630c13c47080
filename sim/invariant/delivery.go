package invariant

import (
	"maps"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// delivery checks the invariant "lost": every accepted webhook is finished once, in time, and no attempt follows.
type delivery struct {
	violationReporter
	thresholds       Thresholds
	owned            map[webhookKey]*obligation
	finished         map[webhookKey]bool
	finishedOrder    []webhookKey
	unavailableUntil map[int32]api.Micros // by dispatcher: before, its webhooks aren't late
	handoffs         handoffs
}

// obligation is a webhook that a dispatcher has yet to finish.
type obligation struct {
	deadline api.Micros
	accepted event.Event
}

func newDelivery(reporter violationReporter, thresholds Thresholds) *delivery {
	return &delivery{
		violationReporter: reporter,
		thresholds:        thresholds,
		owned:             map[webhookKey]*obligation{},
		finished:          map[webhookKey]bool{},
	}
}

// Kinds returns the kinds of events that the checker needs.
func (o *delivery) Kinds() []event.Kind {
	return []event.Kind{
		event.Accepted,
		event.Recovered,
		event.Finished,
		event.AttemptStarted,
		event.Killed,
		event.Paused,
		event.HandoffAccepted,
		event.HandoffAcknowledged,
	}
}

// Observe checks one event.
func (o *delivery) Observe(e *event.Event) {
	key := webhookKeyOf(e)
	switch e.Kind {
	case event.Accepted, event.Recovered:
		o.owned[key] = &obligation{max(e.Deadline, e.At) + o.thresholds.AnswerGrace, *e}
		delete(o.handoffs.receivers, key)
	case event.HandoffAccepted:
		o.handoffs.initialize()
	case event.HandoffAcknowledged: // the sender may have had a copy
		delete(o.owned, key)
		if !o.handoffs.recordHandoff(o, key, e.Peer) {
			o.report(e, "handed off to dispatcher %d, which does not have it", e.Peer)
		}
	case event.Killed:
		o.recordUnavailable(e.Dispatcher, e.Until)
		if e.Final == event.StateLost { // the dispatcher can't know what it had finished
			isOfDispatcher := func(k webhookKey, _ bool) bool { return k.dispatcher == e.Dispatcher }
			maps.DeleteFunc(o.finished, isOfDispatcher)
		}
	case event.Paused:
		o.recordUnavailable(e.Dispatcher, e.At+e.Duration)
	case event.AttemptStarted:
		o.checkAttempt(e, key)
	case event.Finished:
		o.checkFinished(e, key)
	}
}

func (o *delivery) recordUnavailable(dispatcher int32, until api.Micros) {
	if o.unavailableUntil == nil {
		o.unavailableUntil = map[int32]api.Micros{}
	}
	o.unavailableUntil[dispatcher] = max(o.unavailableUntil[dispatcher], until+o.thresholds.AnswerGrace)
}

func (o *delivery) checkAttempt(e *event.Event, key webhookKey) {
	if o.finished[key] {
		o.report(e, "attempted after it was finished")
	} else if o.owned[key] == nil {
		o.report(e, "attempted by a dispatcher that did not accept it")
	}
}

func (o *delivery) checkFinished(e *event.Event, key webhookKey) {
	owned := o.owned[key]
	stateLost := e.Final == event.StateLost
	if owned == nil {
		if !stateLost { // one that was lost before it was accepted is no obligation
			o.report(e, "finished (%s) though it is not owned", e.Final)
		}
		return
	}
	if !stateLost && e.At > max(owned.deadline, o.unavailableUntil[e.Dispatcher]) {
		o.report(e, "finished %.3f s late", (e.At - owned.deadline).Seconds())
	}
	o.handoffs.recordFinished(key)
	delete(o.owned, key)
	if stateLost {
		return
	}
	o.finished[key] = true
	o.finishedOrder = append(o.finishedOrder, key)
	if len(o.finishedOrder) > maxFinished {
		delete(o.finished, o.finishedOrder[0])
		o.finishedOrder = o.finishedOrder[1:]
	}
}

func (o *delivery) finish(at api.Micros) {
	var unfinished []*obligation
	for _, owned := range o.owned {
		if at > max(owned.deadline, o.unavailableUntil[owned.accepted.Dispatcher]) {
			unfinished = append(unfinished, owned)
		}
	}
	byWebhook := func(a, b *obligation) int { return int(a.accepted.Webhook) - int(b.accepted.Webhook) }
	slices.SortFunc(unfinished, byWebhook)
	for _, owned := range unfinished {
		owned.accepted.At = at
		o.report(&owned.accepted, "never finished")
	}
}
