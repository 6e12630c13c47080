// Package metrics serves the metrics of a process in the text format of Prometheus. Package event keeps the counters.
// Gauges are computed when they are requested, so that they cost nothing in between.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	vm "github.com/VictoriaMetrics/metrics"

	"rowanlink/serving/event"
)

// Path is the path of the HTTP resource that serves a process's metrics.
const Path = "/metrics"

// contentType is the media type of Prometheus's text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// Writer writes metrics with their values at the time of the call.
type Writer func(io.Writer)

// Handler responds to GET requests with the output of the writers and with the counts of this process's log events. The
// counts include events below the minimum level of the log.
func Handler(writers ...Writer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		w.Header().Set("Content-Type", contentType)
		for _, write := range writers {
			write(w)
		}
		writeEvents(w)
	})
}

// writeEvents writes a counter for each kind of log event that has occurred.
func writeEvents(w io.Writer) {
	for _, code := range slices.Sorted(maps.Keys(event.All())) {
		if count := event.Count(code); count > 0 {
			vm.WriteCounterUint64(w, fmt.Sprintf(`rowan_events_total{event="%d"}`, code), count)
		}
	}
}

// WriteGauge writes one gauge.
func WriteGauge(w io.Writer, name string, value uint64) { vm.WriteGaugeUint64(w, name, value) }
