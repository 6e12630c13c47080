package inflight

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"

	"rowanlink/webhook/api"
)

// Counters count what is received, sent and answered since the start. Metrics keep the names that they were first
// published with, even where the fields have others.
type Counters struct {
	Accepted, Rejected, Malformed, Recovered     atomic.Int64    // webhooks, by the answer to their client; recovered ones
	Calls, Bundled, Connections                  atomic.Int64    // calls; webhooks that shared one; connections opened
	Outcomes                                     [9]atomic.Int64 // attempts, by api.Outcome
	DeadLettered, RejectedByCallback, Discarded  atomic.Int64    // dead-lettered; rejected by callback; discarded by an endpoint
	CallbacksAcknowledged, CallbackBatchesFailed atomic.Int64    // callbacks acknowledged; batches not acknowledged
	Lists, ListsMalformed, Turns, LogErrors      atomic.Int64
}

// outcomeNames are the names of outcomes in metrics and logs, by api.Outcome.
var outcomeNames = [...]string{
	"delivered", "errored", "full", "timed_out", "connect_failed", "reset", "cancelled", "not_sent", "crowded",
}

// OutcomeName is an outcome's name in metrics and logs.
func OutcomeName(o api.Outcome) string { return outcomeNames[o] }

// each calls f for every counter with its name.
func (c *Counters) each(f func(name string, n int64)) {
	for _, counter := range []struct {
		name  string
		value *atomic.Int64
	}{
		{"webhooks_accepted", &c.Accepted},
		{"webhooks_rejected", &c.Rejected},
		{"webhooks_malformed", &c.Malformed},
		{"webhooks_resumed", &c.Recovered},
		{"calls", &c.Calls},
		{"webhooks_bundled", &c.Bundled},
		{"connections", &c.Connections},
		{"webhooks_dead_lettered", &c.DeadLettered},
		{"webhooks_handed_back", &c.RejectedByCallback},
		{"webhooks_over", &c.Discarded},
		{"notices_heard", &c.CallbacksAcknowledged},
		{"notices_unheard", &c.CallbackBatchesFailed},
		{"lists", &c.Lists},
		{"lists_broken", &c.ListsMalformed},
		{"turns", &c.Turns},
		{"journal_errors", &c.LogErrors},
	} {
		f(counter.name, counter.value.Load())
	}
	for i := range c.Outcomes {
		f("attempts_"+outcomeNames[i], c.Outcomes[i].Load())
	}
}

// WriteMetrics writes the counters, one per line, in the text form that monitoring systems read.
func (c *Counters) WriteMetrics(to io.Writer) {
	c.each(func(name string, n int64) {
		_, _ = fmt.Fprintf(to, "rowanlink_%s_total %d\n", name, n) // the reader may have left
	})
}

// Log writes the counters as one log line.
func (c *Counters) Log() {
	var attributes []any
	c.each(func(name string, n int64) { attributes = append(attributes, name, n) })
	slog.Info("counters", attributes...)
}
