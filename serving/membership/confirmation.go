package membership

import (
	"maps"
	"slices"
	"time"
)

// Times used to confirm that members are alive. A dead member is considered live for at most maxEvidenceAge, plus one
// confirmationInterval, plus the time for the probes, no matter which other members die too. If all of them die at the
// same moment, the suspicions of their live watchers end the evidence earlier: after RemoteSuspicionTimeout.
const (
	// contactPeriod is how long a call or response from a member counts as evidence that it is alive: twice the
	// heartbeat interval between regions.
	contactPeriod = 2 * RemoteIntervalFactor * HeartbeatInterval
	// maxEvidenceAge is the maximum age of evidence while many members are failing, see massFailureThreshold. It is
	// also how long a new version of a member counts as evidence.
	maxEvidenceAge = 4400 * time.Millisecond
	// suspicionDeliveryTime is the time allowed, after a suspicion timeout has ended, for the suspicion to be issued
	// and to arrive by gossip.
	suspicionDeliveryTime = 400 * time.Millisecond
	// massFailureThreshold is the number of members, suspected now or marked as down within massFailureWindow, from
	// which maxEvidenceAge applies. It equals WatcherCount because a dead member stays unsuspected only if all its
	// watchers have failed.
	massFailureThreshold = WatcherCount
	massFailureWindow    = 6 * time.Second
	// confirmationInterval is the minimum time between two runs of evaluateConfirmations.
	confirmationInterval = 200 * time.Millisecond
)

// evaluateConfirmations detects dead members about which no suspicion arrives: their watchers have died too, and so
// have the watchers of those watchers. Live members without evidence that they are alive become unconfirmed and are
// probed; those that respond to no probe are marked as down.
//
// Evidence that a member is alive comes from direct contact, or from a live watcher that doesn't suspect it. Since a
// watcher suspects a dead member only after the suspicion timeout and the delivery of its suspicion (maxReportDelay),
// the absence of a suspicion now shows only that the member was alive maxReportDelay ago. Evidence therefore gets older
// with each watcher along a chain, and evidence about a dead member is never newer than its death.
//
// While many members are failing (inMassFailure), evidence must be newer than maxEvidenceAge. Otherwise it is enough
// that a member is reachable: a chain of watchers, each watching the next, leads to it from a member with direct
// evidence.
func (t *Table) evaluateConfirmations(now time.Time) {
	if now.Sub(t.lastConfirmation) < confirmationInterval || now.Sub(t.resumedAt) < SuspicionTimeout {
		return
	}
	t.lastConfirmation = now
	suspecting := t.suspectingWatchers()
	t.collectEvidence(now, suspecting)
	t.inMassFailure = len(suspecting)+t.countDownSince(now.Add(-massFailureWindow)) >= massFailureThreshold
	t.updateUnconfirmed(now)
	for _, name := range slices.Sorted(maps.Keys(t.unconfirmed)) {
		if t.isUnresponsive(now, name) {
			delete(t.unconfirmed, name)
			t.markDownFor(now, t.members[name], UnwatchedAndSilent)
		}
	}
}

// collectEvidence sets evidenceAt and reachable of each live member. It starts at the members with direct evidence and
// follows the links from watchers to the members that they watch and don't suspect.
func (t *Table) collectEvidence(now time.Time, suspecting map[string][]string) {
	t.updateWatchLinks()
	var pending []*trackedMember
	for _, member := range t.LiveMembers() {
		tracked := t.members[member.Name]
		tracked.setEvidence(t.directEvidence(now, tracked))
		tracked.reachable = !tracked.evidenceAt.IsZero()
		if tracked.reachable {
			pending = append(pending, tracked)
		}
	}
	for len(pending) > 0 {
		watcher := pending[0]
		pending = pending[1:]
		for _, link := range watcher.watching {
			isSuspected := slices.Contains(suspecting[link.member.member.Name], watcher.member.Name)
			if link.member.isLive() && !isSuspected && link.propagateEvidence(now) {
				pending = append(pending, link.member)
			}
		}
	}
}

// propagateEvidence updates reachable and evidenceAt of the link's member from its watcher, and reports whether either
// changed. The member becomes reachable once the watcher has been assigned and live for maxReportDelay. That the
// watcher issued no suspicion is evidence only for the time since it began to watch, and only if there is other
// evidence that the member was alive after that. Without such evidence, the watcher may have considered the member down
// when it began to watch, and then never issues a suspicion.
func (l *watchLink) propagateEvidence(now time.Time) (changed bool) {
	since := l.since
	if l.watcher.liveSince.After(since) {
		since = l.watcher.liveSince
	}
	if now.Sub(since) >= l.maxReportDelay() && !l.member.reachable {
		l.member.reachable = true
		changed = true
	}
	evidence := l.watcher.evidenceAt.Add(-l.maxReportDelay())
	isWatching := !evidence.Before(since) && !l.member.newestEvidenceAt.Before(since)
	if isWatching && evidence.After(l.member.evidenceAt) {
		l.member.setEvidence(evidence)
		changed = true
	}
	return changed
}

// setEvidence sets the member's evidenceAt and updates newestEvidenceAt.
func (m *trackedMember) setEvidence(evidence time.Time) {
	m.evidenceAt = evidence
	if evidence.After(m.newestEvidenceAt) {
		m.newestEvidenceAt = evidence
	}
}

// directEvidence returns the time of the newest evidence about a live member that doesn't depend on its watchers: a
// call or response from it, a new version of it, or a relay's report that it responded to a probe. The result is zero
// if there is no recent evidence. Calls, responses and versions don't count if a call to the member has failed since,
// or while the local member suspects it.
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
	record(tracked.respondedToRelayAt, contactPeriod)
	if watched := t.watched[name]; watched != nil && watched.suspected {
		return evidence
	}
	if tracked.lastContact.After(tracked.noResponseAt) {
		record(tracked.lastContact, contactPeriod)
	}
	if tracked.versionAt.After(tracked.noResponseAt) {
		record(tracked.versionAt, maxEvidenceAge)
	}
	return evidence
}

// isConfirmed reports whether there is sufficient evidence that a live member is still alive.
func (t *Table) isConfirmed(now time.Time, tracked *trackedMember) bool {
	if !t.inMassFailure {
		return tracked.reachable
	}
	return now.Sub(tracked.evidenceAt) < maxEvidenceAge+t.timeoutExtension()
}

// countDownSince returns the number of members that went down after a time.
func (t *Table) countDownSince(since time.Time) (count int) {
	for _, tracked := range t.members {
		if tracked.downSince.After(since) {
			count++
		}
	}
	return count
}

// updateUnconfirmed adds the live members that aren't confirmed to the unconfirmed ones and removes all others.
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
