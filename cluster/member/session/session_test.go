package session_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/transport"
)

func TestATaskIsOneMembersUntilItLetsItGo(t *testing.T) {
	f := keepers(t, 3, leaseTTL)
	a, b := f.member("a", "home/1"), f.member("b")
	watched(t, "home/1", a, b)
	first := awaitHeld(t, a, "home/1")
	b.Acquire("home/1")
	b.Acquire("home/2")
	awaitHeld(t, b, "home/2")
	_, held := b.Holds("home/1")
	require.False(t, held)
	a.Release("home/1")
	_, held = a.Holds("home/1")
	require.False(t, held)
	second := awaitHeld(t, b, "home/1")
	require.Greater(t, second, first)
	a.Acquire("home/1")
	b.Release("home/1")
	require.Greater(t, awaitHeld(t, a, "home/1"), second)
}

// Guards against an entry in the log for each renewal, or for each ask for what another holds.
func TestMembersAtRestWriteNothing(t *testing.T) {
	f := keepers(t, 3, leaseTTL/2)
	a := f.member("a", "home/1")
	awaitHeld(t, a, "home/1")
	b := f.member("b", "home/1", "home/2")
	awaitHeld(t, b, "home/2")
	leader := f.up[f.leader()]
	renewed, entries := leader.RenewalsAccepted.Load(), leader.LastIndex()
	c := f.member("c", "home/1")
	require.Eventually(t, func() bool { return c.IsActive() && leader.RenewalsAccepted.Load() >= renewed+15 }, longTimeout,
		time.Millisecond)
	require.Equal(t, entries+1, leader.LastIndex()) // c's session
}

// A leader that hears no other keeper answers nobody that its session goes on: another may lead by then.
func TestALeaderCutOffRenewsNothing(t *testing.T) {
	f := keepers(t, 3, leaseTTL)
	leader := f.leader()
	say := transport.NewClient("a", f.says)
	defer say.Close()
	renew := func(session cluster.SessionID) (status int, answer transport.SessionResponse) {
		ask := transport.SessionRequest{Member: "a", Session: session, Incarnation: 77}
		status, raw, err := say.Call(leader, transport.SessionPath, transport.Encode(ask), longTimeout)
		require.NoError(t, err)
		transport.Decode(raw, &answer)
		return status, answer
	}
	_, opened := renew(0)
	status, _ := renew(opened.Session)
	require.Equal(t, 200, status)
	f.cut(leader, true, f.names...)
	status, _ = renew(opened.Session)
	require.Equal(t, 421, status)
}

func TestGrantsOutliveTheLeader(t *testing.T) {
	t.Parallel()
	f := keepers(t, 3, 2*leaseTTL)
	a, b := f.member("a", "home/1"), f.member("b")
	watched(t, "home/1", a, b)
	epoch := awaitHeld(t, a, "home/1")
	b.Acquire("home/1")
	old := f.leader()
	f.cut(old, true, append(slices.Clone(f.names), "a", "b")...)
	f.leader(old)
	require.Eventually(t, func() bool { return f.up[old].LeadershipsLost.Load() > 0 }, longTimeout, time.Millisecond)
	time.Sleep(2 * 2 * time.Second) // two terms
	still, held := a.Holds("home/1")
	require.True(t, held)
	require.Equal(t, epoch, still)
	f.cut(old, false, append(slices.Clone(f.names), "a", "b")...)
	a.Close()
	require.Greater(t, awaitHeld(t, b, "home/1"), epoch)
}

func TestWhoeverIsCutOffHoldsNoMoreBeforeAnotherDoes(t *testing.T) {
	t.Parallel()
	f := keepers(t, 3, leaseTTL)
	a, b := f.member("a", "home/1"), f.member("b")
	watched(t, "home/1", a, b)
	epoch := awaitHeld(t, a, "home/1")
	b.Acquire("home/1")
	f.cut("a", true, f.names...)
	later := awaitHeld(t, b, "home/1")
	require.Greater(t, later, epoch)
	f.cut("a", false, f.names...)
	b.Close()
	require.Greater(t, awaitHeld(t, a, "home/1"), later)
}

func TestWithoutAMajorityNothingIsHeldAndItComesBackByItself(t *testing.T) {
	t.Parallel()
	f := keepers(t, 3, leaseTTL)
	a := f.member("a", "home/1")
	epoch := awaitHeld(t, a, "home/1")
	f.stop("m1")
	f.stop("m2")
	require.Eventually(t, func() bool {
		_, held := a.Holds("home/1")
		return !held && f.up["m3"].QuorumLosses.Load() > 0 && a.SessionsLost.Load() > 0
	}, longTimeout, time.Millisecond)
	b := f.member("b", "home/2")
	time.Sleep(time.Second)
	_, held := b.Holds("home/2")
	require.False(t, held)
	f.start("m1")
	require.GreaterOrEqual(t, awaitHeld(t, a, "home/1"), epoch)
	awaitHeld(t, b, "home/2")
}

// All keepers end and start again from what they have on disk: the session and its grants are there.
func TestGrantsOutliveAllKeepersEnding(t *testing.T) {
	t.Parallel()
	f := keepers(t, 3, 4*leaseTTL)
	a, b := f.member("a", "home/1", "home/2"), f.member("b")
	watched(t, "home/1", a, b)
	epoch := awaitHeld(t, a, "home/1")
	b.Acquire("home/1")
	f.leader()
	for _, m := range f.names {
		f.stop(m)
	}
	for _, m := range f.names {
		f.start(m)
	}
	leader := f.up[f.leader()]
	require.Eventually(t, func() bool { return leader.RenewalsAccepted.Load() > 4 }, longTimeout, time.Millisecond)
	require.Equal(t, epoch, awaitHeld(t, a, "home/1"))
}

func TestNewStateReachesWhoeverFollows(t *testing.T) {
	t.Parallel()
	f := keepers(t, 3, leaseTTL)
	a := f.member("a")
	var seen atomic.Pointer[lease.Table]
	var versions []uint64
	a.Watch(cluster.LeaseComponent, func(version uint64, snapshot []byte) {
		versions = append(versions, version)
		book := lease.NewTable()
		if book.Restore(snapshot) == nil {
			seen.Store(book)
		}
	})
	knows := func(by *session.Session, task cluster.Resource) {
		epoch := awaitHeld(t, by, task)
		require.Eventually(t, func() bool {
			book := seen.Load()
			return book != nil && book.IsCurrent(task, epoch)
		}, longTimeout, time.Millisecond)
	}
	b := f.member("b", "home/1")
	knows(b, "home/1")
	for i, m := range f.names { // one that is cut off has nothing new
		f.cut(m, true, f.names...)
		task := cluster.RangeOwnerResource(cluster.RangeID(10 + i))
		b.Acquire(task)
		knows(b, task)
		f.cut(m, false, f.names...)
	}
	many := make([]cluster.Resource, 0, 200)
	for i := range cap(many) {
		many = append(many, cluster.RangeOwnerResource(cluster.RangeID(100+i)))
		b.Acquire(many[i])
	}
	for i, task := range append(many, "home/13", "home/14") { // guards against the whole at each step
		if i >= len(many) {
			b.Acquire(task)
		}
		knows(b, task)
	}
	require.Positive(t, a.DeltasApplied.Load())
	a.Close()
	require.True(t, slices.IsSorted(versions))
}
