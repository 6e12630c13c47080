package custody

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Metrics count the webhooks transferred between members since the process started.
type Metrics struct {
	Forwarded atomic.Int64 // from a client, accepted by the owner of the range
	InDoubt   atomic.Int64 // from a client, kept here since the owner did not respond
	HandedOff atomic.Int64 // pending here, accepted by another member
	Received  atomic.Int64 // accepted here from another member
}

// Write writes the counters, one a line, in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	for _, row := range []struct {
		name  string
		value int64
	}{
		{"member_forwarded_total", m.Forwarded.Load()},
		{"member_doubts_total", m.InDoubt.Load()},
		{"member_handed_on_total", m.HandedOff.Load()},
		{"member_taken_over_total", m.Received.Load()},
	} {
		_, _ = fmt.Fprintf(w, "rowanlink_%s %d\n", row.name, row.value) // the scrape has ended then
	}
}
