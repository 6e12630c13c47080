package raftnode

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Counters count what a keeper did since its start.
type Counters struct {
	Leads, LeadsNoMore, NoMajority           atomic.Int64
	Opened, Ended, Renewed, Refused          atomic.Int64 // sessions: the asks refused are those too late
	Granted, Released                        atomic.Int64 // tasks
	Proposed, ProposalsRefused, ProposalsOut atomic.Int64 // out: without a known outcome
	Elsewhere, Joined, Removed, States       atomic.Int64
	leading, missing                         atomic.Int64 // 1 or 0
}

// Print writes the counters, one a line, in the text form that monitoring systems read.
func (k *Keeper) Print(to io.Writer) {
	c := &k.Counters
	for _, row := range []struct {
		name string
		n    int64
	}{
		{"keeper_leads_total", c.Leads.Load()}, {"keeper_leads_no_more_total", c.LeadsNoMore.Load()},
		{"keeper_no_majority_total", c.NoMajority.Load()},
		{"keeper_leading", c.leading.Load()}, {"keeper_no_majority", c.missing.Load()},
		{"sessions_opened_total", c.Opened.Load()}, {"sessions_ended_total", c.Ended.Load()},
		{"sessions_renewed_total", c.Renewed.Load()}, {"sessions_refused_total", c.Refused.Load()},
		{"tasks_granted_total", c.Granted.Load()}, {"tasks_released_total", c.Released.Load()},
		{"proposals_total", c.Proposed.Load()}, {"proposals_refused_total", c.ProposalsRefused.Load()},
		{"proposals_unsure_total", c.ProposalsOut.Load()},
		{"keeper_asked_elsewhere_total", c.Elsewhere.Load()}, {"keeper_states_total", c.States.Load()},
		{"keeper_joined_total", c.Joined.Load()}, {"keeper_removed_total", c.Removed.Load()},
		{"keeper_log_index", int64(k.raft.LastIndex())}, {"keeper_log_applied", int64(k.raft.AppliedIndex())},
	} {
		fmt.Fprintf(to, "rowanlink_%s %d\n", row.name, row.n)
	}
}
