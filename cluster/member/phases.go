package member

import (
	"log/slog"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// runPeriodically looks when something changed, and now and then.
func (m *Member) runPeriodically(poke chan struct{}, look func()) {
	defer m.done.Done()
	tick := time.NewTicker(duration(m.file.LeaseTTL) / checksPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-m.ended:
			return
		case <-poke:
		case <-tick.C:
		}
		look()
	}
}

func (m *Member) applyLeases(_ uint64, snapshot []byte) {
	book := lease.NewTable()
	if err := book.Restore(snapshot); err != nil {
		slog.Error("leases not read", "why", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coordinator.leases = book
	m.wake()
}

func (m *Member) applyProgress(_ uint64, snapshot []byte) {
	p := &rebalance.Progress{}
	if err := p.Restore(snapshot); err != nil {
		slog.Error("plan's progress not read", "why", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coordinator.progress = p
	m.progress.Store(p)
	m.wake()
}

func (m *Member) coordinate() {
	if m.raft == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var able []shardmap.Candidate
	for _, w := range m.file.Members {
		able = append(able, shardmap.Candidate{MemberWeight: shardmap.MemberWeight{Member: w.ID, Weight: w.Weight}, MaxRanges: w.MaxRanges})
	}
	if m.coordinator.Run(m.request, able, m.file.InitialRanges, m.clock()) {
		m.request.Fresh = false
	}
}

// Renew takes the dispatcher's settings and reads the file again; one that can't be used changes nothing.
func (m *Member) Renew(f api.Settings) {
	m.settings.Store(&f)
	m.reloadConfig()
}

func (m *Member) reloadConfig() {
	text, f, err := m.readConfig()
	if err != nil {
		slog.Error("operator file not read again, the old one stays", "why", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f.LeaseTTL, f.MaxClockDrift, f.Name = m.file.LeaseTTL, m.file.MaxClockDrift, m.file.Name // hold from start to end
	m.file, m.configText = f, text
	m.request = PlanRequest{Text: text, Groups: f.Groups(), Fresh: true, Resumes: m.coordinator.StoppedPlan()}
	m.updatePeers(f)
	m.memberCount.Store(int64(len(f.Members)))
	m.sites.ApplyConfig(f)
	slog.Info("operator file read again", "members", len(f.Members))
	m.wake()
}

func (m *Member) updatePeers(f config.File) {
	m.client.SetAddresses(memberAddresses(f))
	m.session.Leader.SetNodes(raftNodes(f))
	if m.raft != nil {
		m.raft.SetAddresses(raftAddresses(f))
	}
}

// Leave waits for one of the turns in which members leave, no longer than a term: at most so many leave at
// once, and one that can't have a turn leaves all the same, since its process is told to end.
func (m *Member) Leave() {
	turns := m.file.MaxDeparting
	for i := range turns {
		m.session.Acquire(cluster.DepartureSlotResource(i))
	}
	until := time.Now().Add(leaveTimeoutTTLs * duration(m.file.LeaseTTL))
	for time.Now().Before(until) {
		for i := range turns {
			if e, held := m.session.Holds(cluster.DepartureSlotResource(i)); held {
				for j := range turns {
					if j != i {
						m.session.Release(cluster.DepartureSlotResource(j))
					}
				}
				slog.Info("leaves in turn", "turn", i, "epoch", e)
				return
			}
		}
		time.Sleep(duration(m.file.LeaseTTL) / (checksPerTTL * checksPerTTL))
	}
	slog.Warn("leaves without a turn: none was free for a term")
}

// End gives everything up, so that nobody waits for this member's term, and hands the lead on.
func (m *Member) End() {
	close(m.ended)
	m.sites.Close()
	m.done.Wait()
	m.session.Close()
	if m.raft != nil {
		if err := m.raft.Close(); err != nil {
			slog.Warn("log not closed in time", "why", err)
		}
	}
	m.server.Close(duration(m.file.LeaseTTL) / checksPerTTL)
	m.client.Close()
	m.custody.Close()
}
