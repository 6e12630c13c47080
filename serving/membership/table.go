// Package membership is the system's failure detector. It tracks which members are live, down (SWIM's "dead") or have
// left. Every member sends heartbeats to a few watchers, which are selected by its position on a hash ring. A member is
// marked as down when the majority of its watchers suspect it. Versions of members and suspicions are gossiped. A
// member refutes a suspicion by raising its sequence, as in SWIM (Das, Gupta and Motivala, 2002, section 4.2). The
// package does no I/O and reads no clock: the current time is an argument.
package membership

import (
	"cmp"
	"slices"
	"time"

	"rowanlink/serving/state"
)

// Intervals and time-outs of the failure detector.
const (
	// HeartbeatInterval is the time between two heartbeats to a watcher in the same region.
	HeartbeatInterval = 400 * time.Millisecond
	// RemoteIntervalFactor is the ratio of the interval for a watcher in another region to HeartbeatInterval.
	RemoteIntervalFactor = 3
	// SuspicionTimeout is how long a watcher waits for a heartbeat before it suspects a member of its region.
	SuspicionTimeout = 1200 * time.Millisecond
	// RemoteSuspicionTimeout is the SuspicionTimeout for a member of another region.
	RemoteSuspicionTimeout = 2200 * time.Millisecond
	// RetentionPeriod is how long a member is retained after it went down or left.
	RetentionPeriod = 60 * time.Second
	// ringRetention is how long a member that went down stays on the ring. When many members die at once, this keeps
	// the watchers of the remaining members unchanged until all the dead ones have been detected.
	ringRetention = 5 * time.Second
	// A watcher extends its suspicion timeouts by its own lateness (see RecordDelay) times localLatenessFactor, at most
	// by maxTimeoutExtension. A lateness up to latenessThreshold is normal and ignored. Each further sample reduces the
	// recorded lateness by the fraction 1/latenessDecay.
	localLatenessFactor = 6
	maxTimeoutExtension = 3 * time.Second
	latenessThreshold   = 50 * time.Millisecond
	latenessDecay       = 8
	// A member's suspicion timeout is also extended by the lateness of its heartbeats, which is capped at
	// maxHeartbeatLateness, times heartbeatLatenessFactor.
	heartbeatLatenessFactor = 2
	maxHeartbeatLateness    = SuspicionTimeout
	// maxTickPause is the longest normal pause between two ticks. After a longer one, this process is assumed to have
	// been suspended, and all suspicion timeouts start again.
	maxTickPause = HeartbeatInterval + 300*time.Millisecond
	// refuteInterval is the minimum time between two refutations by the local member.
	refuteInterval = 200 * time.Millisecond
)

// trackedMember is a member with what the table records about it.
type trackedMember struct {
	member             state.Member
	ringPosition       uint64
	onRing             bool
	remoteRank         uint64 // selects the other region's zone that provides a watcher, see remoteZone
	downSince          time.Time
	lastLiveAt         time.Time    // set when the member goes down or leaves
	lastContact        time.Time    // when it last called or responded; zero: never
	noResponseAt       time.Time    // when a call to it last got no response; zero: never
	versionAt          time.Time    // when its newest version arrived
	liveSince          time.Time    // since when its current incarnation is live in this table
	respondedToRelayAt time.Time    // when a relay last reported a response from it; zero: never
	evidenceAt         time.Time    // when it was last known to be alive, see collectEvidence; zero: no evidence
	newestEvidenceAt   time.Time    // the newest evidenceAt of all evaluations
	reachable          bool         // by direct evidence or a chain of watchers, see evaluateConfirmations
	watchers           []*watchLink // to its watchers
	watching           []*watchLink // to the members that it watches
}

// isLive reports whether the member is not down and has not left.
func (m *trackedMember) isLive() bool { return m.downSince.IsZero() && !hasLeft(m.member) }

// Options configures a Table.
type Options struct {
	Self state.Member // the local member, with its Incarnation and Sequence
}

// Table holds all known members, including the local one, and the suspicions about them. It is not safe for concurrent
// use.
type Table struct {
	self             string
	members          map[string]*trackedMember
	removedMembers   map[string]removedMember
	suspicions       map[suspicionID]Suspicion
	watched          map[string]*watchedMember
	ringMembers      []*trackedMember           // by position; nil: must be rebuilt
	liveMembers      []state.Member             // by name; nil: must be rebuilt
	zones            []zoneLocation             // zones with members on the ring, by name
	watchedStale     bool                       // the ring has changed since the last updateWatched
	needsEvaluation  bool                       // suspicions, members or watchers have changed since the last evaluation
	linksStale       bool                       // the ring has changed since the last updateWatchLinks
	lastContacts     map[string]time.Time       // by zone: when one of its members last called or responded
	suspectZones     map[string]time.Time       // by zone: since when it appears unreachable
	doubtful         map[string]*doubtfulMember // by name: suspected members to be probed before they are marked as down
	unconfirmed      map[string]*unconfirmedMember
	lastConfirmation time.Time // when evaluateConfirmations last ran
	inMassFailure    bool      // many members are failing at once, see isConfirmed
	resumedAt        time.Time // when the last pause longer than maxTickPause ended
	revision         uint64    // of the last suspicion or withdrawal that the local member issued
	lastTick         time.Time
	lateness         time.Duration // by how much this process runs behind its schedule, see RecordDelay
	refutedAt        time.Time
	listeners        []func(Change)
}

// removedMember is the part of a removed member that CountRecentlyLive still needs.
type removedMember struct {
	role       state.Role
	lastLiveAt time.Time
}

// Change describes a change of a member: either a new version of it has arrived, after which it is live or has left, or
// it was marked as down.
type Change struct {
	Member state.Member
	Live   bool
	Down   bool
	Reason DownReason // if Down
}

// New returns a table that contains only the local member.
func New(now time.Time, options Options) *Table {
	t := &Table{
		self:           options.Self.Name,
		members:        map[string]*trackedMember{},
		removedMembers: map[string]removedMember{},
		suspicions:     map[suspicionID]Suspicion{},
		watched:        map[string]*watchedMember{},
		lastContacts:   map[string]time.Time{},
		suspectZones:   map[string]time.Time{},
		doubtful:       map[string]*doubtfulMember{},
		unconfirmed:    map[string]*unconfirmedMember{},
		lastTick:       now,
	}
	t.MergeMember(now, options.Self)
	return t
}

// OnChange registers a function that is called synchronously at every change of a member.
func (t *Table) OnChange(listener func(Change)) { t.listeners = append(t.listeners, listener) }

// Self returns the local member.
func (t *Table) Self() state.Member { return t.members[t.self].member }

// IsNewer reports whether one version of a member is newer than the other: by incarnation, then by sequence.
func IsNewer(one, other state.Member) bool {
	if one.Incarnation != other.Incarnation {
		return one.Incarnation > other.Incarnation
	}
	return one.Sequence > other.Sequence
}

// hasLeft reports whether a member has left by a graceful shutdown. An incarnation that has left never returns.
func hasLeft(member state.Member) bool { return member.State == state.MemberLeft }

// MergeMember applies a version of a member that came from the member itself, directly or by gossip. A newer version
// refutes every suspicion about an older one. It returns false if the version doesn't supersede the known one.
func (t *Table) MergeMember(now time.Time, member state.Member) bool {
	tracked, ok := t.members[member.Name]
	if ok && !supersedes(member, tracked.member) {
		return false
	}
	if !ok {
		tracked = &trackedMember{ringPosition: ringPositionOf(member.Name)}
		t.members[member.Name] = tracked
		delete(t.removedMembers, member.Name)
	}
	wasLive := ok && tracked.isLive()
	if !wasLive || tracked.member.Incarnation != member.Incarnation {
		tracked.liveSince = now
	}
	tracked.member = member
	tracked.versionAt = now
	tracked.downSince = time.Time{}
	t.liveMembers = nil
	t.needsEvaluation = true
	if wasLive != tracked.isLive() || tracked.onRing != tracked.isLive() {
		tracked.onRing = tracked.isLive()
		t.invalidateRing()
	}
	if !tracked.isLive() {
		tracked.lastLiveAt = now
	}
	if watched, watching := t.watched[member.Name]; watching {
		watched.restartTimeout(now)
	}
	t.notify(Change{Member: member, Live: tracked.isLive()})
	return true
}

// supersedes reports whether a version of a member replaces the known one: it must be newer, and of a later incarnation
// if the known one has left.
func supersedes(version, known state.Member) bool {
	if hasLeft(known) && version.Incarnation == known.Incarnation {
		return false
	}
	return IsNewer(version, known)
}

// UpdateSelf changes the local member, raises its sequence and returns the new version for gossip. If the member has
// left, UpdateSelf changes nothing and returns the current version.
func (t *Table) UpdateSelf(now time.Time, change func(*state.Member)) state.Member {
	member := t.Self()
	if hasLeft(member) {
		return member
	}
	change(&member)
	member.Sequence++
	t.MergeMember(now, member)
	return member
}

// LiveMembers returns the live members, including the local one, sorted by name. The caller must not modify the slice.
func (t *Table) LiveMembers() []state.Member {
	if t.liveMembers != nil {
		return t.liveMembers
	}
	t.liveMembers = make([]state.Member, 0, len(t.members))
	for _, tracked := range t.members {
		if tracked.isLive() {
			t.liveMembers = append(t.liveMembers, tracked.member)
		}
	}
	slices.SortFunc(t.liveMembers, func(a, b state.Member) int { return cmp.Compare(a.Name, b.Name) })
	return t.liveMembers
}

// DownMembers returns the members that are down and not yet removed, sorted by name.
func (t *Table) DownMembers() []state.Member {
	return t.membersWhere(func(tracked *trackedMember) bool {
		return !tracked.downSince.IsZero() && !hasLeft(tracked.member)
	})
}

// LeftMembers returns the members that have left by a graceful shutdown and are not yet removed, sorted by name.
func (t *Table) LeftMembers() []state.Member {
	return t.membersWhere(func(tracked *trackedMember) bool { return hasLeft(tracked.member) })
}

// membersWhere returns the members that match, sorted by name.
func (t *Table) membersWhere(matches func(*trackedMember) bool) []state.Member {
	var all []state.Member
	for _, tracked := range t.members {
		if matches(tracked) {
			all = append(all, tracked.member)
		}
	}
	slices.SortFunc(all, func(a, b state.Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Member returns the newest version of a known member, live or not.
func (t *Table) Member(name string) (state.Member, bool) {
	tracked, ok := t.members[name]
	if !ok {
		return state.Member{}, false
	}
	return tracked.member, true
}

// IsDown reports whether a member is known and down.
func (t *Table) IsDown(name string) bool {
	since, ok := t.DownSince(name)
	return ok && !since.IsZero()
}

// DownSince returns when a member went down, or the zero time if it isn't down. It returns false if the member isn't
// known.
func (t *Table) DownSince(name string) (time.Time, bool) {
	tracked, ok := t.members[name]
	if !ok {
		return time.Time{}, false
	}
	return tracked.downSince, true
}

// markDown marks a member as down because the majority of its watchers suspect it.
func (t *Table) markDown(now time.Time, tracked *trackedMember) {
	t.markDownFor(now, tracked, SuspectedByWatchers)
}

// markDownFor marks a member as down for a reason.
func (t *Table) markDownFor(now time.Time, tracked *trackedMember, reason DownReason) {
	tracked.downSince = now
	tracked.lastLiveAt = now
	t.liveMembers = nil
	t.invalidateRing() // it stays on the ring for ringRetention, but other members' remoteRank may change
	t.notify(Change{Member: tracked.member, Down: true, Reason: reason})
}

// RemoveDownOrLeft removes a member that is down or has left, without waiting for the end of its RetentionPeriod. It
// returns false if the member isn't known, is live, or is the local one.
func (t *Table) RemoveDownOrLeft(name string) bool {
	tracked, ok := t.members[name]
	if !ok || tracked.isLive() || name == t.self {
		return false
	}
	t.remove(name, tracked)
	return true
}

// remove removes a member and keeps its removedMember.
func (t *Table) remove(name string, tracked *trackedMember) {
	delete(t.members, name)
	delete(t.doubtful, name)
	delete(t.unconfirmed, name)
	t.invalidateRing()
	t.removedMembers[name] = removedMember{role: tracked.member.Role, lastLiveAt: tracked.lastLiveAt}
}

// removeExpired removes the members that have been down or have left for at least RetentionPeriod and returns their
// names, sorted. It also deletes the removedMembers that CountRecentlyLive no longer needs.
func (t *Table) removeExpired(now time.Time) (names []string) {
	for name, tracked := range t.members {
		if name == t.self || tracked.isLive() || now.Sub(tracked.lastLiveAt) < RetentionPeriod {
			continue
		}
		t.remove(name, tracked)
		names = append(names, name)
	}
	for name, removed := range t.removedMembers {
		if now.Sub(removed.lastLiveAt) >= 2*RetentionPeriod {
			delete(t.removedMembers, name)
		}
	}
	slices.Sort(names)
	return names
}

// notify calls the listeners.
func (t *Table) notify(change Change) {
	for _, listener := range t.listeners {
		listener(change)
	}
}
