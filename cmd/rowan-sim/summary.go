package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"rowanlink/sim/experiment"
	"rowanlink/sim/invariant"
)

// maxViolations is how many violations a summary lists.
const maxViolations = 5

// writeSummary writes the summary of a run for people.
func writeSummary(to io.Writer, r *experiment.Result) error {
	var b strings.Builder
	writeOutcomes(&b, r)
	fmt.Fprintf(&b, "  latency        p50 %.3f s, p90 %.3f s, p99 %.3f s, longest %.3f s\n", r.P50, r.P90, r.P99, r.Max)
	fmt.Fprintf(&b, "  calls          %d with %d attempts, %d refused, %d connections\n", r.Calls, r.Attempts,
		r.CallsRefused, r.Connects)
	if r.BufferFull+r.Collapsed > 0 {
		fmt.Fprintf(&b, "  rejected at full buffers %d, destinations collapsed %d\n", r.BufferFull, r.Collapsed)
	}
	for _, claim := range r.Claims {
		fmt.Fprintf(&b, "  claim %-9s %s: %s\n", claim.Name, verdict(claim), claim.Text)
	}
	writeCost(&b, r)
	for _, name := range slices.Sorted(maps.Keys(r.Violations)) {
		fmt.Fprintf(&b, "  INVARIANT %s violated %d times\n", name, r.Violations[name])
	}
	for _, violation := range r.FirstViolations[:min(len(r.FirstViolations), maxViolations)] {
		fmt.Fprintln(&b, "  "+violation.String())
	}
	_, err := io.WriteString(to, b.String())
	return err
}

func writeOutcomes(b *strings.Builder, r *experiment.Result) {
	share := func(n int) string {
		return fmt.Sprintf("%d (%.1f%%)", n, 100*float64(n)/float64(max(r.Offered, 1)))
	}
	fmt.Fprintf(b, "%s, %s, seed %d: value %.4f\n", r.Scenario, r.Policy, r.Seed, r.Value)
	fmt.Fprintf(b, "  offered        %d in %.1f simulated s\n", r.Offered, r.EndedAt)
	fmt.Fprintf(b, "  in time        %s\n", share(r.InTime))
	fmt.Fprintf(b, "  late           %s\n", share(r.Late))
	fmt.Fprintf(b, "  rejected       %s\n", share(r.Rejected))
	fmt.Fprintf(b, "  dead-lettered  %s\n", share(r.DeadLettered))
	if r.StateLost+r.Unfinished > 0 {
		fmt.Fprintf(b, "  lost with the state of a dispatcher %s, unfinished %s\n", share(r.StateLost),
			share(r.Unfinished))
	}
}

func verdict(claim invariant.Claim) string {
	switch {
	case !claim.Conclusive:
		return "too little seen"
	case !claim.Holds:
		return "NOT kept"
	}
	return "kept"
}

func writeCost(b *strings.Builder, r *experiment.Result) {
	c := r.Cost
	if c == nil {
		return
	}
	fmt.Fprintf(b, "  cost           %.2f s, %.0f%% of it the policy's; %.0f events/s, %.0f webhooks/s; %.0f MB; "+
		"at most %d events in the queue\n", c.WallSeconds, 100*c.PolicySeconds/c.WallSeconds, c.EventsPerSecond,
		c.WebhooksPerSecond, c.HeapMB, r.PeakQueueLength)
}
