package membership

import (
	"time"

	"rowanlink/serving/state"
)

// Heartbeat is the message by which a member shows its watchers that it is alive. It carries the member's newest
// incarnation and sequence, so that a watcher notices when it has missed an update.
type Heartbeat struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
}

// HeartbeatAck is the response to a heartbeat. The zero value means that the watcher agrees with the sender.
type HeartbeatAck struct {
	// Unknown is set if the watcher lacks this version of the member. The member then sends its gossip entry.
	Unknown bool `cbor:"1,keyasint,omitempty"`
	// RefuteAbove is the highest Sequence under which the member was suspected or marked as down. The member refutes it
	// by raising its sequence above this one, see Table.Refute. Zero: there is nothing to refute.
	RefuteAbove uint64 `cbor:"2,keyasint,omitempty"`
}

// watchedMember is what the local member, as a watcher, knows about one member.
type watchedMember struct {
	lastHeartbeat time.Time     // when the last heartbeat or other contact came, or when watching began
	lateness      time.Duration // by how much recent heartbeats were late
	suspected     bool
	lastIssued    Suspicion // the last suspicion or withdrawal issued; zero: none yet
}

// restartTimeout restarts the suspicion timeout.
func (w *watchedMember) restartTimeout(now time.Time) { w.lastHeartbeat = now }

// recordHeartbeat records a heartbeat and its lateness. The member is expected to send one in each interval.
func (w *watchedMember) recordHeartbeat(now time.Time, interval time.Duration) {
	late := min(now.Sub(w.lastHeartbeat)-interval, maxHeartbeatLateness)
	w.lateness = decayLateness(w.lateness, late)
	w.restartTimeout(now)
}

// OverdueMembers returns the live members that the local member watches and whose next heartbeat is overdue, sorted by
// name. The local member calls them before it suspects them: a member that doesn't yet know that its watchers have
// changed sends its heartbeats to the old ones, but it does respond to calls.
func (t *Table) OverdueMembers(now time.Time) []state.Member {
	return t.membersWhere(func(tracked *trackedMember) bool {
		watched := t.watched[tracked.member.Name]
		if watched == nil || watched.suspected || !tracked.isLive() {
			return false
		}
		return now.Sub(watched.lastHeartbeat) >= t.heartbeatInterval(tracked.member)+HeartbeatInterval/2
	})
}

// ReceiveHeartbeat records a heartbeat and returns the response to it.
func (t *Table) ReceiveHeartbeat(now time.Time, heartbeat Heartbeat) HeartbeatAck {
	tracked, ok := t.members[heartbeat.Name]
	if !ok || tracked.member.Incarnation < heartbeat.Incarnation || hasLeft(tracked.member) {
		return HeartbeatAck{Unknown: true}
	}
	if tracked.member.Incarnation > heartbeat.Incarnation {
		return HeartbeatAck{} // from an earlier process of the member, since replaced
	}
	watched, isWatcher := t.watched[heartbeat.Name]
	if isWatcher {
		watched.recordHeartbeat(now, t.heartbeatInterval(tracked.member))
	}
	isSuspected := isWatcher && watched.suspected || !tracked.downSince.IsZero()
	if isSuspected && heartbeat.Sequence <= tracked.member.Sequence {
		return HeartbeatAck{RefuteAbove: max(tracked.member.Sequence, 1)}
	}
	return HeartbeatAck{Unknown: heartbeat.Sequence > tracked.member.Sequence}
}

// RefutationNotice returns the acknowledgement to send to a member that has just responded to a call. It asks the
// member to refute if the member is marked as down here, or is doubtful and may soon be marked as down, here or by
// members that it can't reach. Otherwise it is the zero value.
func (t *Table) RefutationNotice(name string) HeartbeatAck {
	tracked, ok := t.members[name]
	if !ok || tracked.downSince.IsZero() && t.doubtful[name] == nil {
		return HeartbeatAck{}
	}
	return HeartbeatAck{RefuteAbove: max(tracked.member.Sequence, 1)}
}
