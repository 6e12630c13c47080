package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
)

// randomCommand generates commands, mostly about sessions and leases that exist.
func randomCommand(t *rapid.T, table *Table) cluster.Command {
	session := rapid.SampledFrom(append(table.Sessions(), 7777)).Draw(t, "session")
	resource := rapid.SampledFrom([]cluster.Resource{"conduct", "home/1", "home/2", "site/depot"})
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1:
		return OpenSession(rapid.SampledFrom([]cluster.MemberID{"m1", "m2"}).Draw(t, "member"),
			Incarnation(rapid.IntRange(0, 1).Draw(t, "incarnation")))
	case 2:
		return EndSession(session)
	case 3:
		before := LeaderEpoch(rapid.IntRange(0, 1).Draw(t, "before"))
		return ExpireSession(ExpiredSession{Session: session, LeaderEpoch: max(table.LeaderEpoch()-before, 1)})
	case 4:
		return BeginLeaderEpoch()
	case 5, 6:
		one := resource.Draw(t, "resource")
		return ReleaseLease(session, one, max(table.LastEpoch(one), 1))
	default:
		return AcquireLeases(session, rapid.SliceOfNDistinct(resource, 1, 4, rapid.ID).Draw(t, "resources")...)
	}
}

// Each lease has one holder, with an epoch above all epochs before. A rejected operation changes nothing. A table
// that is restored at any point continues exactly as the original.
func TestTable_RandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		twin := NewTable()
		highest := map[cluster.Resource]cluster.Epoch{}
		index := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "operations") {
			index += rapid.Uint64Range(1, 3).Draw(t, "index")
			before, err := table.Snapshot()
			require.NoError(t, err)
			c := randomCommand(t, table)
			raw, err := table.Apply(index, c.Body)
			after, _ := table.Snapshot()
			if err != nil {
				assert.Equal(t, before, after)
			}
			require.NoError(t, twin.Restore(before))
			twinRaw, twinErr := twin.Apply(index, c.Body)
			twinAfter, _ := twin.Snapshot()
			assert.Equal(t, []any{raw, err, after}, []any{twinRaw, twinErr, twinAfter})
			if err == nil {
				checkResult(t, table, raw, highest)
			}
			checkTable(t, table)
		}
	})
}

func checkResult(t *rapid.T, table *Table, raw []byte, highest map[cluster.Resource]cluster.Epoch) {
	t.Helper()
	result, err := DecodeResult(raw)
	require.NoError(t, err)
	for _, g := range result.Grants {
		holder, held := table.Holder(g.Resource)
		require.True(t, held)
		if g.Err() != nil {
			assert.NotEqual(t, result.Session, holder.Session, "rejected although its own")
			continue
		}
		assert.Equal(t, []any{result.Session, holder.Epoch}, []any{holder.Session, g.Epoch})
		assert.GreaterOrEqual(t, g.Epoch, highest[g.Resource])
		highest[g.Resource] = g.Epoch
	}
}

func checkTable(t *rapid.T, table *Table) {
	t.Helper()
	held := map[cluster.Resource]cluster.SessionID{}
	for _, s := range table.Sessions() {
		assert.NotEmpty(t, table.MemberOf(s))
		for _, resource := range table.ResourcesOf(s) {
			assert.Zero(t, held[resource], "two sessions with one lease")
			held[resource] = s
			holder, ok := table.Holder(resource)
			assert.Equal(t, []any{s, table.MemberOf(s), true}, []any{holder.Session, holder.Member, ok})
			assert.True(t, table.IsCurrent(resource, holder.Epoch))
			assert.False(t, table.IsCurrent(resource, holder.Epoch-1))
		}
	}
	for resource, g := range table.leases {
		assert.Equal(t, held[resource], g.session, "free, or held by a session that has it")
	}
}

func mustApply(t *testing.T, table *Table, index uint64, c cluster.Command) Result {
	t.Helper()
	raw, err := table.Apply(index, c.Body)
	require.NoError(t, err)
	result, err := DecodeResult(raw)
	require.NoError(t, err)
	return result
}

// An earlier incarnation may be paused instead of gone: its session lasts until its TTL has run out.
func TestTable_SecondIncarnationHasOwnSession(t *testing.T) {
	table := NewTable()
	first := mustApply(t, table, 1, OpenSession("m1", 1)).Session
	assert.Equal(t, first, mustApply(t, table, 2, OpenSession("m1", 1)).Session, "a duplicated open")
	mustApply(t, table, 3, AcquireLeases(first, "conduct"))
	second := mustApply(t, table, 4, OpenSession("m1", 2)).Session
	assert.Equal(t, []cluster.SessionID{first, second}, table.Sessions())
	assert.ErrorIs(t, mustApply(t, table, 5, AcquireLeases(second, "conduct")).Grants[0].Err(), cluster.ErrAlreadyHeld)
	mustApply(t, table, 6, EndSession(first))
	assert.Equal(t, []Grant{{"conduct", 7}}, mustApply(t, table, 7, AcquireLeases(second, "conduct")).Grants)
}

// After a log was lost and recreated, no epoch may be assigned again.
func TestTable_EpochsRiseWhenIndexFalls(t *testing.T) {
	table := NewTable()
	s := mustApply(t, table, 900, OpenSession("m1", 1)).Session
	e := mustApply(t, table, 901, AcquireLeases(s, "conduct")).Grants[0].Epoch
	mustApply(t, table, 2, ReleaseLease(s, "conduct", e))
	assert.Greater(t, mustApply(t, table, 3, AcquireLeases(s, "conduct")).Grants[0].Epoch, e)
	assert.Greater(t, mustApply(t, table, 4, OpenSession("m2", 1)).Session, s)
}

// A later leader epoch gives the session a full TTL again, so an expiry that was found in an earlier one is void.
func TestTable_RejectsExpiryOfEarlierLeaderEpoch(t *testing.T) {
	table := NewTable()
	earlier := mustApply(t, table, 1, BeginLeaderEpoch()).LeaderEpoch
	s := mustApply(t, table, 2, OpenSession("m1", 1)).Session
	now := mustApply(t, table, 3, BeginLeaderEpoch()).LeaderEpoch
	_, err := table.Apply(4, ExpireSession(ExpiredSession{Session: s, LeaderEpoch: earlier}).Body)
	assert.ErrorIs(t, err, cluster.ErrStale)
	mustApply(t, table, 5, ExpireSession(ExpiredSession{Session: s, LeaderEpoch: now}))
	_, err = table.Apply(6, ExpireSession(ExpiredSession{Session: s, LeaderEpoch: now}).Body)
	assert.ErrorIs(t, err, cluster.ErrNotFound)
}

func TestTable_RejectsReleaseOfEarlierEpoch(t *testing.T) {
	table := NewTable()
	s := mustApply(t, table, 1, OpenSession("m1", 1)).Session
	e := mustApply(t, table, 2, AcquireLeases(s, "conduct")).Grants[0].Epoch
	mustApply(t, table, 3, ReleaseLease(s, "conduct", e))
	assert.Equal(t, e, table.LastEpoch("conduct"))
	mustApply(t, table, 4, AcquireLeases(s, "conduct"))
	_, err := table.Apply(5, ReleaseLease(s, "conduct", e).Body) // a duplicate
	assert.ErrorIs(t, err, cluster.ErrFenced)
	assert.Equal(t, []cluster.Resource{"conduct"}, table.ResourcesOf(s))
}

func TestTable_RejectsInconsistentSnapshot(t *testing.T) {
	table := NewTable()
	mustApply(t, table, 1, OpenSession("m1", 1))
	before, _ := table.Snapshot()
	one := sessionImage{Session: 1, Member: "m1", Incarnation: 1}
	for name, image := range map[string]tableImage{
		"a newer format":                   {Format: tableFormat + 1},
		"above the last id":                {Format: tableFormat, Sessions: []sessionImage{one}},
		"a duplicate session":              {Format: tableFormat, LastID: 9, Sessions: []sessionImage{one, one}},
		"a duplicate incarnation":          {Format: tableFormat, LastID: 9, Sessions: []sessionImage{one, {2, "m1", 1}}},
		"a lease of no session":            {Format: tableFormat, LastID: 9, Leases: []leaseImage{{"conduct", 2, 1}}},
		"a lease without epoch":            {Format: tableFormat, LastID: 9, Leases: []leaseImage{{"conduct", 0, 0}}},
		"a duplicate lease":                {Format: tableFormat, LastID: 9, Leases: []leaseImage{{"a", 1, 0}, {"a", 2, 0}}},
		"a leader epoch above the last id": {Format: tableFormat, LastID: 9, LeaderEpoch: 10},
	} {
		assert.ErrorIs(t, table.Restore(codec.MustMarshal(image)), ErrUnreadable, name)
	}
	assert.ErrorIs(t, table.Restore([]byte("half")), ErrUnreadable)
	after, _ := table.Snapshot()
	assert.Equal(t, before, after)
}

func FuzzApply(f *testing.F) {
	for _, c := range []cluster.Command{
		OpenSession("m1", 1), EndSession(2), AcquireLeases(2, "conduct", "home/1"),
		ReleaseLease(2, "conduct", 3), BeginLeaderEpoch(), ExpireSession(ExpiredSession{Session: 2, LeaderEpoch: 1}),
	} {
		f.Add(c.Body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		table := NewTable()
		mustApply(t, table, 1, BeginLeaderEpoch())
		mustApply(t, table, 2, OpenSession("m0", 9))
		mustApply(t, table, 3, AcquireLeases(2, "conduct"))
		before, _ := table.Snapshot()
		raw, err := table.Apply(4, body)
		after, _ := table.Snapshot()
		if err != nil {
			require.Equal(t, before, after)
			return
		}
		_, err = DecodeResult(raw)
		require.NoError(t, err)
		require.NoError(t, NewTable().Restore(after))
		_ = table.Restore(body) // rejected, or a table that can be encoded again
		again, err := table.Snapshot()
		require.NoError(t, err)
		require.NoError(t, NewTable().Restore(again))
	})
}
