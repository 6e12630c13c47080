package invariant

import (
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// draining checks the invariant "drain": no attempt starts at an endpoint later than the grace after its dispatcher was
// notified that it drains.
type draining struct {
	violationReporter
	thresholds Thresholds
	notifiedAt map[endpointKey]api.Micros
}

type endpointKey struct {
	dispatcher int32
	endpoint   api.EndpointID
}

func newDraining(reporter violationReporter, thresholds Thresholds) *draining {
	return &draining{
		violationReporter: reporter,
		thresholds:        thresholds,
		notifiedAt:        map[endpointKey]api.Micros{},
	}
}

// Kinds returns the kinds of events that the checker needs.
func (o *draining) Kinds() []event.Kind {
	return []event.Kind{event.EndpointUpdated, event.AttemptStarted}
}

// Observe checks one event.
func (o *draining) Observe(e *event.Event) {
	key := endpointKey{e.Dispatcher, e.Endpoint}
	notifiedAt, drains := o.notifiedAt[key]
	switch {
	case e.Kind == event.EndpointUpdated && e.Status == api.EndpointActive:
		delete(o.notifiedAt, key)
	case e.Kind == event.EndpointUpdated && !drains:
		o.notifiedAt[key] = e.At
	case e.Kind == event.AttemptStarted && drains && e.At > notifiedAt+o.thresholds.DrainGrace:
		o.report(e, "attempted at endpoint %d, %.3f s after the notification that it drains", e.Endpoint,
			(e.At - notifiedAt).Seconds())
	}
}

func (o *draining) finish(api.Micros) {}
