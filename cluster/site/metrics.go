package site

import (
	"fmt"
	"io"
	"sync/atomic"
)

// WriteMetrics writes the counters in the Prometheus text format.
func (s *Sites) WriteMetrics(to io.Writer) {
	for _, metric := range []struct {
		name    string
		counter *atomic.Int64
	}{
		{"announcements_total", &s.Announcements},
		{"site_sent_total", &s.Sent},
		{"site_never_taken_total", &s.Requeued},
		{"site_beside_total", &s.Bypassed},
		{"site_unsure_total", &s.InDoubt},
		{"site_ends_total", &s.Results},
	} {
		_, _ = fmt.Fprintf(to, "rowanlink_%s %d\n", metric.name, metric.counter.Load())
	}
}
