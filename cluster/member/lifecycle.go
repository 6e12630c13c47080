package member

import (
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/member/coordinator"
	"rowanlink/cluster/member/session"
	"rowanlink/internal/wakeup"
	"rowanlink/webhook/api"
)

// departureTimeoutTTLs is how long a graceful shutdown waits for a departure slot, in lease TTLs.
const departureTimeoutTTLs = 1

// Start opens the session and starts the member's background loops. The dispatcher doesn't accept clients yet.
func (m *Member) Start() {
	slog.Info("member started", "cluster", m.file.Name, "name", m.self, "members", len(m.file.Members))
	m.session = session.New(session.Config{
		Self:          m.self,
		Incarnation:   lease.Incarnation(randomID()),
		LeaseTTL:      m.file.LeaseTTL,
		MaxClockDrift: m.file.MaxClockDrift,
		Clock:         m.clock,
		Leader:        session.NewLeaderClient(m.client, raftNodes(m.file), rand.Float64),
		OnChange:      func(cluster.Resource, cluster.Epoch) { m.wake() },
	})
	m.ownership.SetSession(m.session)
	if err := m.sites.Start(m.session); err != nil { // without the records a webhook might be delivered twice
		slog.Error("records of deliveries to relays can't be read", "error", err)
		os.Exit(1)
	}
	m.coordinator = coordinator.New(coordinator.Config{
		Session:  m.session,
		Maps:     m.ownership,
		Impacts:  m.collector,
		LeaseTTL: m.file.LeaseTTL,
	})
	go func() { _ = m.server.Serve(m.listener) }() // ends by Close
	m.watchState()
	go m.collector.Run(m.ended) // Stop doesn't wait for a poll in flight
	m.done.Go(func() { m.runPeriodically(m.ownershipWake, m.reconcile) })
	m.done.Go(func() { m.runPeriodically(m.handoffWake, m.handoff.Run) })
	m.session.RunLeaseWorkload(os.Getenv)
}

// watchState watches the components of the replicated state that this member uses: the shard map, and on members with a
// raft node also the leases and the plan, which the coordinator needs.
func (m *Member) watchState() {
	m.session.Watch(cluster.ShardMapComponent, func(_ uint64, snapshot []byte) { m.ownership.ApplySnapshot(snapshot) })
	if m.raft == nil {
		return
	}
	m.session.Acquire(cluster.CoordinatorResource)
	m.session.Watch(cluster.LeaseComponent, m.applyLeases)
	m.session.Watch(cluster.RebalanceComponent, m.applyProgress)
}

// runPeriodically calls do whenever wake is sent, and also checksPerTTL times per lease TTL, until the member stops.
func (m *Member) runPeriodically(wake wakeup.Signal, do func()) {
	tick := time.NewTicker(m.file.LeaseTTL.Duration() / checksPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-m.ended:
			return
		case <-wake:
		case <-tick.C:
		}
		do()
	}
}

// reconcile adapts this member to the current shard map, leases and plan.
func (m *Member) reconcile() {
	m.ownership.TrackSession()
	m.ownership.Reconcile()
	m.ownership.ReleaseMergedRanges()
	m.dispatcher.Loop.Reevaluate()
	m.reporter.ObserveMoves()
	m.coordinate()
}

// UpdateSettings applies new settings of the dispatcher and reloads the operator file. If the operator file is invalid,
// the current one stays in force.
func (m *Member) UpdateSettings(settings api.Settings) {
	m.settings.Store(&settings)
	text, file, err := m.readOperatorFile()
	if err != nil {
		slog.Error("operator file not reloaded, the current one stays in force", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// These values stay as they were at the start: the current leases and the other members depend on them.
	file.LeaseTTL, file.MaxClockDrift, file.Name = m.file.LeaseTTL, m.file.MaxClockDrift, m.file.Name
	m.file = file
	m.planRequest = coordinator.PlanRequest{
		Text:        text,
		Groups:      file.Groups(),
		Reloaded:    true,
		ResumesPlan: m.coordinator.StoppedPlan(),
	}
	m.updatePeers(file)
	m.memberCount.Store(int64(len(file.Members)))
	m.sites.ApplyConfig(file)
	slog.Info("operator file reloaded", "members", len(file.Members))
	m.wake()
}

func (m *Member) updatePeers(file config.File) {
	m.client.SetAddresses(memberAddresses(file))
	m.session.Leader.SetNodes(raftNodes(file))
	if m.raft != nil {
		m.raft.SetAddresses(raftAddresses(file))
	}
}

// Drain waits until this member holds a departure slot. A departure slot is a lease; the operator file sets the number
// of slots, and so how many members shut down at the same time. If no slot is free for one lease TTL, Drain returns
// without one, since the process has been told to end.
func (m *Member) Drain() {
	slots := m.file.MaxDeparting
	for slot := range slots {
		m.session.Acquire(cluster.DepartureSlotResource(slot))
	}
	deadline := time.Now().Add(departureTimeoutTTLs * m.file.LeaseTTL.Duration())
	for time.Now().Before(deadline) {
		if m.claimDepartureSlot(slots) {
			return
		}
		time.Sleep(m.file.LeaseTTL.Duration() / (checksPerTTL * checksPerTTL))
	}
	slog.Warn("departing without a slot: none was free for one lease TTL")
}

// claimDepartureSlot reports whether this member holds a departure slot. If it does, the requests for all other slots
// are cancelled, and others that were granted are released.
func (m *Member) claimDepartureSlot(slots int) bool {
	for slot := range slots {
		epoch, held := m.session.Holds(cluster.DepartureSlotResource(slot))
		if !held {
			continue
		}
		for other := range slots {
			if other != slot {
				m.session.Release(cluster.DepartureSlotResource(other))
			}
		}
		slog.Info("departure slot acquired", "slot", slot, "epoch", epoch)
		return true
	}
	return false
}

// Stop stops the member. It releases all leases, so that no other member has to wait until they expire, and closes the
// raft node, which transfers its leadership.
func (m *Member) Stop() {
	close(m.ended)
	m.sites.Close()
	m.done.Wait()
	m.handoff.Close()
	m.session.Close()
	if m.raft != nil {
		if err := m.raft.Close(); err != nil {
			slog.Warn("raft node not closed in time", "error", err)
		}
	}
	_ = m.server.Close(m.file.LeaseTTL.Duration() / checksPerTTL) // requests that are still open end with the process
	m.client.Close()
	_ = m.custody.Close() // each record that a reply depends on is already written
}
