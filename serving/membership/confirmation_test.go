package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// runProbed ticks a table for a time. The live members are in contact all the while, if inContact is set, or respond to
// probes only; the others are silent.
func runProbed(table *Table, from time.Time, span time.Duration, inContact bool, isAlive func(string) bool) time.Time {
	now := from
	for ; now.Before(from.Add(span)); now = now.Add(confirmationInterval) {
		for _, member := range table.LiveMembers() {
			if inContact && isAlive(member.Name) {
				table.RecordContact(now, member.Name)
			}
		}
		table.Tick(now)
		for _, probe := range table.UnconfirmedToProbe(now, inOrder) {
			if isAlive(probe.Member.Name) {
				table.RecordContact(now, probe.Member.Name)
			} else {
				table.RecordProbeFailure(now, probe.Member.Name)
			}
			for range probe.Relays {
				table.RecordRelayedProbe(now, probe.Member.Name, false)
			}
		}
	}
	return now
}

// suspectLost applies the suspicions of the survivors about all other members: only those of their watchers count.
func suspectLost(table *Table, survives func(string) bool) {
	for _, member := range table.LiveMembers() {
		for _, watcher := range table.LiveMembers() {
			if survives(watcher.Name) && !survives(member.Name) {
				table.MergeSuspicion(suspicionBy(watcher, member))
			}
		}
	}
}

// TestConfirmation_MembersLostWithAllTheirWatchers guards against members that nobody ever suspects: the local member and
// one more survive, in a system in which the dead watch each other.
func TestConfirmation_MembersLostWithAllTheirWatchers(t *testing.T) {
	table := tableOf(membersInZones(24, "a1", "a2", "b1")...)
	now := runProbed(table, startTime, 20*time.Second, true, func(string) bool { return true })
	require.Len(t, table.LiveMembers(), 24)
	survives := func(name string) bool { return name == "m1" }
	now = runProbed(table, now, SuspicionTimeout, true, survives)
	suspectLost(table, survives)
	runProbed(table, now, 7*time.Second-SuspicionTimeout, true, survives)
	assert.Equal(t, []string{"m0", "m1"}, namesOf(table.LiveMembers()))
}

// TestConfirmation_MembersThatRespondStayLive guards against members that are marked as down because no news of them
// comes: their watchers are dead or unknown.
func TestConfirmation_MembersThatRespondStayLive(t *testing.T) {
	table := tableOf(membersInZones(24, "a1", "a2", "b1")...)
	now := runProbed(table, startTime, 20*time.Second, true, func(string) bool { return true })
	survives := func(name string) bool { return name == "m1" || name == "m5" || name == "m9" }
	suspectLost(table, survives)
	runProbed(table, now, 30*time.Second, false, survives)
	assert.Equal(t, []string{"m0", "m1", "m5", "m9"}, namesOf(table.LiveMembers()))
}

// TestConfirmation_RelaysDecideAboutReachableMembers guards against members that are marked as down although only the
// local member's own path to them is lost.
func TestConfirmation_RelaysDecideAboutReachableMembers(t *testing.T) {
	for _, responds := range []bool{false, true} {
		table, member, _ := newUnwatchedMember(t)
		now := startTime.Add(time.Second)
		for _, other := range table.LiveMembers() {
			if other.Name != member.Name {
				table.RecordContact(now, other.Name)
			}
		}
		table.unconfirmed[member.Name] = &unconfirmedMember{since: now}
		table.members[member.Name].reachable = true
		assert.Empty(t, table.UnconfirmedToProbe(now, inOrder)[0].Relays, "at first a call of its own")
		table.RecordProbeFailure(now, member.Name)
		relays := table.UnconfirmedToProbe(now, inOrder)[0].Relays
		assert.Len(t, relays, maxRelays)
		table.RecordProbeFailure(now, member.Name)
		later := now.Add(minReachableUnconfirmedPeriod)
		for range relays {
			assert.False(t, table.isUnresponsive(later, member.Name), "a relay may still have contact")
			table.RecordRelayedProbe(now, member.Name, responds)
		}
		assert.Equal(t, responds, !table.directEvidence(later, table.members[member.Name]).IsZero())
		assert.False(t, table.isUnresponsive(later.Add(-time.Millisecond), member.Name))
		assert.True(t, table.isUnresponsive(later, member.Name))
	}
}

// TestConfirmation_SilenceOfLaterWatchers guards against evidence from a watcher that began to watch after the member's
// death: it may have taken it for down before, and so never suspects it.
func TestConfirmation_SilenceOfLaterWatchers(t *testing.T) {
	died := startTime.Add(time.Minute)
	for _, aliveAfter := range []time.Duration{-time.Millisecond, time.Millisecond} {
		watcher := &trackedMember{member: memberIn("watcher", "a1", "a"), evidence: died.Add(10 * time.Second)}
		link := watchLink{watcher: watcher, member: &trackedMember{aliveAt: died.Add(aliveAfter)}, since: died}
		link.member.member = memberIn("member", "a1", "a")
		link.passEvidence(died.Add(10 * time.Second))
		assert.Equal(t, aliveAfter > 0, !link.member.evidence.IsZero())
	}
}

// TestTick_WatcherSuspectsMembersMarkedDown guards against watchers whose silence tells members that have missed the
// suspicions of others that a dead member is alive.
func TestTick_WatcherSuspectsMembersMarkedDown(t *testing.T) {
	table := tableOf(membersInZones(10, "a1", "a2", "b1")...)
	table.Tick(startTime)
	for name := range table.watched {
		table.markDown(startTime, table.members[name])
	}
	suspicions, _ := table.Tick(startTime.Add(time.Millisecond))
	assert.Len(t, suspicions, len(table.watched))
	assert.NotEmpty(t, suspicions)
}

// TestOverdueMembers_AreCalledBeforeTheyAreSuspected guards against suspicions about members that send their heartbeats
// to others because they know an older ring.
func TestOverdueMembers_AreCalledBeforeTheyAreSuspected(t *testing.T) {
	table := tableOf(memberIn("self", "a1", "a"), memberIn("other", "a1", "a"))
	table.Tick(startTime)
	now := startTime
	for range 20 {
		assert.Empty(t, table.OverdueMembers(now.Add(HeartbeatInterval)))
		now = now.Add(SuspicionTimeout - HeartbeatInterval/2)
		assert.Equal(t, []string{"other"}, namesOf(table.OverdueMembers(now)))
		table.RecordContact(now, "other") // its response
		for at := now.Add(-SuspicionTimeout / 2); !at.After(now); at = at.Add(HeartbeatInterval / 2) {
			table.Tick(at)
		}
		require.Equal(t, []state.Member{table.Self()}, table.LiveMembers()[1:], "other is live")
	}
}
