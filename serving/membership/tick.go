package membership

import (
	"maps"
	"slices"
	"time"

	"rowanlink/serving/state"
)

// Tick checks all timeouts and evaluates suspicions, zones and confirmations. It returns the local member's new
// suspicions and withdrawals, which the caller gossips, and the names of the members that were removed. The caller must
// call it at least once in each HeartbeatInterval.
func (t *Table) Tick(now time.Time) (suspicions []Suspicion, removed []string) {
	if now.Sub(t.lastTick) > maxTickPause {
		t.resumedAt = now
		clear(t.unconfirmed)
		for _, watched := range t.watched {
			watched.restartTimeout(now)
		}
	}
	t.lastTick = now
	for _, name := range slices.Sorted(maps.Keys(t.watched)) {
		suspicions = append(suspicions, t.checkWatched(now, name, t.watched[name])...)
	}
	t.removeDownFromRing(now)
	if t.watchedStale {
		t.watchedStale = false
		t.updateWatched(now)
	}
	removed = t.removeExpired(now)
	if t.needsEvaluation {
		t.needsEvaluation = false
		t.evaluateSuspicions(now)
		t.evaluateZones(now)
	}
	t.evaluateConfirmations(now)
	return suspicions, removed
}

// NextTimeout returns when the first suspicion timeout of a watched member ends unless a heartbeat arrives, or the zero
// time if no timeout is running.
func (t *Table) NextTimeout() (next time.Time) {
	for name, watched := range t.watched {
		tracked, ok := t.members[name]
		if !ok || watched.suspected || hasLeft(tracked.member) {
			continue
		}
		timeout := watched.lastHeartbeat.Add(t.suspicionTimeout(tracked.member, watched))
		if next.IsZero() || timeout.Before(next) {
			next = timeout
		}
	}
	return next
}

// checkWatched issues and returns the suspicion about a watched member, or its withdrawal, if one is due.
func (t *Table) checkWatched(now time.Time, name string, watched *watchedMember) []Suspicion {
	tracked, ok := t.members[name]
	if !ok {
		return nil
	}
	if watched.suspected {
		if !isObsolete(watched.lastIssued, tracked.member) {
			return nil
		}
		watched.suspected = false
		return []Suspicion{t.issueSuspicion(watched, tracked.member, true)}
	}
	if hasLeft(tracked.member) {
		return nil
	}
	// A member that has been marked as down in the meantime is suspected at once. Otherwise, members that still
	// consider it live would take this watcher's silence as evidence that it is alive, and a change of the ring might
	// assign other watchers to it before this one's timeout ends.
	isOverdue := now.Sub(watched.lastHeartbeat) >= t.suspicionTimeout(tracked.member, watched)
	if tracked.isLive() && !isOverdue {
		return nil
	}
	watched.suspected = true
	return []Suspicion{t.issueSuspicion(watched, tracked.member, false)}
}

// isObsolete reports whether a suspicion refers to an old version of its member, or to a member that has left.
func isObsolete(suspicion Suspicion, member state.Member) bool {
	return suspicion.Incarnation != member.Incarnation ||
		suspicion.Sequence < member.Sequence ||
		hasLeft(member)
}

// issueSuspicion creates and merges the local member's next suspicion or withdrawal about a watched member.
func (t *Table) issueSuspicion(watched *watchedMember, member state.Member, withdrawn bool) Suspicion {
	t.revision++
	watched.lastIssued = Suspicion{
		Member:             member.Name,
		Incarnation:        member.Incarnation,
		Sequence:           member.Sequence,
		Watcher:            t.self,
		WatcherIncarnation: t.Self().Incarnation,
		Revision:           t.revision,
		Withdrawn:          withdrawn,
	}
	t.MergeSuspicion(watched.lastIssued)
	return watched.lastIssued
}

// suspicionTimeout returns how long the local member waits for a member's heartbeat before it suspects the member. As
// in Lifeguard (Dadgar, Phillips and Currey, 2018), the timeout is extended while the local process itself is slow, and
// in addition while the member's heartbeats come late.
func (t *Table) suspicionTimeout(member state.Member, watched *watchedMember) time.Duration {
	timeout := SuspicionTimeout
	if member.Region != t.Self().Region {
		timeout = RemoteSuspicionTimeout
	}
	extension := t.timeoutExtension() + heartbeatLatenessFactor*watched.lateness
	return timeout + min(extension, maxTimeoutExtension)
}

// timeoutExtension returns by how much timeouts are extended because the local process is slow.
func (t *Table) timeoutExtension() time.Duration {
	return min(localLatenessFactor*t.lateness, maxTimeoutExtension)
}

// heartbeatInterval returns the time between two heartbeats from a member to the local member.
func (t *Table) heartbeatInterval(member state.Member) time.Duration {
	if member.Region != t.Self().Region {
		return RemoteIntervalFactor * HeartbeatInterval
	}
	return HeartbeatInterval
}

// RecordDelay records by how much the local process was late for a scheduled action. A process that runs late also
// receives heartbeats late, and suspecting their senders would add load to a system that is already short of processor
// time.
func (t *Table) RecordDelay(delay time.Duration) {
	t.lateness = decayLateness(t.lateness, min(delay, maxTimeoutExtension/localLatenessFactor))
}

// decayLateness returns a recorded lateness after one more sample. It is the largest sample so far, reduced by
// 1/latenessDecay with each later one.
func decayLateness(lateness, sample time.Duration) time.Duration {
	lateness -= lateness / latenessDecay
	if sample <= latenessThreshold {
		return lateness
	}
	return max(lateness, sample)
}

// updateWatched begins to watch the members that the ring assigns to the local member and stops watching others. It
// continues to watch a member that the local member suspects until the member refutes the suspicion or is removed.
func (t *Table) updateWatched(now time.Time) {
	t.updateWatchLinks()
	assigned := map[string]bool{}
	for _, link := range t.members[t.self].watching {
		assigned[link.member.member.Name] = true
	}
	for name, watched := range t.watched {
		_, known := t.members[name]
		if !known || !assigned[name] && !watched.suspected {
			delete(t.watched, name)
		}
	}
	for name := range assigned {
		if t.members[name].onRing && t.watched[name] == nil {
			t.watched[name] = &watchedMember{lastHeartbeat: now}
		}
	}
}
