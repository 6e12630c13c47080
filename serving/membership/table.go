// Package membership is the system's failure detector: it knows which members are alive, down or have left. Every
// member sends heartbeats to a few watchers, which its position on a hash ring determines; a member that the majority
// of its watchers suspects is down. Versions of members and suspicions are gossiped; a suspicion is refuted by a higher
// sequence, as in SWIM (Das, Gupta and Motivala, 2002, section 4.2). The package does no I/O: times are arguments.
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
	// ringRetention is how long a member that went down stays on the ring. When many go down at once, the watchers of
	// the others so stay the same until all of them have been detected.
	ringRetention = 5 * time.Second
	// localLatenessFactor is the multiple of its own lateness by which a watcher extends its suspicion timeouts, up to
	// maxTimeoutExtension. Lateness up to latenessThreshold is normal and ignored; a recorded lateness falls by one
	// part in latenessDecay with each further sample.
	localLatenessFactor = 6
	maxTimeoutExtension = 3 * time.Second
	latenessThreshold   = 50 * time.Millisecond
	latenessDecay       = 8
	// heartbeatLatenessFactor is the multiple of the lateness of a member's heartbeats, of maxHeartbeatLateness at
	// most, by which its suspicion timeout is extended.
	heartbeatLatenessFactor = 2
	maxHeartbeatLateness    = SuspicionTimeout
	// maxTickPause is the longest normal pause between two ticks. After a longer one, in which this process didn't run,
	// all suspicion timeouts begin anew.
	maxTickPause = HeartbeatInterval + 300*time.Millisecond
	// refuteInterval is the least time between two refutations.
	refuteInterval = 200 * time.Millisecond
)

// trackedMember is a member with its state in the table.
type trackedMember struct {
	member        state.Member
	ringPosition  uint64
	onRing        bool
	remoteRank    uint64 // selects the zone of another region in which it is watched, see remoteZone
	downSince     time.Time
	lastLiveAt    time.Time // valid once the member is no longer live
	lastContact   time.Time // when its last call or answer came; zero: never
	noResponseAt  time.Time // when a call to it last had no response; zero: never
	versionAt     time.Time // when its newest version came
	liveSince     time.Time // of its incarnation, in this table
	probedByOther time.Time // when it last responded to another member's probe
	evidence      time.Time // when it was alive at the latest, as far as known, see collectEvidence
	aliveAt       time.Time // the latest evidence that there has been
	reachable     bool      // by a chain of watchers
	watchers      []*watchLink
	watching      []*watchLink // of which it is the watcher
}

// isLive reports whether the member is neither down nor departed.
func (m *trackedMember) isLive() bool { return m.downSince.IsZero() && !isDeparted(m.member) }

// Options configures a Table.
type Options struct {
	Self state.Member // the local member, with its Incarnation and Sequence
}

// Table holds all members, the local one among them, and the suspicions about them. It is not safe for concurrent use.
type Table struct {
	self            string
	members         map[string]*trackedMember
	forgotten       map[string]forgottenMember
	suspicions      map[suspicionID]Suspicion
	watched         map[string]*watchedMember
	ringMembers     []*trackedMember     // by position; nil: to be rebuilt
	liveMembers     []state.Member       // by name; nil: to be rebuilt
	zones           []zoneLocation       // that have members on the ring, by name
	watchedStale    bool                 // the ring has changed since updateWatched
	needsEvaluation bool                 // suspicions, members or watchers have changed since the last evaluation
	linksStale      bool                 // the ring has changed since updateWatchLinks
	lastContacts    map[string]time.Time // by zone: when the last call or answer came from it
	suspectZones    map[string]time.Time // by zone: since when it seems to be unreachable
	doubtful        map[string]*doubt    // by name: members to be probed before they are marked as down
	unconfirmed     map[string]*unconfirmedMember
	confirmedAt     time.Time // of the last evaluateConfirmations
	limitsEvidence  bool      // many members fail, see isConfirmed
	resumedAt       time.Time // after the last long pause between two ticks
	revision        uint64    // of the last suspicion or withdrawal that was issued here
	lastTick        time.Time
	lateness        time.Duration // of this process with what it planned, see RecordDelay
	refutedAt       time.Time
	listeners       []func(Change)
}

// forgottenMember is what remains of a removed member for CountRecentlyLive.
type forgottenMember struct {
	role       state.Role
	lastLiveAt time.Time
}

// Change is a change of a member: a new version of it, after which it is live or has left, or its going down.
type Change struct {
	Member state.Member
	Live   bool
	Down   bool
	Reason DownReason // if Down
}

// New returns a table with the local member alone.
func New(now time.Time, options Options) *Table {
	t := &Table{
		self:         options.Self.Name,
		members:      map[string]*trackedMember{},
		forgotten:    map[string]forgottenMember{},
		suspicions:   map[suspicionID]Suspicion{},
		watched:      map[string]*watchedMember{},
		lastContacts: map[string]time.Time{},
		suspectZones: map[string]time.Time{},
		doubtful:     map[string]*doubt{},
		unconfirmed:  map[string]*unconfirmedMember{},
		lastTick:     now,
	}
	t.MergeMember(now, options.Self)
	return t
}

// OnChange registers a function that is called, synchronously, at every change of a member.
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

// isDeparted reports whether a member has left by a graceful shutdown, which is final for its incarnation.
func isDeparted(member state.Member) bool { return member.State == state.MemberLeft }

// MergeMember applies a version of a member that came from the member itself, directly or by gossip. A newer version
// refutes every suspicion about an older one. It returns false where the version isn't newer.
func (t *Table) MergeMember(now time.Time, member state.Member) bool {
	tracked, ok := t.members[member.Name]
	if ok && !supersedes(member, tracked.member) {
		return false
	}
	if !ok {
		tracked = &trackedMember{ringPosition: ringPositionOf(member.Name)}
		t.members[member.Name] = tracked
		delete(t.forgotten, member.Name)
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
		watched.restart(now)
	}
	t.notify(Change{Member: member, Live: tracked.isLive()})
	return true
}

// supersedes reports whether a version of a member replaces the known one.
func supersedes(version, known state.Member) bool {
	if isDeparted(known) && version.Incarnation == known.Incarnation {
		return false
	}
	return IsNewer(version, known)
}

// UpdateSelf changes the local member, raises its sequence and returns the new version for gossip. After the member has
// left it changes nothing.
func (t *Table) UpdateSelf(now time.Time, change func(*state.Member)) state.Member {
	member := t.Self()
	if isDeparted(member) {
		return member
	}
	change(&member)
	member.Sequence++
	t.MergeMember(now, member)
	return member
}

// LiveMembers returns the live members, the local one among them, by name. The caller must not modify the slice.
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

// DownMembers returns the members that are down and not removed yet, by name.
func (t *Table) DownMembers() []state.Member {
	return t.membersWhere(func(tracked *trackedMember) bool {
		return !tracked.downSince.IsZero() && !isDeparted(tracked.member)
	})
}

// LeftMembers returns the members that have left by a graceful shutdown and are not removed yet, by name.
func (t *Table) LeftMembers() []state.Member {
	return t.membersWhere(func(tracked *trackedMember) bool { return isDeparted(tracked.member) })
}

// membersWhere returns the members that match, by name.
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

// DownSince returns when a member went down, zero where it hasn't; false where the member isn't known.
func (t *Table) DownSince(name string) (time.Time, bool) {
	tracked, ok := t.members[name]
	if !ok {
		return time.Time{}, false
	}
	return tracked.downSince, true
}

// markDown marks a member as down that most of its watchers suspect.
func (t *Table) markDown(now time.Time, tracked *trackedMember) {
	t.markDownFor(now, tracked, SuspectedByWatchers)
}

// markDownFor marks a member as down.
func (t *Table) markDownFor(now time.Time, tracked *trackedMember, reason DownReason) {
	tracked.downSince = now
	tracked.lastLiveAt = now
	t.liveMembers = nil
	t.invalidateRing() // it stays on the ring, but the remoteRank of others may change
	t.notify(Change{Member: tracked.member, Down: true, Reason: reason})
}

// RemoveTerminated removes a member that is down or has left before its RetentionPeriod is over. It returns false where
// the member isn't known, is live, or is the local one.
func (t *Table) RemoveTerminated(name string) bool {
	tracked, ok := t.members[name]
	if !ok || tracked.isLive() || name == t.self {
		return false
	}
	t.remove(name, tracked)
	return true
}

// remove removes a member.
func (t *Table) remove(name string, tracked *trackedMember) {
	delete(t.members, name)
	delete(t.doubtful, name)
	delete(t.unconfirmed, name)
	t.invalidateRing()
	t.forgotten[name] = forgottenMember{role: tracked.member.Role, lastLiveAt: tracked.lastLiveAt}
}

// removeExpired removes the members that have been down or departed for RetentionPeriod and returns their names,
// sorted.
func (t *Table) removeExpired(now time.Time) (names []string) {
	for name, tracked := range t.members {
		if name == t.self || tracked.isLive() || now.Sub(tracked.lastLiveAt) < RetentionPeriod {
			continue
		}
		t.remove(name, tracked)
		names = append(names, name)
	}
	for name, forgotten := range t.forgotten {
		if now.Sub(forgotten.lastLiveAt) >= 2*RetentionPeriod {
			delete(t.forgotten, name)
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
