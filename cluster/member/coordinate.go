package member

import (
	"log/slog"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/member/coordinator"
	"rowanlink/cluster/member/health"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
)

// applyLeases passes the replicated leases of a snapshot to the coordinator.
func (m *Member) applyLeases(_ uint64, snapshot []byte) {
	leases := lease.NewTable()
	if err := leases.Restore(snapshot); err != nil {
		slog.Error("leases can't be decoded", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coordinator.SetLeases(leases)
	m.wake()
}

// applyProgress takes the running plan and its progress from a snapshot.
func (m *Member) applyProgress(_ uint64, snapshot []byte) {
	progress := &rebalance.Progress{}
	if err := progress.Restore(snapshot); err != nil {
		slog.Error("plan's progress can't be decoded", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coordinator.SetProgress(progress)
	m.progress.Store(progress)
	m.wake()
}

// coordinate runs the coordinator, which acts only while this member holds the coordinator's lease. Members without a
// raft node never coordinate.
func (m *Member) coordinate() {
	if m.raft == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := coordinator.Candidates{Ranges: m.file.InitialRanges}
	for _, member := range m.file.Members {
		candidates.Members = append(candidates.Members, shardmap.Candidate{
			MemberWeight: shardmap.MemberWeight{Member: member.ID, Weight: member.Weight},
			MaxRanges:    member.MaxRanges,
		})
	}
	if m.coordinator.Run(m.planRequest, candidates, m.clock()) {
		m.planRequest.Reloaded = false
	}
}

// healthQuery returns the query that the collector sends to all members. It is empty if this member doesn't coordinate
// or no plan is running.
func (m *Member) healthQuery() health.Query {
	shardMap := m.ownership.Map()
	if _, held := m.session.Holds(cluster.CoordinatorResource); !held || shardMap == nil {
		return health.Query{}
	}
	progress := m.progress.Load()
	if progress == nil || progress.Number == 0 {
		return health.Query{}
	}
	file, err := progress.File()
	if err != nil {
		return health.Query{} // the coordinator logs the error
	}
	return health.Query{Plan: progress.Number, Watches: progress.MonitoredMoves(file, shardMap)}
}
