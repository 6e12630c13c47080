package membership

import (
	"time"

	"rowanlink/serving/state"
)

// Heartbeat is the message by which a member shows its watchers that it is alive. It names the member's newest
// version of itself, so that a watcher notices when it has missed an update.
type Heartbeat struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
}

// HeartbeatAck is the response to a heartbeat. The zero value means that the watcher agrees with the sender.
type HeartbeatAck struct {
	// Unknown is set if the watcher lacks this version of the member, which is to send its own entry.
	Unknown bool `cbor:"1,keyasint,omitempty"`
	// RefuteAbove is the highest Sequence under which the member was suspected or marked as down. The member refutes
	// that with a higher one, see Table.Refute. Zero: there is nothing to refute.
	RefuteAbove uint64 `cbor:"2,keyasint,omitempty"`
}

// watchedMember is what the local member, as a watcher, knows about one member.
type watchedMember struct {
	lastHeartbeat time.Time     // or other contact, or when watching began
	lateness      time.Duration // by how much recent heartbeats came later than planned
	suspected     bool
	lastIssued    Suspicion // the last suspicion or withdrawal that was gossiped; zero: none yet
}

// restart begins the suspicion timeout anew.
func (w *watchedMember) restart(now time.Time) { w.lastHeartbeat = now }

// recordHeartbeat records a heartbeat of a member that sends one in each interval.
func (w *watchedMember) recordHeartbeat(now time.Time, interval time.Duration) {
	late := min(now.Sub(w.lastHeartbeat)-interval, maxHeartbeatLateness)
	w.lateness = decayLateness(w.lateness, late)
	w.restart(now)
}

// OverdueMembers returns the live members that the local member watches and whose next heartbeat is overdue, by name.
// The local member calls them before it suspects them: a member that hasn't noticed yet that its watchers have changed
// sends its heartbeats to others, but responds.
func (t *Table) OverdueMembers(now time.Time) []state.Member {
	return t.membersWhere(func(tracked *trackedMember) bool {
		watched := t.watched[tracked.member.Name]
		if watched == nil || watched.suspected || !tracked.isLive() {
			return false
		}
		return now.Sub(watched.lastHeartbeat) >= t.heartbeatInterval(tracked.member)+HeartbeatInterval/2
	})
}

// ReceiveHeartbeat records a heartbeat and returns its response.
func (t *Table) ReceiveHeartbeat(now time.Time, heartbeat Heartbeat) HeartbeatAck {
	tracked, ok := t.members[heartbeat.Name]
	if !ok || tracked.member.Incarnation < heartbeat.Incarnation || isDeparted(tracked.member) {
		return HeartbeatAck{Unknown: true}
	}
	if tracked.member.Incarnation > heartbeat.Incarnation {
		return HeartbeatAck{} // from a process that has been replaced
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

// RefutationNotice returns the acknowledgement for a member that has just responded to a call: it makes the member
// refute that it is down, if it is marked so, or may soon be marked so here or by members that it can't reach.
func (t *Table) RefutationNotice(name string) HeartbeatAck {
	tracked, ok := t.members[name]
	if !ok || tracked.downSince.IsZero() && t.doubtful[name] == nil {
		return HeartbeatAck{}
	}
	return HeartbeatAck{RefuteAbove: max(tracked.member.Sequence, 1)}
}
