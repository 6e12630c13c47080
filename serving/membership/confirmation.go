package membership

import (
	"maps"
	"slices"
	"time"
)

// Times of the confirmation of members. Together they bound how long a dead member is taken for live, whatever else dies
// before it, with it or after it: evidenceLimit, one confirmationInterval, and the probes. Where all die at one moment,
// their live watchers' suspicions end the evidence after RemoteSuspicionTimeout already.
const (
	// contactPeriod is how long a call or a response of a member is evidence of its life: two remote heartbeats.
	contactPeriod = 2 * RemoteIntervalFactor * HeartbeatInterval
	// evidenceLimit is the greatest age of evidence while many members fail.
	evidenceLimit = 4400 * time.Millisecond
	// suspicionTransit is allowed for a suspicion to be issued after its timeout and to arrive by gossip.
	suspicionTransit = 400 * time.Millisecond
	// manyFailures is the number of members that have failed within failurePeriod from which evidenceLimit applies. It
	// takes the loss of all its watchers to hide a member.
	manyFailures  = WatcherCount
	failurePeriod = 6 * time.Second
	// confirmationInterval is the time between two evaluations.
	confirmationInterval = 200 * time.Millisecond
)

// evaluateConfirmations looks for dead members about which no suspicion arrives: their watchers died with them, and the
// watchers of these as well. It has the members probed of whose life there is no evidence, and marks those as down that
// respond to nobody.
//
// There is evidence of a member's life by direct contact, and by the silence of a live watcher, which would have issued
// a suspicion. What a watcher says by its silence at one moment holds for a moment one suspicion timeout earlier; so
// evidence gets older from watcher to watcher, and that of a dead member is never newer than its death. While many
// members fail, evidence must be newer than evidenceLimit. Otherwise it suffices that a member is reachable: a chain of
// watchers, each of which watches the next, leads to it from a member with which there is contact.
func (t *Table) evaluateConfirmations(now time.Time) {
	if now.Sub(t.confirmedAt) < confirmationInterval || now.Sub(t.resumedAt) < SuspicionTimeout {
		return
	}
	t.confirmedAt = now
	suspecting := t.suspectingWatchers()
	t.collectEvidence(now, suspecting)
	t.limitsEvidence = len(suspecting)+t.countDownSince(now.Add(-failurePeriod)) >= manyFailures
	t.updateUnconfirmed(now)
	for _, name := range slices.Sorted(maps.Keys(t.unconfirmed)) {
		if t.isUnresponsive(now, name) {
			delete(t.unconfirmed, name)
			t.markDownFor(now, t.members[name], UnwatchedAndSilent)
		}
	}
}

// collectEvidence sets each member's evidence and whether it is reachable.
func (t *Table) collectEvidence(now time.Time, suspecting map[string][]string) {
	t.updateWatchLinks()
	var pending []*trackedMember
	for _, member := range t.LiveMembers() {
		tracked := t.members[member.Name]
		tracked.setEvidence(t.directEvidence(now, tracked))
		tracked.reachable = !tracked.evidence.IsZero()
		if tracked.reachable {
			pending = append(pending, tracked)
		}
	}
	for len(pending) > 0 {
		watcher := pending[0]
		pending = pending[1:]
		for _, link := range watcher.watching {
			isSuspected := slices.Contains(suspecting[link.member.member.Name], watcher.member.Name)
			if link.member.isLive() && !isSuspected && link.passEvidence(now) {
				pending = append(pending, link.member)
			}
		}
	}
}

// passEvidence updates the evidence of a link's member from that of its watcher, and reports whether that has changed
// anything. A watcher knows nothing of the time before it began to watch. It says nothing either if it took the member
// for down by then, which can't be if the member was alive later.
func (l *watchLink) passEvidence(now time.Time) (changed bool) {
	since := l.since
	if l.watcher.liveSince.After(since) {
		since = l.watcher.liveSince
	}
	if now.Sub(since) >= l.reportDelay() && !l.member.reachable {
		l.member.reachable = true
		changed = true
	}
	evidence := l.watcher.evidence.Add(-l.reportDelay())
	isWatching := !evidence.Before(since) && !l.member.aliveAt.Before(since)
	if isWatching && evidence.After(l.member.evidence) {
		l.member.setEvidence(evidence)
		changed = true
	}
	return changed
}

// setEvidence sets the evidence of a member.
func (m *trackedMember) setEvidence(evidence time.Time) {
	m.evidence = evidence
	if evidence.After(m.aliveAt) {
		m.aliveAt = evidence
	}
}

// directEvidence returns when the local member last heard of a live member without a watcher between: by a call, by a
// response, by a new version of it, or by a member that probed it. A failed call since the contact, or a suspicion of
// the local member, annuls the former.
func (t *Table) directEvidence(now time.Time, tracked *trackedMember) (evidence time.Time) {
	name := tracked.member.Name
	if name == t.self {
		return now
	}
	record := func(at time.Time, period time.Duration) {
		if now.Sub(at) < period+t.timeoutExtension() && at.After(evidence) {
			evidence = at
		}
	}
	record(tracked.probedByOther, contactPeriod)
	if watched := t.watched[name]; watched != nil && watched.suspected {
		return evidence
	}
	if tracked.lastContact.After(tracked.noResponseAt) {
		record(tracked.lastContact, contactPeriod)
	}
	if tracked.versionAt.After(tracked.noResponseAt) {
		record(tracked.versionAt, evidenceLimit)
	}
	return evidence
}

// isConfirmed reports whether there is evidence that a live member still is alive.
func (t *Table) isConfirmed(now time.Time, tracked *trackedMember) bool {
	if !t.limitsEvidence {
		return tracked.reachable
	}
	return now.Sub(tracked.evidence) < evidenceLimit+t.timeoutExtension()
}

// countDownSince counts the members that went down after a time.
func (t *Table) countDownSince(since time.Time) (count int) {
	for _, tracked := range t.members {
		if tracked.downSince.After(since) {
			count++
		}
	}
	return count
}

// updateUnconfirmed lists the live members without evidence.
func (t *Table) updateUnconfirmed(now time.Time) {
	for name, tracked := range t.members {
		if !tracked.isLive() || t.isConfirmed(now, tracked) {
			delete(t.unconfirmed, name)
			continue
		}
		if t.unconfirmed[name] == nil {
			t.unconfirmed[name] = &unconfirmedMember{since: now}
		}
	}
}

// RecordNoResponse records that a member didn't respond to a call.
func (t *Table) RecordNoResponse(now time.Time, name string) {
	if tracked, ok := t.members[name]; ok {
		tracked.noResponseAt = now
	}
}
