package raftnode

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
)

// Metrics holds a node's counters since its start.
type Metrics struct {
	LeadershipsGained atomic.Int64
	LeadershipsLost   atomic.Int64
	QuorumLosses      atomic.Int64

	SessionsOpened   atomic.Int64
	SessionsEnded    atomic.Int64
	RenewalsAccepted atomic.Int64
	RenewalsRejected atomic.Int64 // received after the session had ended

	LeasesGranted  atomic.Int64
	LeasesReleased atomic.Int64

	Proposals               atomic.Int64
	ProposalsRejected       atomic.Int64
	ProposalsOutcomeUnknown atomic.Int64

	Redirects        atomic.Int64 // requests answered with status 421, see redirectToLeader
	ServersJoined    atomic.Int64 // added to the raft configuration, each as a learner first
	ServersRemoved   atomic.Int64 // from the raft configuration
	ComponentsServed atomic.Int64

	isLeader   atomic.Int64 // 1 or 0
	quorumLost atomic.Int64 // 1 or 0
}

// WriteMetrics writes the metrics in the Prometheus text format. The names are part of the operators' interface. An
// error of the writer is ignored: it is an HTTP response or a buffer.
func (n *Node) WriteMetrics(to io.Writer) {
	for _, metric := range []struct {
		name  string
		value int64
	}{
		{"keeper_leads_total", n.LeadershipsGained.Load()},
		{"keeper_leads_no_more_total", n.LeadershipsLost.Load()},
		{"keeper_no_majority_total", n.QuorumLosses.Load()},
		{"keeper_leading", n.isLeader.Load()},
		{"keeper_no_majority", n.quorumLost.Load()},
		{"sessions_opened_total", n.SessionsOpened.Load()},
		{"sessions_ended_total", n.SessionsEnded.Load()},
		{"sessions_renewed_total", n.RenewalsAccepted.Load()},
		{"sessions_refused_total", n.RenewalsRejected.Load()},
		{"tasks_granted_total", n.LeasesGranted.Load()},
		{"tasks_released_total", n.LeasesReleased.Load()},
		{"proposals_total", n.Proposals.Load()},
		{"proposals_refused_total", n.ProposalsRejected.Load()},
		{"proposals_unsure_total", n.ProposalsOutcomeUnknown.Load()},
		{"keeper_asked_elsewhere_total", n.Redirects.Load()},
		{"keeper_states_total", n.ComponentsServed.Load()},
		{"keeper_joined_total", n.ServersJoined.Load()},
		{"keeper_removed_total", n.ServersRemoved.Load()},
		{"keeper_log_index", int64(n.raft.LastIndex())},
		{"keeper_log_applied", int64(n.raft.AppliedIndex())},
	} {
		_, _ = fmt.Fprintf(to, "rowanlink_%s %d\n", metric.name, metric.value)
	}
}

// reportEvent counts and logs a change of the lease table. It does so at the leader only, as every node applies the same
// change. The caller holds the lock.
func (n *Node) reportEvent(counter *atomic.Int64, message string, attrs ...any) {
	if n.leaderTerm == 0 {
		return
	}
	counter.Add(1)
	slog.Info(message, attrs...)
}
