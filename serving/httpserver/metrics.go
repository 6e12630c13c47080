package httpserver

import (
	"fmt"
	"io"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"rowanlink/serving/attempt"
)

// statusClasses is the number of classes of HTTP statuses, 1xx to 5xx, and one for what is none.
const statusClasses = 6

// serverMetrics counts a proxy's requests and attempts. Its methods may be called concurrently.
type serverMetrics struct {
	set       *vm.Set
	responses [statusClasses]*vm.Counter // by the first digit of the status
	attempts  [attempt.OutcomeCount]*vm.Counter
	retries   *vm.Counter
	aborted   *vm.Counter
	latency   *vm.Histogram
}

// newServerMetrics returns counters at zero. inFlight is read when somebody asks.
func newServerMetrics(inFlight func() int) *serverMetrics {
	set := vm.NewSet()
	m := &serverMetrics{
		set:     set,
		retries: set.NewCounter("rowan_proxy_retries_total"),
		aborted: set.NewCounter("rowan_proxy_aborted_connections_total"),
		latency: set.NewHistogram("rowan_proxy_response_start_seconds"),
	}
	for class := range m.responses {
		m.responses[class] = set.NewCounter(fmt.Sprintf(`rowan_proxy_responses_total{status="%dxx"}`, class))
	}
	for outcome := range m.attempts {
		name := attempt.Outcome(outcome).String()
		m.attempts[outcome] = set.NewCounter(fmt.Sprintf("rowan_proxy_attempts_total{outcome=%q}", name))
	}
	set.NewGauge("rowan_proxy_requests_in_flight", func() float64 { return float64(inFlight()) })
	return m
}

// countResponse counts a response whose header is about to be sent, and the time since the request arrived if it is a
// success.
func (m *serverMetrics) countResponse(status int, arrivedAt time.Time) {
	class := status / 100
	if class >= statusClasses {
		class = 0
	}
	m.responses[class].Inc()
	if class == 2 {
		m.latency.UpdateDuration(arrivedAt)
	}
}

// write writes the figures as text.
func (m *serverMetrics) write(w io.Writer) { m.set.WritePrometheus(w) }
