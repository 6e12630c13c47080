// Package membership knows which members of the system are alive. Every member sends heartbeats to a few watchers
// that its place on a hash ring names; a member that the majority of its watchers no longer hear is down. The
// package does no input or output: time is passed in.
package membership

import (
	"cmp"
	"slices"
	"time"

	"rowanlink/serving/state"
)

// Times of the failure detection.
const (
	// HeartbeatInterval is the time between two heartbeats to a watcher of the own region.
	HeartbeatInterval = 400 * time.Millisecond
	// RemoteIntervalFactor is how many times rarer heartbeats to a watcher of another region are.
	RemoteIntervalFactor = 3
	// SuspicionTimeout is how long a watcher waits for a heartbeat before it suspects the member.
	SuspicionTimeout = 1200 * time.Millisecond
	// RemoteSuspicionTimeout is Patience for a member of another region.
	RemoteSuspicionTimeout = 2200 * time.Millisecond
	// RetentionPeriod is how long a member stays known after it went down or left.
	RetentionPeriod = 60 * time.Second
	// ringHold is how long a member that went down keeps its place on the ring. When many go at once the watchers of
	// the others so stay who they are until all of them have been judged.
	ringHold = 5 * time.Second
	// latePatience is how many times its own lateness a watcher adds to its patience, up to latePatienceMost. Lateness
	// below lateLeast is usual, and what was noted falls by a part in lateDecay with each new reading.
	latePatience     = 6
	latePatienceMost = 3 * time.Second
	lateLeast        = 50 * time.Millisecond
	lateDecay        = 8
	// lateHeartbeats is how many times the lateness of a member's heartbeats, of lateHeartbeatMost at most, is added.
	lateHeartbeats    = 2
	lateHeartbeatMost = SuspicionTimeout
	// standstill is a pause between two ticks that says that this process was frozen or late itself.
	standstill = HeartbeatInterval + 300*time.Millisecond
	// refuteInterval is the least time between two refutations.
	refuteInterval = 200 * time.Millisecond
)

// known is what the table holds of a member.
type known struct {
	member    state.Member
	place     uint64 // on the ring
	onRing    bool
	turn      uint64 // decides in which other region's zone it is watched
	downSince time.Time
	lastLive  time.Time // kept up to date only from the moment at which the member is not live any more
}

// live tells whether the member takes part.
func (k *known) live() bool { return k.downSince.IsZero() && !hasLeft(k.member) }

// Options tells a table whose it is.
type Options struct {
	Self state.Member // with its Incarnation and Sequence
}

// Table holds all members, the own among them. It is for one goroutine.
type Table struct {
	self       string
	members    map[string]*known
	departed   map[string]departure
	suspicions map[suspicionID]Suspicion
	watched    map[string]*watch
	ring       []*known             // members on the ring by place; nil: to be made anew
	sorted     []state.Member       // live members by name; nil: to be made anew
	zones      []zonePlace          // that have members on the ring, by name
	watchStale bool                 // the ring has changed since the watched members were looked up
	unjudged   bool                 // words, members or watchers have changed since the last judgement
	watchers   map[string][]*known  // as far as looked up since the ring changed
	contacts   map[string]time.Time // by zone: when a call or an answer from it came last
	doubts     map[string]time.Time // by zone: since when it seems to be out of reach
	wordCount  uint64               // of the own suspicions and withdrawals
	lastTick   time.Time
	late       time.Duration // how late this process has lately been with its own plans
	refutedAt  time.Time
	listeners  []func(Change)
}

// departure is when a forgotten member was live last.
type departure struct {
	role     state.Role
	lastLive time.Time
}

// Change is a step in a member's life.
type Change struct {
	Member state.Member
	Live   bool
	Down   bool
}

// New makes a table that knows the own member alone.
func New(now time.Time, options Options) *Table {
	t := &Table{
		self:       options.Self.Name,
		members:    map[string]*known{},
		departed:   map[string]departure{},
		suspicions: map[suspicionID]Suspicion{},
		watched:    map[string]*watch{},
		watchers:   map[string][]*known{},
		contacts:   map[string]time.Time{},
		doubts:     map[string]time.Time{},
		lastTick:   now,
	}
	t.MergeMember(now, options.Self)
	return t
}

// OnChange has the function called at every change of a member.
func (t *Table) OnChange(call func(Change)) { t.listeners = append(t.listeners, call) }

// Self returns the own member.
func (t *Table) Self() state.Member { return t.members[t.self].member }

// IsNewer tells whether a member's word on itself is newer than another.
func IsNewer(one, other state.Member) bool {
	if one.Incarnation != other.Incarnation {
		return one.Incarnation > other.Incarnation
	}
	return one.Sequence > other.Sequence
}

// hasLeft tells whether a member has ended by plan, which is final for its incarnation.
func hasLeft(member state.Member) bool { return member.State == state.MemberLeft }

// MergeMember takes in a member's word on itself. A newer word ends every suspicion of an older one. It returns false
// where the word is no news.
func (t *Table) MergeMember(now time.Time, member state.Member) bool {
	found, ok := t.members[member.Name]
	if ok && (!IsNewer(member, found.member) || hasLeft(found.member) && member.Incarnation == found.member.Incarnation) {
		return false
	}
	if !ok {
		found = &known{place: placeOf(member.Name)}
		t.members[member.Name] = found
		delete(t.departed, member.Name)
	}
	wasLive := ok && found.live()
	found.member = member
	found.downSince = time.Time{}
	t.sorted, t.unjudged = nil, true
	if wasLive != found.live() || found.onRing != found.live() {
		found.onRing = found.live()
		t.dropRing()
	}
	if !found.live() {
		found.lastLive = now
	}
	if seen, watching := t.watched[member.Name]; watching {
		seen.renew(now)
	}
	t.tell(Change{Member: member, Live: found.live()})
	return true
}

// UpdateSelf changes the own member's word on itself and returns the new one.
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

// LiveMembers returns all live members, by name. The caller must not change the slice.
func (t *Table) LiveMembers() []state.Member {
	if t.sorted != nil {
		return t.sorted
	}
	t.sorted = make([]state.Member, 0, len(t.members))
	for _, found := range t.members {
		if found.live() {
			t.sorted = append(t.sorted, found.member)
		}
	}
	slices.SortFunc(t.sorted, func(a, b state.Member) int { return cmp.Compare(a.Name, b.Name) })
	return t.sorted
}

// DownMembers returns the members that are known to be down, by name.
func (t *Table) DownMembers() []state.Member {
	return t.all(func(found *known) bool { return !found.downSince.IsZero() && !hasLeft(found.member) })
}

// LeftMembers returns the members that have ended by plan and are not forgotten yet, by name.
func (t *Table) LeftMembers() []state.Member {
	return t.all(func(found *known) bool { return hasLeft(found.member) })
}

// all returns the members of which something holds, by name.
func (t *Table) all(holds func(*known) bool) []state.Member {
	var all []state.Member
	for _, found := range t.members {
		if holds(found) {
			all = append(all, found.member)
		}
	}
	slices.SortFunc(all, func(a, b state.Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Member returns what is known of a member, live or not.
func (t *Table) Member(name string) (state.Member, bool) {
	found, ok := t.members[name]
	if !ok {
		return state.Member{}, false
	}
	return found.member, true
}

// IsDown tells whether a member is known and down.
func (t *Table) IsDown(name string) bool {
	since, ok := t.DownSince(name)
	return ok && !since.IsZero()
}

// DownSince is when a known member went down; zero where it has not.
func (t *Table) DownSince(name string) (time.Time, bool) {
	found, ok := t.members[name]
	if !ok {
		return time.Time{}, false
	}
	return found.downSince, true
}

// setDown marks a member as down.
func (t *Table) setDown(now time.Time, found *known) {
	found.downSince, found.lastLive = now, now
	t.sorted = nil
	t.dropRing() // it keeps its place, but others may take its turn
	t.tell(Change{Member: found.member, Down: true})
}

// RemoveTerminated drops a member that is down or has left, before its time. It returns false where it is live.
func (t *Table) RemoveTerminated(name string) bool {
	found, ok := t.members[name]
	if !ok || found.live() || name == t.self {
		return false
	}
	t.drop(name, found)
	return true
}

// drop takes a member out.
func (t *Table) drop(name string, found *known) {
	delete(t.members, name)
	t.dropRing()
	t.departed[name] = departure{role: found.member.Role, lastLive: found.lastLive}
}

// forget drops the members that went long ago and returns their names.
func (t *Table) forget(now time.Time) (names []string) {
	for name, found := range t.members {
		if name == t.self || found.live() || now.Sub(found.lastLive) < RetentionPeriod {
			continue
		}
		t.drop(name, found)
		names = append(names, name)
	}
	for name, gone := range t.departed {
		if now.Sub(gone.lastLive) >= 2*RetentionPeriod {
			delete(t.departed, name)
		}
	}
	slices.Sort(names)
	return names
}

func (t *Table) tell(change Change) {
	for _, call := range t.listeners {
		call(change)
	}
}
