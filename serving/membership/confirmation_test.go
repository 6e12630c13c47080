package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// tickWithProbes ticks a table for a span of time and answers its probes for the members that isAlive reports. With
// inContact, these members also call the local member before each tick. It returns the time at the end.
func tickWithProbes(table *Table, from time.Time, span time.Duration, inContact bool,
	isAlive func(string) bool) time.Time {
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

// mergeSuspicionsOfSurvivors applies a suspicion by every survivor about every other member. Those by survivors that
// aren't watchers of the member have no vote.
func mergeSuspicionsOfSurvivors(table *Table, survives func(string) bool) {
	for _, member := range table.LiveMembers() {
		for _, watcher := range table.LiveMembers() {
			if survives(watcher.Name) && !survives(member.Name) {
				table.MergeSuspicion(suspicionBy(watcher, member))
			}
		}
	}
}

// TestConfirmation_MembersLostWithAllTheirWatchers guards against dead members that stay live because nobody suspects
// them: only the local member and one other survive, and most of the dead members watched each other.
func TestConfirmation_MembersLostWithAllTheirWatchers(t *testing.T) {
	table := tableOf(membersInZones(24, "a1", "a2", "b1")...)
	now := tickWithProbes(table, startTime, 20*time.Second, true, func(string) bool { return true })
	require.Len(t, table.LiveMembers(), 24)
	survives := func(name string) bool { return name == "m1" }
	now = tickWithProbes(table, now, SuspicionTimeout, true, survives)
	mergeSuspicionsOfSurvivors(table, survives)
	tickWithProbes(table, now, 7*time.Second-SuspicionTimeout, true, survives)
	assert.Equal(t, []string{"m0", "m1"}, namesOf(table.LiveMembers()))
}

// TestConfirmation_MembersThatRespondStayLive guards against live members that are marked as down because there is no
// evidence that they are alive: their watchers are dead or not known. They respond to probes only.
func TestConfirmation_MembersThatRespondStayLive(t *testing.T) {
	table := tableOf(membersInZones(24, "a1", "a2", "b1")...)
	now := tickWithProbes(table, startTime, 20*time.Second, true, func(string) bool { return true })
	survives := func(name string) bool { return name == "m1" || name == "m5" || name == "m9" }
	mergeSuspicionsOfSurvivors(table, survives)
	tickWithProbes(table, now, 30*time.Second, false, survives)
	assert.Equal(t, []string{"m0", "m1", "m5", "m9"}, namesOf(table.LiveMembers()))
}

// TestConfirmation_RelaysDecideAboutReachableMembers guards against members that are marked as down although only the
// local member's own path to them is lost.
func TestConfirmation_RelaysDecideAboutReachableMembers(t *testing.T) {
	for _, responds := range []bool{false, true} {
		table, member, _ := newTableWithUnwatchedMember(t)
		now := startTime.Add(time.Second)
		for _, other := range table.LiveMembers() {
			if other.Name != member.Name {
				table.RecordContact(now, other.Name)
			}
		}
		table.unconfirmed[member.Name] = &unconfirmedMember{since: now}
		table.members[member.Name].reachable = true
		assert.Empty(t, table.UnconfirmedToProbe(now, inOrder)[0].Relays, "the first probe is the local member's alone")
		table.RecordProbeFailure(now, member.Name)
		relays := table.UnconfirmedToProbe(now, inOrder)[0].Relays
		assert.Len(t, relays, maxRelays)
		table.RecordProbeFailure(now, member.Name)
		later := now.Add(minReachableUnconfirmedPeriod)
		for range relays {
			assert.False(t, table.isUnresponsive(later, member.Name), "a relay hasn't answered yet")
			table.RecordRelayedProbe(now, member.Name, responds)
		}
		assert.Equal(t, responds, !table.directEvidence(later, table.members[member.Name]).IsZero())
		assert.False(t, table.isUnresponsive(later.Add(-time.Millisecond), member.Name))
		assert.True(t, table.isUnresponsive(later, member.Name))
	}
}

// TestConfirmation_SilenceOfLaterWatchers guards against evidence from a watcher that was assigned after the member's
// death. Such a watcher may already have considered the member down, and then never suspects it.
func TestConfirmation_SilenceOfLaterWatchers(t *testing.T) {
	died := startTime.Add(time.Minute)
	for _, aliveAfter := range []time.Duration{-time.Millisecond, time.Millisecond} {
		watcher := &trackedMember{member: memberIn("watcher", "a1", "a"), evidenceAt: died.Add(10 * time.Second)}
		link := watchLink{watcher: watcher, member: &trackedMember{newestEvidenceAt: died.Add(aliveAfter)}, since: died}
		link.member.member = memberIn("member", "a1", "a")
		link.propagateEvidence(died.Add(10 * time.Second))
		assert.Equal(t, aliveAfter > 0, !link.member.evidenceAt.IsZero())
	}
}

// TestTick_WatcherSuspectsMembersMarkedDown guards against a watcher that issues no suspicion about a member because it
// has already marked it as down. Members that missed the other watchers' suspicions would take its silence as evidence
// that the member is alive.
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

// TestOverdueMembers_AreCalledBeforeTheyAreSuspected guards against suspicions about live members that still send their
// heartbeats to their previous watchers because they know an older version of the ring.
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
