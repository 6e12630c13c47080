package raftnode

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Metrics count what a keeper did since its start.
type Metrics struct {
	LeadershipsGained, LeadershipsLost, QuorumLosses                  atomic.Int64
	SessionsOpened, SessionsEnded, RenewalsAccepted, RenewalsRejected atomic.Int64 // sessions: the asks refused are those too late
	LeasesGranted, LeasesReleased                                     atomic.Int64 // tasks
	Proposals, ProposalsRejected, ProposalsOutcomeUnknown             atomic.Int64 // out: without a known outcome
	Redirects, MembershipChanges, Removed, PartsServed                atomic.Int64
	isLeader, quorumLost                                              atomic.Int64 // 1 or 0
}

// WriteMetrics writes the counters, one a line, in the text form that monitoring systems read.
func (k *Node) WriteMetrics(to io.Writer) {
	c := &k.Metrics
	for _, row := range []struct {
		name string
		n    int64
	}{
		{"keeper_leads_total", c.LeadershipsGained.Load()}, {"keeper_leads_no_more_total", c.LeadershipsLost.Load()},
		{"keeper_no_majority_total", c.QuorumLosses.Load()},
		{"keeper_leading", c.isLeader.Load()}, {"keeper_no_majority", c.quorumLost.Load()},
		{"sessions_opened_total", c.SessionsOpened.Load()}, {"sessions_ended_total", c.SessionsEnded.Load()},
		{"sessions_renewed_total", c.RenewalsAccepted.Load()}, {"sessions_refused_total", c.RenewalsRejected.Load()},
		{"tasks_granted_total", c.LeasesGranted.Load()}, {"tasks_released_total", c.LeasesReleased.Load()},
		{"proposals_total", c.Proposals.Load()}, {"proposals_refused_total", c.ProposalsRejected.Load()},
		{"proposals_unsure_total", c.ProposalsOutcomeUnknown.Load()},
		{"keeper_asked_elsewhere_total", c.Redirects.Load()}, {"keeper_states_total", c.PartsServed.Load()},
		{"keeper_joined_total", c.MembershipChanges.Load()}, {"keeper_removed_total", c.Removed.Load()},
		{"keeper_log_index", int64(k.raft.LastIndex())}, {"keeper_log_applied", int64(k.raft.AppliedIndex())},
	} {
		fmt.Fprintf(to, "rowanlink_%s %d\n", row.name, row.n)
	}
}
