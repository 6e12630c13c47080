package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
)

// orders draws commands that are mostly about what there is.
func orders(t *rapid.T, b *Book) cluster.Command {
	session := rapid.SampledFrom(append(b.Sessions(), 7777)).Draw(t, "session")
	task := rapid.SampledFrom([]cluster.Task{"conduct", "home/1", "home/2", "site/depot"})
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0, 1:
		return Open(rapid.SampledFrom([]cluster.MemberID{"m1", "m2"}).Draw(t, "member"),
			Incarnation(rapid.IntRange(0, 1).Draw(t, "life")))
	case 2:
		return End(session)
	case 3:
		return Expire(Over{session, max(b.Reign()-Reign(rapid.IntRange(0, 1).Draw(t, "before")), 1)})
	case 4:
		return Began()
	case 5, 6:
		one := task.Draw(t, "task")
		return Release(session, one, max(b.Epoch(one), 1))
	default:
		return Grant(session, rapid.SliceOfNDistinct(task, 1, 4, rapid.ID).Draw(t, "tasks")...)
	}
}

// One holder for each task, its epoch above all before; what is refused changes nothing; and a book restored
// at any point goes on exactly as the one it was taken from.
func TestBookThroughAnyOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, twin, highest, index := NewBook(), NewBook(), map[cluster.Task]cluster.Epoch{}, uint64(0)
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

func checkAnswer(t *rapid.T, b *Book, raw []byte, highest map[cluster.Task]cluster.Epoch) {
	a, err := ReadAnswer(raw)
	require.NoError(t, err)
	for _, g := range a.Granted {
		holder, _, epoch, held := b.Holder(g.Task)
		require.True(t, held)
		if g.Err() != nil {
			assert.NotEqual(t, a.Session, holder, "refused although its own")
			continue
		}
		assert.Equal(t, []any{a.Session, epoch}, []any{holder, g.Epoch})
		assert.GreaterOrEqual(t, g.Epoch, highest[g.Task])
		highest[g.Task] = g.Epoch
	}
}

func checkBook(t *rapid.T, b *Book) {
	held := map[cluster.Task]cluster.SessionID{}
	for _, s := range b.Sessions() {
		assert.NotEmpty(t, b.MemberOf(s))
		for _, task := range b.TasksOf(s) {
			assert.Zero(t, held[task], "two sessions with one task")
			held[task] = s
			holder, member, epoch, ok := b.Holder(task)
			assert.Equal(t, []any{s, b.MemberOf(s), true}, []any{holder, member, ok})
			assert.True(t, b.Holds(task, epoch))
			assert.False(t, b.Holds(task, epoch-1))
		}
	}
	for task, g := range b.tasks {
		assert.Equal(t, held[task], g.session, "free for all, or held by one that knows it")
	}
}

func do(t *testing.T, b *Book, index uint64, c cluster.Command) Answer {
	raw, err := b.Apply(index, c.Body)
	require.NoError(t, err)
	a, err := ReadAnswer(raw)
	require.NoError(t, err)
	return a
}

// An earlier life may be stopped, not gone: its session goes on until its term is over.
func TestSecondLifeHasASessionBesideTheFirst(t *testing.T) {
	b := NewBook()
	first := do(t, b, 1, Open("m1", 1)).Session
	assert.Equal(t, first, do(t, b, 2, Open("m1", 1)).Session, "an open that was sent twice")
	do(t, b, 3, Grant(first, "conduct"))
	second := do(t, b, 4, Open("m1", 2)).Session
	assert.Equal(t, []cluster.SessionID{first, second}, b.Sessions())
	assert.ErrorIs(t, do(t, b, 5, Grant(second, "conduct")).Granted[0].Err(), cluster.ErrHeld)
	do(t, b, 6, End(first))
	assert.Equal(t, []Granted{{"conduct", 7}}, do(t, b, 7, Grant(second, "conduct")).Granted)
}

// A log that was lost and begun anew must not give out an epoch again.
func TestEpochsRiseEvenWhereTheIndexFalls(t *testing.T) {
	b := NewBook()
	s := do(t, b, 900, Open("m1", 1)).Session
	e := do(t, b, 901, Grant(s, "conduct")).Granted[0].Epoch
	do(t, b, 2, Release(s, "conduct", e))
	assert.Greater(t, do(t, b, 3, Grant(s, "conduct")).Granted[0].Epoch, e)
	assert.Greater(t, do(t, b, 4, Open("m2", 1)).Session, s)
}

// Another reign has given the session a whole term again: what an earlier one found is void.
func TestEndFoundInAnEarlierReignIsRefused(t *testing.T) {
	b := NewBook()
	earlier := do(t, b, 1, Began()).Reign
	s := do(t, b, 2, Open("m1", 1)).Session
	now := do(t, b, 3, Began()).Reign
	_, err := b.Apply(4, Expire(Over{s, earlier}).Body)
	assert.ErrorIs(t, err, cluster.ErrStale)
	do(t, b, 5, Expire(Over{s, now}))
	_, err = b.Apply(6, Expire(Over{s, now}).Body)
	assert.ErrorIs(t, err, cluster.ErrUnknown)
}

func TestReleaseByAnEarlierEpochIsRefused(t *testing.T) {
	b := NewBook()
	s := do(t, b, 1, Open("m1", 1)).Session
	e := do(t, b, 2, Grant(s, "conduct")).Granted[0].Epoch
	do(t, b, 3, Release(s, "conduct", e))
	assert.Equal(t, e, b.Epoch("conduct"))
	do(t, b, 4, Grant(s, "conduct"))
	_, err := b.Apply(5, Release(s, "conduct", e).Body) // doubled on its way
	assert.ErrorIs(t, err, cluster.ErrFenced)
	assert.Equal(t, []cluster.Task{"conduct"}, b.TasksOf(s))
}

func TestSnapshotThatContradictsItselfLeavesTheBook(t *testing.T) {
	b := NewBook()
	do(t, b, 1, Open("m1", 1))
	before, _ := b.Snapshot()
	one := sessionImage{1, "m1", 1}
	for name, image := range map[string]bookImage{
		"a newer format":         {Format: bookFormat + 1},
		"above the last index":   {Format: bookFormat, Sessions: []sessionImage{one}},
		"a session twice":        {Format: bookFormat, Last: 9, Sessions: []sessionImage{one, one}},
		"a life twice":           {Format: bookFormat, Last: 9, Sessions: []sessionImage{one, {2, "m1", 1}}},
		"a task of no session":   {Format: bookFormat, Last: 9, Tasks: []taskImage{{"conduct", 2, 1}}},
		"a task without epoch":   {Format: bookFormat, Last: 9, Tasks: []taskImage{{"conduct", 0, 0}}},
		"a task twice":           {Format: bookFormat, Last: 9, Tasks: []taskImage{{"a", 1, 0}, {"a", 2, 0}}},
		"a reign above the last": {Format: bookFormat, Last: 9, Reign: 10},
	} {
		assert.ErrorIs(t, b.Restore(encode(image)), ErrUnreadable, name)
	}
	assert.ErrorIs(t, b.Restore([]byte("half")), ErrUnreadable)
	after, _ := b.Snapshot()
	assert.Equal(t, before, after)
}

func FuzzApply(f *testing.F) {
	for _, c := range []cluster.Command{Open("m1", 1), End(2), Grant(2, "conduct", "home/1"),
		Release(2, "conduct", 3), Began(), Expire(Over{2, 1})} {
		f.Add(c.Body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		b := NewBook()
		do(t, b, 1, Began())
		do(t, b, 2, Open("m0", 9))
		do(t, b, 3, Grant(2, "conduct"))
		before, _ := b.Snapshot()
		raw, err := b.Apply(4, body)
		after, _ := b.Snapshot()
		if err != nil {
			require.Equal(t, before, after)
			return
		}
		_, err = ReadAnswer(raw)
		require.NoError(t, err)
		require.NoError(t, NewBook().Restore(after))
		_ = b.Restore(body) // whatever it is: refused, or a book that can be told again
		again, err := b.Snapshot()
		require.NoError(t, err)
		require.NoError(t, NewBook().Restore(again))
	})
}
