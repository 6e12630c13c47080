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

var nobodyHolds = func(WebhookID) bool { return false }

func TestAForkGoesOnAboveAllThatTheOtherBranchCanReach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, here, there := named(0), NewCustodyTable(nil, nobodyHolds), NewCustodyTable(nil, nobodyHolds)
		hand, _ := here.BeginOffer(n, ttl, Offer{To: "b"})
		there.HandleOffer(n, hand, ttl, 0, true)
		there.ConfirmStored(n)
		here.Fork(n)
		for range rapid.IntRange(0, 50).Draw(t, "ways") {
			hand, _ = there.BeginOffer(n, ttl, Offer{To: "c"})
			there.HandleReply(n, hand, CustodyNever)
		}
		assert.Greater(t, here.NextHandoff(n), there.NextHandoff(n))
		reply, taking := here.HandleOffer(n, hand, ttl, 0, true)
		assert.Equal(t, []any{CustodyTaken, OfferNotTaken}, []any{reply, taking}, "whoever meets both keeps one")
	})
}

func TestAnEntrysDoubtIsByTheHandThatItsWebhookWentBy(t *testing.T) {
	n, k := named(0), NewCustodyTable(nil, nobodyHolds)
	hand := k.NextHandoff(n)
	k.HandleQuery(n, hand+1, ttl)
	require.True(t, k.RecordUnansweredForward(n, hand, ttl, Offer{To: "b"}))
	o, by, out := k.OutstandingOffer(n)
	assert.True(t, out && o.Uncertain)
	assert.Equal(t, hand, by)

	k = NewCustodyTable(nil, nobodyHolds)
	_, taking := k.HandleOffer(n, hand+1, ttl, 0, true)
	require.Equal(t, OfferTaken, taking)
	assert.False(t, k.RecordUnansweredForward(n, hand, ttl, Offer{To: "b"}), "it has come back")
}

func TestWhatCouldNotBeTakenOnLeavesTheRecordAsItWas(t *testing.T) {
	n, k := named(0), NewCustodyTable(nil, nobodyHolds)
	before, known := k.Lookup(n)
	k.HandleOffer(n, 1, ttl, 0, true)
	k.Rollback(n, before, known)
	assert.Zero(t, k.Len())
	k.HandleQuery(n, 3, ttl)
	before, known = k.Lookup(n)
	k.HandleOffer(n, 4, ttl, 0, true)
	k.Rollback(n, before, known)
	after, _ := k.Lookup(n)
	assert.Equal(t, before, after)
	reply, _ := k.HandleOffer(n, 3, ttl, 0, true)
	assert.Equal(t, CustodyNever, reply, "what was promised stays so")
}

func TestNamesAreKnownUntilNothingByThemCanBeOnItsWay(t *testing.T) {
	k := NewCustodyTable(nil, nobodyHolds)
	k.HandleOffer(named(0), 1, 10, 0, true)
	k.HandleOffer(named(1), 1, 20, 0, true)
	k.Expire(12, 3)
	assert.Equal(t, 2, k.Len())
	k.Expire(13, 3)
	assert.Equal(t, 1, k.Len())
	reply, _ := k.HandleOffer(named(0), 1, 10, 13, true)
	assert.Equal(t, CustodyNever, reply, "its time is up")
}

func TestARestartForgetsNoDoubtButOfWhatIsHereNoMore(t *testing.T) {
	out := CustodyRecord{ID: named(0), Handoff: 2, Present: true, TTL: ttl, Offer: Offer{To: "b", Move: 7}}
	k := NewCustodyTable([]CustodyRecord{out}, func(WebhookID) bool { return true })
	o, _, _ := k.OutstandingOffer(out.ID)
	assert.True(t, o.Uncertain)
	assert.Equal(t, 1, k.CountOffersOfMove(7))
	assert.Equal(t, StayInDoubt, k.HandleReply(out.ID, 2, CustodyRejected))
	assert.Equal(t, KeepCopy, k.HandleReply(out.ID, 2, CustodyNever))
	k = NewCustodyTable([]CustodyRecord{out}, nobodyHolds)
	_, _, doubted := k.OutstandingOffer(out.ID)
	assert.False(t, doubted)
}

func TestWhatIsCarriedIsTheSameByAnotherClockAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := TransferredWebhook{TTL: micros(t, "ttl"), FirstRunAt: 5}
		if rapid.Bool().Draw(t, "never ran") {
			c.FirstRunAt = api.Never
		}
		by := micros(t, "by")
		assert.Equal(t, c, c.WithClockShift(by).WithClockShift(-by))
		assert.Equal(t, c.FirstRunAt == api.Never, c.WithClockShift(by).FirstRunAt == api.Never)
		assert.Equal(t, by, c.WithClockShift(by).TTL-c.TTL)

		var all []TransferredWebhook
		for i, at := range rapid.SliceOf(rapid.Uint64Range(0, 9)).Draw(t, "taken") {
			all = append(all, TransferredWebhook{AcceptOrder: at, Attempts: i})
		}
		SortByAcceptOrder(all)
		assert.True(t, slices.IsSortedFunc(all, func(a, b TransferredWebhook) int {
			return cmp.Or(cmp.Compare(a.AcceptOrder, b.AcceptOrder), cmp.Compare(a.Attempts, b.Attempts))
		}))
	})
}

// Messages take their time; of two clocks that differ by so much at the most, what is told is never further
// off than the quickest message, and never more than the last.
func TestAClocksLeadIsToldAsExactlyAsTheQuickestMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const apart = 0.01
		var c ClockOffset
		ahead, now, best := micros(t, "ahead"), api.Micros(0), api.Micros(0)
		for i := range rapid.IntRange(1, 20).Draw(t, "messages") {
			step, late := micros(t, "step")%10_000_000, micros(t, "late")%5_000_000
			now += step
			if best += api.Micros(apart * float64(step)); i == 0 || late < best {
				best = late
			}
			got := c.Observe(now-late-ahead, now, apart)
			assert.GreaterOrEqual(t, got, ahead)
			assert.InDelta(t, float64(best), float64(got-ahead), 25)
			assert.LessOrEqual(t, got, ahead+late)
		}
	})
}

func TestWhatMayHaveRunGoesOnOnlyAsItsEventTypeAllows(t *testing.T) {
	once, tokened := api.EventType{Semantics: api.AtMostOnce}, api.EventType{Semantics: api.Deduplicated,
		DedupWindow: 10}
	c := TransferredWebhook{TTL: 100, FirstRunAt: api.Never}
	ran := c
	ran.FirstRunAt = 20
	assert.Equal(t, TransferWebhook, c.DecideTransfer(once, 5, 3, 20))
	assert.Equal(t, RejectWebhook, c.DecideTransfer(once, 5, 3, 95), "too late, and never ran")
	assert.Equal(t, DeadLetterWebhook, ran.DecideTransfer(once, 5, 3, 21))
	assert.Equal(t, TransferWebhook, ran.DecideTransfer(tokened, 5, 3, 24))
	assert.Equal(t, DeadLetterWebhook, ran.DecideTransfer(tokened, 5, 3, 25), "its window is over by then")
	ran.Attempts = 3
	assert.Equal(t, DeadLetterWebhook, ran.DecideTransfer(tokened, 5, 3, 21))
	assert.Equal(t, TransferWebhook, TransferredWebhook{TTL: 100, FirstRunAt: 1}.DecideTransfer(api.EventType{}, 5, 3, 50))
}

// Bytes by chance are refused, or are a map that covers each key once and stays so whatever comes then.
func FuzzMap(f *testing.F) {
	m := New(leases{map[cluster.Resource]cluster.MemberID{}, map[cluster.Resource]cluster.Epoch{}})
	commands := [][]byte{Coordinator(1).Initialize(3, []MemberWeight{{"a", 1}, {"b", 1}}).Body, Coordinator(1).Split(1, 9).Body,
		ConfirmOwner(1, "a", 1, 1).Body, Coordinator(1).PlanMove(1, "a", "b").Body, SwitchOwner(4, 1, "b", 2).Body,
		ClearMove(4, "a").Body}
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
		require.NoError(t, m.validate())
		_, ok := m.RangeOf(1 << 63)
		require.Equal(t, len(m.Ranges) > 0, ok)
	})
}

// What members say to each other and keep: what can be read is the same when it is written and read again.
func FuzzCarried(f *testing.F) {
	for _, v := range []any{TransferredWebhook{ID: named(0), TTL: 5, FirstRunAt: api.Never, JournalEntry: []byte("x")},
		CustodyRecord{ID: named(1), Handoff: 7, Present: true, Offer: Offer{To: "b", Move: 3, Uncertain: true}}} {
		b, err := cbor.Marshal(v)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var c, c2 TransferredWebhook
		if decMode.Unmarshal(b, &c) == nil {
			raw, err := encMode.Marshal(c)
			require.NoError(t, err)
			require.NoError(t, decMode.Unmarshal(raw, &c2))
			assert.Equal(t, c, c2)
		}
		var r, r2 CustodyRecord
		if decMode.Unmarshal(b, &r) == nil {
			raw, err := encMode.Marshal(r)
			require.NoError(t, err)
			require.NoError(t, decMode.Unmarshal(raw, &r2))
			assert.Equal(t, r, r2)
			NewCustodyTable([]CustodyRecord{r}, nobodyHolds).HandleOffer(r.ID, r.Handoff, r.TTL, 0, true)
		}
	})
}

func TestWhatIsInDoubtGoesNowhereElse(t *testing.T) {
	n, k := named(0), NewCustodyTable(nil, nobodyHolds)
	hand, ok := k.BeginOffer(n, ttl, Offer{To: "b", Incarnation: 1})
	require.True(t, ok)
	for _, o := range []Offer{{To: "c", Incarnation: 1}, {To: "b", Incarnation: 2}} {
		_, ok = k.BeginOffer(n, ttl, o)
		assert.False(t, ok)
	}
	again, ok := k.BeginOffer(n, ttl, Offer{To: "b", Incarnation: 1})
	assert.True(t, ok)
	assert.Equal(t, hand, again)
}

func TestWhatIsNotAMembersIsRefusedAndHandsGoOnAboveANo(t *testing.T) {
	n, k := named(0), NewCustodyTable(nil, nobodyHolds)
	reply, taking := k.HandleOffer(n, 1, ttl, 0, false)
	assert.Equal(t, []any{CustodyRejected, OfferNotTaken}, []any{reply, taking})
	assert.Zero(t, k.Len())
	reply, fresh := k.HandleQuery(n, 5, ttl)
	assert.Equal(t, []any{CustodyNever, true}, []any{reply, fresh})
	assert.Equal(t, HandoffNumber(6), k.NextHandoff(n))
	_, taking = k.HandleOffer(n, 6, ttl, 0, true)
	assert.Equal(t, OfferTaken, taking)
}
