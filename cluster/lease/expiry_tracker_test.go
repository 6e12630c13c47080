package lease

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

const testTTL = 3 * api.Second

// The tracker behaves as a map of deadlines does, which is the reference implementation.
func TestExpiryTracker_AgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewExpiryTracker(testTTL)
		until := deadlines{}
		now := api.Micros(0)
		ending := map[cluster.SessionID]bool{}
		tracker.StartLeading(now, 1, nil)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += api.Micros(rapid.IntRange(0, int(testTTL)/2).Draw(t, "wait"))
			s := cluster.SessionID(rapid.IntRange(1, 4).Draw(t, "session"))
			_, known := until[s]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				assert.Equal(t, !ending[s], tracker.AddOrRenew(s, now))
				if !ending[s] {
					until[s] = now + testTTL
				}
			case 1, 2:
				assert.Equal(t, known && !ending[s], tracker.Renew(s, now))
				if known && !ending[s] {
					until[s] = now + testTTL
				}
			case 3:
				tracker.Remove(s)
				delete(until, s)
				delete(ending, s)
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "elected") == 0 {
					tracker.StartLeading(now, 1, slices.Sorted(maps.Keys(until)))
					clear(ending)
					for s := range until {
						until[s] = now + testTTL
					}
				}
			}
			if at, ok := tracker.NextCheckAt(); len(until) > 0 {
				require.True(t, ok)
				assert.LessOrEqual(t, at, slices.Min(slices.Collect(maps.Values(until))))
			}
			if rapid.Bool().Draw(t, "look") {
				checkExpired(t, tracker.TakeExpired(now), until, ending, now)
			}
		}
	})
}

type deadlines map[cluster.SessionID]api.Micros

func checkExpired(
	t *rapid.T, expired []ExpiredSession, until deadlines, ending map[cluster.SessionID]bool, now api.Micros,
) {
	t.Helper()
	returned := map[cluster.SessionID]bool{}
	for _, e := range expired {
		assert.False(t, returned[e.Session])
		returned[e.Session] = true
	}
	for s, at := range until {
		assert.Equal(t, now >= at, returned[s], "session %d", s)
		if returned[s] { // it is returned again later, unless its end is applied
			ending[s] = true
			until[s] = now + testTTL/4
		}
	}
}

func TestExpiryTracker_NotLeadingRenewsNothing(t *testing.T) {
	tracker := NewExpiryTracker(testTTL)
	assert.False(t, tracker.IsLeading())
	assert.False(t, tracker.AddOrRenew(1, 0))
	tracker.StartLeading(0, 5, []cluster.SessionID{1})
	assert.True(t, tracker.Renew(1, 1))
	assert.Empty(t, tracker.TakeExpired(testTTL), "a full TTL from the renewal")
	tracker.StopLeading()
	assert.False(t, tracker.IsLeading())
	assert.False(t, tracker.Renew(1, 2))
	assert.Empty(t, tracker.TakeExpired(10*testTTL))
}

// A repeated request to open a session must not confirm it while the log is about to end it.
func TestExpiryTracker_RejectsOpenOfExpiredSession(t *testing.T) {
	tracker := NewExpiryTracker(testTTL)
	tracker.StartLeading(0, 5, nil)
	require.True(t, tracker.AddOrRenew(6, 0))
	require.Equal(t, []ExpiredSession{{6, 5}}, tracker.TakeExpired(testTTL))
	assert.False(t, tracker.AddOrRenew(6, testTTL))
	assert.False(t, tracker.Renew(6, testTTL))
	assert.Empty(t, tracker.TakeExpired(testTTL+1))
	assert.Equal(t, []ExpiredSession{{6, 5}}, tracker.TakeExpired(testTTL+testTTL/4), "its end was not applied")
}

// Whatever the rates of the clocks within the drift, the holder stops before the leader may end the session.
func TestHolder_StopsBeforeExpiryForAnyClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.Float64Range(0, 0.3).Draw(t, "drift")
		length := api.Micros(rapid.Int64Range(100, 10_000_000).Draw(t, "ttl"))
		rate := rapid.Float64Range(1-drift, 1+drift)
		memberRate, leaderRate := rate.Draw(t, "member"), rate.Draw(t, "leader")
		member, tracker := NewHolder(length, drift), NewExpiryTracker(length)
		begin := rapid.Float64Range(0, 1e9).Draw(t, "begin") // true microseconds
		at := func(rate, trueTime float64) api.Micros { return api.Micros(rate * trueTime) }
		renewal := member.StartRenewal(at(memberRate, begin))
		tracker.StartLeading(0, 1, nil)
		require.True(t, tracker.AddOrRenew(2, at(leaderRate, begin)))
		require.True(t, member.ConfirmRenewal(renewal, 2))
		later := begin + float64(length)*rapid.Float64Range(0.5, 2).Draw(t, "later")
		if len(tracker.TakeExpired(at(leaderRate, later))) > 0 {
			assert.False(t, member.IsValid(at(memberRate, later)))
		}
	})
}

// A leader that was paused may read a response that a peer gave before another leader was elected. The response
// proves nothing about any time after the request was sent.
func TestQuorumContact_CountsFromWhenSent(t *testing.T) {
	contact := NewQuorumContact(5)
	contact.RecordContact(3, "k2", 100)
	assert.False(t, contact.HasQuorumSince(100), "two of five")
	contact.RecordContact(3, "k3", 90)
	assert.True(t, contact.HasQuorumSince(90))
	assert.False(t, contact.HasQuorumSince(91))
	contact.RecordContact(3, "k3", 80) // late
	assert.True(t, contact.HasQuorumSince(90))
	contact.RecordContact(4, "k2", 200) // a new term: earlier contacts no longer count
	contact.RecordContact(3, "k3", 300)
	assert.False(t, contact.HasQuorumSince(0))
	assert.True(t, NewQuorumContact(1).HasQuorumSince(5), "a single node is its own majority")
}
