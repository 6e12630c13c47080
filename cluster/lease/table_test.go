package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
)

// orders draws commands that are mostly about what there is.
func orders(t *rapid.T, b *Table) cluster.Command {
	session := rapid.SampledFrom(append(b.Sessions(), 7777)).Draw(t, "session")
	task := rapid.SampledFrom([]cluster.Resource{"conduct", "home/1", "home/2", "site/depot"})
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0, 1:
		return OpenSession(rapid.SampledFrom([]cluster.MemberID{"m1", "m2"}).Draw(t, "member"),
			Incarnation(rapid.IntRange(0, 1).Draw(t, "life")))
	case 2:
		return EndSession(session)
	case 3:
		return ExpireSession(ExpiredSession{session, max(b.LeaderEpoch()-LeaderEpoch(rapid.IntRange(0, 1).Draw(t, "before")), 1)})
	case 4:
		return BeginLeaderEpoch()
	case 5, 6:
		one := task.Draw(t, "task")
		return ReleaseLease(session, one, max(b.LastEpoch(one), 1))
	default:
		return AcquireLeases(session, rapid.SliceOfNDistinct(task, 1, 4, rapid.ID).Draw(t, "tasks")...)
	}
}

// One holder for each task, its epoch above all before; what is refused changes nothing; and a book restored
// at any point goes on exactly as the one it was taken from.
func TestBookThroughAnyOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, twin, highest, index := NewTable(), NewTable(), map[cluster.Resource]cluster.Epoch{}, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "orders") {
			index += rapid.Uint64Range(1, 3).Draw(t, "index")
			before, err := b.Snapshot()
			require.NoError(t, err)
			c := orders(t, b)
			raw, err := b.Apply(index, c.Body)
			after, _ := b.Snapshot()
			if err != nil {
				assert.Equal(t, before, after)
			}
			require.NoError(t, twin.Restore(before))
			twinRaw, twinErr := twin.Apply(index, c.Body)
			twinAfter, _ := twin.Snapshot()
			assert.Equal(t, []any{raw, err, after}, []any{twinRaw, twinErr, twinAfter})
			if err == nil {
				checkAnswer(t, b, raw, highest)
			}
			checkBook(t, b)
		}
	})
}

func checkAnswer(t *rapid.T, b *Table, raw []byte, highest map[cluster.Resource]cluster.Epoch) {
	a, err := DecodeResult(raw)
	require.NoError(t, err)
	for _, g := range a.Grants {
		holder, _, epoch, held := b.Holder(g.Resource)
		require.True(t, held)
		if g.Err() != nil {
			assert.NotEqual(t, a.Session, holder, "refused although its own")
			continue
		}
		assert.Equal(t, []any{a.Session, epoch}, []any{holder, g.Epoch})
		assert.GreaterOrEqual(t, g.Epoch, highest[g.Resource])
		highest[g.Resource] = g.Epoch
	}
}

func checkBook(t *rapid.T, b *Table) {
	held := map[cluster.Resource]cluster.SessionID{}
	for _, s := range b.Sessions() {
		assert.NotEmpty(t, b.MemberOf(s))
		for _, task := range b.ResourcesOf(s) {
			assert.Zero(t, held[task], "two sessions with one task")
			held[task] = s
			holder, member, epoch, ok := b.Holder(task)
			assert.Equal(t, []any{s, b.MemberOf(s), true}, []any{holder, member, ok})
			assert.True(t, b.IsCurrent(task, epoch))
			assert.False(t, b.IsCurrent(task, epoch-1))
		}
	}
	for task, g := range b.leases {
		assert.Equal(t, held[task], g.session, "free for all, or held by one that knows it")
	}
}

func do(t *testing.T, b *Table, index uint64, c cluster.Command) Result {
	raw, err := b.Apply(index, c.Body)
	require.NoError(t, err)
	a, err := DecodeResult(raw)
	require.NoError(t, err)
	return a
}

// An earlier life may be stopped, not gone: its session goes on until its term is over.
func TestSecondLifeHasASessionBesideTheFirst(t *testing.T) {
	b := NewTable()
	first := do(t, b, 1, OpenSession("m1", 1)).Session
	assert.Equal(t, first, do(t, b, 2, OpenSession("m1", 1)).Session, "an open that was sent twice")
	do(t, b, 3, AcquireLeases(first, "conduct"))
	second := do(t, b, 4, OpenSession("m1", 2)).Session
	assert.Equal(t, []cluster.SessionID{first, second}, b.Sessions())
	assert.ErrorIs(t, do(t, b, 5, AcquireLeases(second, "conduct")).Grants[0].Err(), cluster.ErrAlreadyHeld)
	do(t, b, 6, EndSession(first))
	assert.Equal(t, []Grant{{"conduct", 7}}, do(t, b, 7, AcquireLeases(second, "conduct")).Grants)
}

// A log that was lost and begun anew must not give out an epoch again.
func TestEpochsRiseEvenWhereTheIndexFalls(t *testing.T) {
	b := NewTable()
	s := do(t, b, 900, OpenSession("m1", 1)).Session
	e := do(t, b, 901, AcquireLeases(s, "conduct")).Grants[0].Epoch
	do(t, b, 2, ReleaseLease(s, "conduct", e))
	assert.Greater(t, do(t, b, 3, AcquireLeases(s, "conduct")).Grants[0].Epoch, e)
	assert.Greater(t, do(t, b, 4, OpenSession("m2", 1)).Session, s)
}

// Another reign has given the session a whole term again: what an earlier one found is void.
func TestEndFoundInAnEarlierReignIsRefused(t *testing.T) {
	b := NewTable()
	earlier := do(t, b, 1, BeginLeaderEpoch()).LeaderEpoch
	s := do(t, b, 2, OpenSession("m1", 1)).Session
	now := do(t, b, 3, BeginLeaderEpoch()).LeaderEpoch
	_, err := b.Apply(4, ExpireSession(ExpiredSession{s, earlier}).Body)
	assert.ErrorIs(t, err, cluster.ErrStale)
	do(t, b, 5, ExpireSession(ExpiredSession{s, now}))
	_, err = b.Apply(6, ExpireSession(ExpiredSession{s, now}).Body)
	assert.ErrorIs(t, err, cluster.ErrNotFound)
}

func TestReleaseByAnEarlierEpochIsRefused(t *testing.T) {
	b := NewTable()
	s := do(t, b, 1, OpenSession("m1", 1)).Session
	e := do(t, b, 2, AcquireLeases(s, "conduct")).Grants[0].Epoch
	do(t, b, 3, ReleaseLease(s, "conduct", e))
	assert.Equal(t, e, b.LastEpoch("conduct"))
	do(t, b, 4, AcquireLeases(s, "conduct"))
	_, err := b.Apply(5, ReleaseLease(s, "conduct", e).Body) // doubled on its way
	assert.ErrorIs(t, err, cluster.ErrFenced)
	assert.Equal(t, []cluster.Resource{"conduct"}, b.ResourcesOf(s))
}

func TestSnapshotThatContradictsItselfLeavesTheBook(t *testing.T) {
	b := NewTable()
	do(t, b, 1, OpenSession("m1", 1))
	before, _ := b.Snapshot()
	one := sessionImage{1, "m1", 1}
	for name, image := range map[string]tableImage{
		"a newer format":         {Format: tableFormat + 1},
		"above the last index":   {Format: tableFormat, Sessions: []sessionImage{one}},
		"a session twice":        {Format: tableFormat, LastID: 9, Sessions: []sessionImage{one, one}},
		"a life twice":           {Format: tableFormat, LastID: 9, Sessions: []sessionImage{one, {2, "m1", 1}}},
		"a task of no session":   {Format: tableFormat, LastID: 9, Leases: []leaseImage{{"conduct", 2, 1}}},
		"a task without epoch":   {Format: tableFormat, LastID: 9, Leases: []leaseImage{{"conduct", 0, 0}}},
		"a task twice":           {Format: tableFormat, LastID: 9, Leases: []leaseImage{{"a", 1, 0}, {"a", 2, 0}}},
		"a reign above the last": {Format: tableFormat, LastID: 9, LeaderEpoch: 10},
	} {
		assert.ErrorIs(t, b.Restore(encode(image)), ErrUnreadable, name)
	}
	assert.ErrorIs(t, b.Restore([]byte("half")), ErrUnreadable)
	after, _ := b.Snapshot()
	assert.Equal(t, before, after)
}

func FuzzApply(f *testing.F) {
	for _, c := range []cluster.Command{OpenSession("m1", 1), EndSession(2), AcquireLeases(2, "conduct", "home/1"),
		ReleaseLease(2, "conduct", 3), BeginLeaderEpoch(), ExpireSession(ExpiredSession{2, 1})} {
		f.Add(c.Body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		b := NewTable()
		do(t, b, 1, BeginLeaderEpoch())
		do(t, b, 2, OpenSession("m0", 9))
		do(t, b, 3, AcquireLeases(2, "conduct"))
		before, _ := b.Snapshot()
		raw, err := b.Apply(4, body)
		after, _ := b.Snapshot()
		if err != nil {
			require.Equal(t, before, after)
			return
		}
		_, err = DecodeResult(raw)
		require.NoError(t, err)
		require.NoError(t, NewTable().Restore(after))
		_ = b.Restore(body) // whatever it is: refused, or a book that can be told again
		again, err := b.Snapshot()
		require.NoError(t, err)
		require.NoError(t, NewTable().Restore(again))
	})
}
