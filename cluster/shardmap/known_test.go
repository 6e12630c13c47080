package shardmap

import (
	"cmp"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

var nobodyHolds = func(Name) bool { return false }

func TestAForkGoesOnAboveAllThatTheOtherBranchCanReach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, here, there := named(0), NewKnown(nil, nobodyHolds), NewKnown(nil, nobodyHolds)
		hand, _ := here.Offers(n, ttl, Offer{To: "b"})
		there.Offered(n, hand, ttl, 0, true)
		there.Came(n)
		here.Forked(n)
		for range rapid.IntRange(0, 50).Draw(t, "ways") {
			hand, _ = there.Offers(n, ttl, Offer{To: "c"})
			there.Heard(n, hand, Never)
		}
		assert.Greater(t, here.Next(n), there.Next(n))
		reply, taking := here.Offered(n, hand, ttl, 0, true)
		assert.Equal(t, []any{Has, Leaves}, []any{reply, taking}, "whoever meets both keeps one")
	})
}

func TestAnEntrysDoubtIsByTheHandThatItsWebhookWentBy(t *testing.T) {
	n, k := named(0), NewKnown(nil, nobodyHolds)
	hand := k.Next(n)
	k.Asked(n, hand+1, ttl)
	require.True(t, k.Sent(n, hand, ttl, Offer{To: "b"}))
	o, by, out := k.Out(n)
	assert.True(t, out && o.Unsure)
	assert.Equal(t, hand, by)

	k = NewKnown(nil, nobodyHolds)
	_, taking := k.Offered(n, hand+1, ttl, 0, true)
	require.Equal(t, Takes, taking)
	assert.False(t, k.Sent(n, hand, ttl, Offer{To: "b"}), "it has come back")
}

func TestWhatCouldNotBeTakenOnLeavesTheRecordAsItWas(t *testing.T) {
	n, k := named(0), NewKnown(nil, nobodyHolds)
	before, known := k.Record(n)
	k.Offered(n, 1, ttl, 0, true)
	k.Undo(n, before, known)
	assert.Zero(t, k.Len())
	k.Asked(n, 3, ttl)
	before, known = k.Record(n)
	k.Offered(n, 4, ttl, 0, true)
	k.Undo(n, before, known)
	after, _ := k.Record(n)
	assert.Equal(t, before, after)
	reply, _ := k.Offered(n, 3, ttl, 0, true)
	assert.Equal(t, Never, reply, "what was promised stays so")
}

func TestNamesAreKnownUntilNothingByThemCanBeOnItsWay(t *testing.T) {
	k := NewKnown(nil, nobodyHolds)
	k.Offered(named(0), 1, 10, 0, true)
	k.Offered(named(1), 1, 20, 0, true)
	k.Expire(12, 3)
	assert.Equal(t, 2, k.Len())
	k.Expire(13, 3)
	assert.Equal(t, 1, k.Len())
	reply, _ := k.Offered(named(0), 1, 10, 13, true)
	assert.Equal(t, Never, reply, "its time is up")
}

func TestARestartForgetsNoDoubtButOfWhatIsHereNoMore(t *testing.T) {
	out := Record{Name: named(0), Hand: 2, Here: true, TTL: ttl, Out: Offer{To: "b", Move: 7}}
	k := NewKnown([]Record{out}, func(Name) bool { return true })
	o, _, _ := k.Out(out.Name)
	assert.True(t, o.Unsure)
	assert.Equal(t, 1, k.By(7))
	assert.Equal(t, Wait, k.Heard(out.Name, 2, Refuses))
	assert.Equal(t, Own, k.Heard(out.Name, 2, Never))
	k = NewKnown([]Record{out}, nobodyHolds)
	_, _, doubted := k.Out(out.Name)
	assert.False(t, doubted)
}

func TestWhatIsCarriedIsTheSameByAnotherClockAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Carried{TTL: micros(t, "ttl"), MayRun: 5}
		if rapid.Bool().Draw(t, "never ran") {
			c.MayRun = api.Never
		}
		by := micros(t, "by")
		assert.Equal(t, c, c.Shifted(by).Shifted(-by))
		assert.Equal(t, c.MayRun == api.Never, c.Shifted(by).MayRun == api.Never)
		assert.Equal(t, by, c.Shifted(by).TTL-c.TTL)

		var all []Carried
		for i, at := range rapid.SliceOf(rapid.Uint64Range(0, 9)).Draw(t, "taken") {
			all = append(all, Carried{Taken: at, Attempts: i})
		}
		InOrder(all)
		assert.True(t, slices.IsSortedFunc(all, func(a, b Carried) int {
			return cmp.Or(cmp.Compare(a.Taken, b.Taken), cmp.Compare(a.Attempts, b.Attempts))
		}))
	})
}

// Messages take their time; of two clocks that differ by so much at the most, what is told is never further
// off than the quickest message, and never more than the last.
func TestAClocksLeadIsToldAsExactlyAsTheQuickestMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const apart = 0.01
		var c Clock
		ahead, now, best := micros(t, "ahead"), api.Micros(0), api.Micros(0)
		for i := range rapid.IntRange(1, 20).Draw(t, "messages") {
			step, late := micros(t, "step")%10_000_000, micros(t, "late")%5_000_000
			now += step
			if best += api.Micros(apart * float64(step)); i == 0 || late < best {
				best = late
			}
			got := c.Heard(now-late-ahead, now, apart)
			assert.GreaterOrEqual(t, got, ahead)
			assert.InDelta(t, float64(best), float64(got-ahead), 25)
			assert.LessOrEqual(t, got, ahead+late)
		}
	})
}

func TestWhatMayHaveRunGoesOnOnlyAsItsEventTypeAllows(t *testing.T) {
	once, tokened := api.EventType{Repeat: api.AtMostOnce}, api.EventType{Repeat: api.Tokened,
		TokenWindow: 10}
	c := Carried{TTL: 100, MayRun: api.Never}
	ran := c
	ran.MayRun = 20
	assert.Equal(t, Goes, c.Goes(once, 5, 3, 20))
	assert.Equal(t, Rejects, c.Goes(once, 5, 3, 95), "too late, and never ran")
	assert.Equal(t, Dies, ran.Goes(once, 5, 3, 21))
	assert.Equal(t, Goes, ran.Goes(tokened, 5, 3, 24))
	assert.Equal(t, Dies, ran.Goes(tokened, 5, 3, 25), "its window is over by then")
	ran.Attempts = 3
	assert.Equal(t, Dies, ran.Goes(tokened, 5, 3, 21))
	assert.Equal(t, Goes, Carried{TTL: 100, MayRun: 1}.Goes(api.EventType{}, 5, 3, 50))
}

// Bytes by chance are refused, or are a map that covers each key once and stays so whatever comes then.
func FuzzMap(f *testing.F) {
	m := New(leases{map[cluster.Resource]cluster.MemberID{}, map[cluster.Resource]cluster.Epoch{}})
	commands := [][]byte{Conductor(1).First(3, []Weight{{"a", 1}, {"b", 1}}).Body, Conductor(1).Split(1, 9).Body,
		Home(1, "a", 1, 1).Body, Conductor(1).Plan(1, "a", "b").Body, Switch(4, 1, "b", 2).Body,
		Clear(4, "a").Body}
	for i, c := range commands {
		_, _ = m.Apply(uint64(i+1), c)
		b, err := m.Snapshot()
		require.NoError(f, err)
		f.Add(b, c)
	}
	f.Fuzz(func(t *testing.T, snapshot, command []byte) {
		home := cluster.RangeOwnerResource(1)
		m := New(leases{map[cluster.Resource]cluster.MemberID{home: "b"}, map[cluster.Resource]cluster.Epoch{home: 2}})
		if m.Restore(snapshot) != nil {
			require.Empty(t, m.Ranges)
		}
		before, err := m.Snapshot()
		require.NoError(t, err)
		if _, err := m.Apply(uint64(m.Version)+1, command); err != nil {
			after, err := m.Snapshot()
			require.NoError(t, err)
			require.Equal(t, before, after)
		}
		require.NoError(t, m.sound())
		_, ok := m.Of(1 << 63)
		require.Equal(t, len(m.Ranges) > 0, ok)
	})
}

// What members say to each other and keep: what can be read is the same when it is written and read again.
func FuzzCarried(f *testing.F) {
	for _, v := range []any{Carried{Name: named(0), TTL: 5, MayRun: api.Never, Whole: []byte("x")},
		Record{Name: named(1), Hand: 7, Here: true, Out: Offer{To: "b", Move: 3, Unsure: true}}} {
		b, err := cbor.Marshal(v)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var c, c2 Carried
		if decoding.Unmarshal(b, &c) == nil {
			raw, err := encoding.Marshal(c)
			require.NoError(t, err)
			require.NoError(t, decoding.Unmarshal(raw, &c2))
			assert.Equal(t, c, c2)
		}
		var r, r2 Record
		if decoding.Unmarshal(b, &r) == nil {
			raw, err := encoding.Marshal(r)
			require.NoError(t, err)
			require.NoError(t, decoding.Unmarshal(raw, &r2))
			assert.Equal(t, r, r2)
			NewKnown([]Record{r}, nobodyHolds).Offered(r.Name, r.Hand, r.TTL, 0, true)
		}
	})
}

func TestWhatIsInDoubtGoesNowhereElse(t *testing.T) {
	n, k := named(0), NewKnown(nil, nobodyHolds)
	hand, ok := k.Offers(n, ttl, Offer{To: "b", Life: 1})
	require.True(t, ok)
	for _, o := range []Offer{{To: "c", Life: 1}, {To: "b", Life: 2}} {
		_, ok = k.Offers(n, ttl, o)
		assert.False(t, ok)
	}
	again, ok := k.Offers(n, ttl, Offer{To: "b", Life: 1})
	assert.True(t, ok)
	assert.Equal(t, hand, again)
}

func TestWhatIsNotAMembersIsRefusedAndHandsGoOnAboveANo(t *testing.T) {
	n, k := named(0), NewKnown(nil, nobodyHolds)
	reply, taking := k.Offered(n, 1, ttl, 0, false)
	assert.Equal(t, []any{Refuses, Leaves}, []any{reply, taking})
	assert.Zero(t, k.Len())
	reply, fresh := k.Asked(n, 5, ttl)
	assert.Equal(t, []any{Never, true}, []any{reply, fresh})
	assert.Equal(t, Hand(6), k.Next(n))
	_, taking = k.Offered(n, 6, ttl, 0, true)
	assert.Equal(t, Takes, taking)
}
