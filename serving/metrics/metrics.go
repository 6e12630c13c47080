// Package metrics publishes the figures of one process in the text format of Prometheus. Counters are kept by a library;
// gauges are read when somebody asks, so that they cost nothing meanwhile.
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

// Path is the resource under which a process publishes its figures.
const Path = "/metrics"

// contentType is that of the text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// Writer writes figures that are read at that moment.
type Writer func(io.Writer)

// Handler answers GET requests with the counts of the log events of this process, whether or not their level was
// logged, and with what the writers write.
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

// writeEvents writes a counter for each kind of event that has occurred.
func writeEvents(w io.Writer) {
	for _, code := range slices.Sorted(maps.Keys(event.All())) {
		if count := event.Count(code); count > 0 {
			vm.WriteCounterUint64(w, fmt.Sprintf(`rowan_events_total{event="%d"}`, code), count)
		}
	}
}

// WriteGauge writes one gauge.
func WriteGauge(w io.Writer, name string, value uint64) { vm.WriteGaugeUint64(w, name, value) }
