// Package ownership reconciles a member with the shard map: it caches the map, acquires the leases of the ranges that the
// map assigns to the member, confirms the grants by which it serves, and releases ranges that move elsewhere once no call
// or webhook of theirs is left here. Manager.Decide returns what the member does with a webhook.
//
// The rules are those of package shardmap; this package adds the session, the clock and the proposals.
package ownership

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"rowanlink/cluster"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/member/steplog"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// LocalWork counts what the member's dispatcher has in flight and pending.
type LocalWork interface {
	// CallsInFlight counts the calls to destinations of a range, misplaced ones included.
	CallsInFlight(shardmap.Range) int
	CallsInFlightTo([]api.DestinationID) int
	// PendingWebhooks counts the webhooks of a range that are still to be handed off.
	PendingWebhooks(shardmap.Range) int
	// StateTransferred reports whether the target of the range's move has the learned state of its destinations.
	StateTransferred(shardmap.Range) bool
	// InDoubt counts the webhooks that the other member of a move may have.
	InDoubt(shardmap.MoveID) int
}

// Config is what a Manager is made from.
type Config struct {
	Self     cluster.MemberID
	LeaseTTL api.Micros
	Clock    func() api.Micros // monotonic
	// HandoffBatch is the most webhooks of one hand-off message: a range is closed for its switch once no more are
	// pending.
	HandoffBatch int
	OnChange     func() // schedules a Reconcile; must not block
}

// Manager acquires, confirms and releases the member's ranges by the shard map. Its methods may be called concurrently.
type Manager struct {
	Config
	session *session.Session
	local   LocalWork

	shardMap      atomic.Pointer[shardmap.Map]
	inactiveSince atomic.Int64 // by Clock, since when no session is open; api.Never while one is
	isolated      atomic.Bool  // at the last TrackSession

	reconcileMu sync.Mutex          // one Reconcile at a time
	unconfirmed steplog.Unconfirmed // guarded by reconcileMu

	// admissionMu is held for reading from the admission of a webhook until it is in the journal, and for writing
	// while a range is closed.
	admissionMu sync.RWMutex
	closures    sync.Map // cluster.RangeID to closure
}

// New returns a Manager without a map. Bind and Start have to be called before all other methods but Decide.
func New(c Config) *Manager {
	m := &Manager{Config: c}
	m.inactiveSince.Store(int64(c.Clock()))
	return m
}

// Bind sets the source of the dispatcher's work.
func (m *Manager) Bind(local LocalWork) { m.local = local }

// Start sets the session by which ranges are owned.
func (m *Manager) Start(s *session.Session) { m.session = s }

// Map returns the cached shard map; nil: none yet.
func (m *Manager) Map() *shardmap.Map { return m.shardMap.Load() }

// ApplySnapshot replaces the cached shard map unless it is newer than the snapshot.
func (m *Manager) ApplySnapshot(snapshot []byte) {
	next := shardmap.New(nil)
	if err := next.Restore(snapshot); err != nil {
		slog.Error("shard map can't be decoded, the current one stays in force", "error", err)
		return
	}
	if current := m.shardMap.Load(); current != nil && current.Version > next.Version {
		return
	}
	m.shardMap.Store(next)
	m.OnChange()
}

// TrackSession records since when no session is open. It has to be called often.
func (m *Manager) TrackSession() {
	if m.session.IsActive() {
		m.inactiveSince.Store(int64(api.Never))
	} else {
		m.inactiveSince.CompareAndSwap(int64(api.Never), int64(m.Clock()))
	}
	m.logIsolation()
}

// logIsolation logs when this member begins or ends to call for webhooks whose owner it can't reach.
func (m *Manager) logIsolation() {
	isolated := m.isIsolated()
	if m.isolated.Swap(isolated) == isolated {
		return
	}
	if isolated {
		slog.Warn("isolation suspected: webhooks whose owner isn't reached are called from here", "member", m.Self)
		return
	}
	slog.Info("isolation over", "member", m.Self)
}

// isIsolated reports whether possibly no range has a serving owner.
func (m *Manager) isIsolated() bool {
	return shardmap.IsolationSuspected(api.Micros(m.inactiveSince.Load()), m.Clock(), m.LeaseTTL)
}

// LocalMember returns this member as the shard map's rules see it: the leases that it holds and whether it is isolated.
func (m *Manager) LocalMember() shardmap.LocalMember {
	return shardmap.LocalMember{
		Member:    m.Self,
		HeldEpoch: m.session.Holds,
		Isolated:  m.isIsolated(),
	}
}

// HoldsRange reports whether this member holds the lease of a range.
func (m *Manager) HoldsRange(id cluster.RangeID) bool {
	_, held := m.session.Holds(cluster.RangeOwnerResource(id))
	return held
}

// Decide returns what this member does now with webhooks of a destination.
func (m *Manager) Decide(destination api.DestinationID) shardmap.Decision {
	shardMap := m.shardMap.Load()
	if shardMap == nil {
		return shardmap.Decision{Action: shardmap.ParkUnmapped}
	}
	return shardMap.DecideDestination(m.LocalMember(), destination)
}

// DecideForKey is Decide for a key hash.
func (m *Manager) DecideForKey(key cluster.KeyHash) shardmap.Decision {
	shardMap := m.shardMap.Load()
	if shardMap == nil {
		return shardmap.Decision{Action: shardmap.ParkUnmapped}
	}
	return shardMap.DecideKey(m.LocalMember(), key)
}
