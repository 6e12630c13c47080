package invariant

import (
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// retryAfter checks the invariant "wait": a dispatcher starts no attempt on a route before the Retry-After time that it
// was given. It may start one in the very microsecond in which that ends.
type retryAfter struct {
	violationReporter
	until map[routeKey]api.Micros
}

func newRetryAfter(reporter violationReporter) *retryAfter {
	return &retryAfter{
		violationReporter: reporter,
		until:             map[routeKey]api.Micros{},
	}
}

// Kinds returns the kinds of events that the checker needs.
func (o *retryAfter) Kinds() []event.Kind {
	return []event.Kind{event.AttemptEnded, event.AttemptStarted, event.Killed}
}

// Observe checks one event.
func (o *retryAfter) Observe(e *event.Event) {
	key := routeKeyOf(e)
	switch e.Kind {
	case event.AttemptEnded:
		if e.RetryAfter > 0 {
			o.until[key] = max(o.until[key], e.At+e.RetryAfter)
		}
	case event.AttemptStarted:
		if until := o.until[key]; e.At < until {
			o.report(e, "attempted %.6f s before the Retry-After time was over", (until - e.At).Seconds())
		}
	case event.Killed: // not persisted
		for k := range o.until {
			if k.dispatcher == e.Dispatcher {
				delete(o.until, k)
			}
		}
	}
}

func (o *retryAfter) finish(api.Micros) {}
