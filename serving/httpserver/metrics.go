package httpserver

import (
	"fmt"
	"io"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"rowanlink/serving/attempt"
)

// statusClasses is the number of classes of HTTP statuses: 1xx to 5xx, and class 0 for invalid statuses.
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

// newServerMetrics returns metrics with all counters at zero. inFlight is called whenever the metrics are read.
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

// countResponse counts a response whose headers are about to be sent. For a 2xx response it also records the time since
// the request arrived.
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

// write writes the metrics in the Prometheus text format.
func (m *serverMetrics) write(w io.Writer) { m.set.WritePrometheus(w) }
