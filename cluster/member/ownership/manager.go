// Package ownership reconciles a member with the shard map: it caches the map, acquires the leases of the ranges that
// the map assigns to the member, confirms in the map the lease grants by which the member serves these ranges, and
// releases the lease of a range that moves to another member once no call of the range is in flight and no webhook of
// it is pending here. Manager.Decide returns what the member does with a webhook.
//
// Package shardmap has the rules. This package applies them to the member's session and clock, and proposes the
// commands that follow.
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

// LocalWork reports the calls in flight and the pending webhooks of the member's dispatcher.
type LocalWork interface {
	// CallsInFlight counts the calls in flight to destinations of a range, including misplaced destinations: those now
	// placed in another range that may still be served by this range's lease.
	CallsInFlight(shardmap.Range) int
	// CallsInFlightTo counts the calls in flight to the destinations.
	CallsInFlightTo([]api.DestinationID) int
	// PendingWebhooks counts the webhooks of a range that are still to be handed off.
	PendingWebhooks(shardmap.Range) int
	// StateTransferred reports whether the target of the range's move has received the state that this member learned
	// about the range's destinations, such as their health.
	StateTransferred(shardmap.Range) bool
	// InDoubt counts the webhooks that were offered to the other member of a move with an unknown outcome.
	InDoubt(shardmap.MoveID) int
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	Self     cluster.MemberID
	LeaseTTL api.Micros
	Clock    func() api.Micros // monotonic
	// HandoffBatch is the maximum number of webhooks in one hand-off message. A range is closed for the switch of its
	// move once at most this many webhooks are pending.
	HandoffBatch int
	OnChange     func() // schedules a Reconcile; must not block
}

// Manager acquires, confirms and releases the member's ranges as the shard map requires. Its methods may be called
// concurrently.
type Manager struct {
	Config
	session *session.Session
	local   LocalWork

	shardMap      atomic.Pointer[shardmap.Map]
	inactiveSince atomic.Int64 // time by Clock since which no session is active; api.Never while one is active
	isolated      atomic.Bool  // result of isIsolated at the last TrackSession

	reconcileMu sync.Mutex          // one Reconcile at a time
	unconfirmed steplog.Unconfirmed // guarded by reconcileMu

	// admissionMu is read-locked from the decision to admit a webhook until the webhook is in the journal, and
	// write-locked while closeAdmission marks a range as closed.
	admissionMu  sync.RWMutex
	closedRanges sync.Map // from cluster.RangeID to closedRange
}

// New returns a Manager that has no shard map yet. SetLocalWork and SetSession must be called before any other method
// except Decide.
func New(c Config) *Manager {
	m := &Manager{Config: c}
	m.inactiveSince.Store(int64(c.Clock()))
	return m
}

// SetLocalWork sets the LocalWork that reports the dispatcher's calls and webhooks.
func (m *Manager) SetLocalWork(local LocalWork) { m.local = local }

// SetSession sets the session that holds the leases of the member's ranges. The session is already running.
func (m *Manager) SetSession(s *session.Session) { m.session = s }

// Map returns the cached shard map, or nil if none has been received yet.
func (m *Manager) Map() *shardmap.Map { return m.shardMap.Load() }

// ApplySnapshot replaces the cached shard map by a snapshot, unless the cached map is newer than the snapshot.
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

// TrackSession records the time at which the session is first seen inactive, and logs when isolation begins or ends.
// The caller calls it at short intervals, since the recorded time is that of the call.
func (m *Manager) TrackSession() {
	if m.session.IsActive() {
		m.inactiveSince.Store(int64(api.Never))
	} else {
		m.inactiveSince.CompareAndSwap(int64(api.Never), int64(m.Clock()))
	}
	m.logIsolation()
}

// logIsolation logs when isolation begins or ends. While isolated, this member calls destinations whose owner it can't
// reach.
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

// isIsolated reports whether, as far as this member can tell, possibly no range has a serving owner
// (shardmap.IsolationSuspected).
func (m *Manager) isIsolated() bool {
	return shardmap.IsolationSuspected(api.Micros(m.inactiveSince.Load()), m.Clock(), m.LeaseTTL)
}

// LocalMember returns what the shard map's rules need to know about this member: its ID, the leases that it holds and
// whether it is isolated.
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

// Decide returns what this member does now with webhooks of a destination. As long as there is no shard map, they are parked.
func (m *Manager) Decide(destination api.DestinationID) shardmap.Decision {
	shardMap := m.shardMap.Load()
	if shardMap == nil {
		return shardmap.Decision{Action: shardmap.ParkUnmapped}
	}
	return shardMap.DecideDestination(m.LocalMember(), destination)
}

// DecideForKey is Decide for the range that contains a key hash.
func (m *Manager) DecideForKey(key cluster.KeyHash) shardmap.Decision {
	shardMap := m.shardMap.Load()
	if shardMap == nil {
		return shardmap.Decision{Action: shardmap.ParkUnmapped}
	}
	return shardMap.DecideKey(m.LocalMember(), key)
}
