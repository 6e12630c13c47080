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

// departureTimeoutTTLs is how many lease TTLs a graceful shutdown waits for a departure slot.
const departureTimeoutTTLs = 1

// Start opens the session and starts the member's background loops. Clients are not admitted yet.
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
	m.ownership.Start(m.session)
	if err := m.sites.Start(m.session); err != nil { // without its records a webhook might be delivered twice
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

// watchState subscribes to the components of the replicated state that this member uses.
func (m *Member) watchState() {
	m.session.Watch(cluster.ShardMapComponent, func(_ uint64, snapshot []byte) { m.ownership.ApplySnapshot(snapshot) })
	if m.raft == nil {
		return
	}
	m.session.Acquire(cluster.CoordinatorResource)
	m.session.Watch(cluster.LeaseComponent, m.applyLeases)
	m.session.Watch(cluster.RebalanceComponent, m.applyProgress)
}

// runPeriodically calls do whenever it is woken, and periodically.
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

// reconcile brings this member in line with the shard map, the leases and the plan.
func (m *Member) reconcile() {
	m.ownership.TrackSession()
	m.ownership.Reconcile()
	m.ownership.ReleaseMergedRanges()
	m.dispatcher.Loop.Reevaluate()
	m.reporter.ObserveMoves()
	m.coordinate()
}

// UpdateSettings applies new settings of the dispatcher and reloads the operator file. An invalid one changes nothing.
func (m *Member) UpdateSettings(settings api.Settings) {
	m.settings.Store(&settings)
	text, file, err := m.readOperatorFile()
	if err != nil {
		slog.Error("operator file not reloaded, the current one stays in force", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// These stay as read first: leases in force and the other members rely on them.
	file.LeaseTTL, file.MaxClockDrift, file.Name = m.file.LeaseTTL, m.file.MaxClockDrift, m.file.Name
	m.file = file
	m.planRequest = coordinator.PlanRequest{
		Text:    text,
		Groups:  file.Groups(),
		Fresh:   true,
		Resumes: m.coordinator.StoppedPlan(),
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

// Drain waits for one of the departure slots by which the operator file bounds how many members shut down at once.
// After one lease TTL it returns without a slot: the process was told to end.
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

// claimDepartureSlot reports whether this member holds a departure slot, and then releases all others.
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

// Stop stops the member. It releases all leases, so that nobody waits for their TTL, and transfers raft's leadership.
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
	_ = m.server.Close(m.file.LeaseTTL.Duration() / checksPerTTL) // the process ends with what is open then
	m.client.Close()
	_ = m.custody.Close() // all records that were answered by are written
}
