package custody

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Metrics counts the webhooks transferred between members since the process started.
type Metrics struct {
	Forwarded atomic.Int64 // submitted here by a client and accepted by the owner of the range
	InDoubt   atomic.Int64 // submitted here by a client and kept here in doubt, since the owner did not respond
	HandedOff atomic.Int64 // pending here and then accepted by another member
	Received  atomic.Int64 // accepted here from another member
}

// Write writes the counters in the Prometheus text format, one per line.
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
		_, _ = fmt.Fprintf(w, "rowanlink_%s %d\n", row.name, row.value) // fails only if the scraper has disconnected
	}
}
