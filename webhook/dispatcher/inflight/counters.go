package inflight

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"

	"rowanlink/webhook/api"
)

// Counters count what is taken in, sent and answered since the start.
type Counters struct {
	Accepted, Rejected, Malformed, Resumed   atomic.Int64 // webhooks, by the answer to their client
	Calls, Bundled, Connections              atomic.Int64 // out; webhooks that shared one; opened
	Outcomes                                 [9]atomic.Int64
	GivenUp, HandedBack, Over, Told, Untold  atomic.Int64 // ends by notice; notices heard, and tries not heard
	Lists, ListsBroken, Turns, JournalErrors atomic.Int64
}

// OutcomeName is an outcome as counters and logs name it.
func OutcomeName(o api.Outcome) string { return outcomeNames[o] }

var outcomeNames = [...]string{"delivered", "errored", "full", "timed_out", "connect_failed", "reset",
	"cancelled", "not_sent", "crowded"}

// each calls back for every counter with its name.
func (c *Counters) each(f func(name string, n int64)) {
	for _, row := range []struct {
		name string
		n    *atomic.Int64
	}{
		{"webhooks_accepted", &c.Accepted}, {"webhooks_rejected", &c.Rejected},
		{"webhooks_malformed", &c.Malformed}, {"webhooks_resumed", &c.Resumed},
		{"calls", &c.Calls}, {"webhooks_bundled", &c.Bundled}, {"connections", &c.Connections},
		{"webhooks_dead_lettered", &c.GivenUp}, {"webhooks_handed_back", &c.HandedBack},
		{"webhooks_over", &c.Over}, {"notices_heard", &c.Told}, {"notices_unheard", &c.Untold},
		{"lists", &c.Lists}, {"lists_broken", &c.ListsBroken}, {"turns", &c.Turns},
		{"journal_errors", &c.JournalErrors},
	} {
		f(row.name, row.n.Load())
	}
	for i := range c.Outcomes {
		f("attempts_"+outcomeNames[i], c.Outcomes[i].Load())
	}
}

// WriteMetrics writes the counters, one a line, in the text form that monitoring systems read.
func (c *Counters) WriteMetrics(to io.Writer) {
	c.each(func(name string, n int64) { fmt.Fprintf(to, "rowanlink_%s_total %d\n", name, n) })
}

// Log writes them as one log line.
func (c *Counters) Log() {
	var all []any
	c.each(func(name string, n int64) { all = append(all, name, n) })
	slog.Info("counters", all...)
}
