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

const term = 3 * api.Second

// A plain map stands for what the keeper's clock has to do.
func TestTermsAgainstAPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms, until, now := NewExpiryTracker(term), times{}, api.Micros(0)
		ending := map[cluster.SessionID]bool{}
		terms.StartLeading(now, 1, nil)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += api.Micros(rapid.IntRange(0, int(term)/2).Draw(t, "wait"))
			s := cluster.SessionID(rapid.IntRange(1, 4).Draw(t, "session"))
			_, known := until[s]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				assert.Equal(t, !ending[s], terms.AddOrRenew(s, now))
				if !ending[s] {
					until[s] = now + term
				}
			case 1, 2:
				assert.Equal(t, known && !ending[s], terms.Renew(s, now))
				if known && !ending[s] {
					until[s] = now + term
				}
			case 3:
				terms.Remove(s)
				delete(until, s)
				delete(ending, s)
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "elected") == 0 {
					terms.StartLeading(now, 1, slices.Sorted(maps.Keys(until)))
					clear(ending)
					for s := range until {
						until[s] = now + term
					}
				}
			}
			if at, ok := terms.NextCheckAt(); len(until) > 0 {
				require.True(t, ok)
				assert.LessOrEqual(t, at, slices.Min(slices.Collect(maps.Values(until))))
			}
			if rapid.Bool().Draw(t, "look") {
				checkDue(t, terms.TakeExpired(now), until, ending, now)
			}
		}
	})
}

type times map[cluster.SessionID]api.Micros

func checkDue(t *rapid.T, over []ExpiredSession, until times, ending map[cluster.SessionID]bool, now api.Micros) {
	named := map[cluster.SessionID]bool{}
	for _, o := range over {
		assert.False(t, named[o.Session])
		named[o.Session] = true
	}
	for s, at := range until {
		assert.Equal(t, now >= at, named[s], "session %d", s)
		if named[s] { // and again, should the log not end it
			ending[s], until[s] = true, now+term/4
		}
	}
}

func TestKeeperThatDoesNotLeadRenewsNothing(t *testing.T) {
	terms := NewExpiryTracker(term)
	assert.False(t, terms.IsLeading())
	assert.False(t, terms.AddOrRenew(1, 0))
	terms.StartLeading(0, 5, []cluster.SessionID{1})
	assert.True(t, terms.Renew(1, 1))
	assert.Empty(t, terms.TakeExpired(term), "a whole term from the renewal")
	terms.StopLeading()
	assert.False(t, terms.IsLeading())
	assert.False(t, terms.Renew(1, 2))
	assert.Empty(t, terms.TakeExpired(10*term))
}

// Asked to open again while the log is about to end the session: the member must not be told that it goes on.
func TestOpenOfASessionThatIsEndingIsRefused(t *testing.T) {
	terms := NewExpiryTracker(term)
	terms.StartLeading(0, 5, nil)
	require.True(t, terms.AddOrRenew(6, 0))
	require.Equal(t, []ExpiredSession{{6, 5}}, terms.TakeExpired(term))
	assert.False(t, terms.AddOrRenew(6, term))
	assert.False(t, terms.Renew(6, term))
	assert.Empty(t, terms.TakeExpired(term+1))
	assert.Equal(t, []ExpiredSession{{6, 5}}, terms.TakeExpired(term+term/4), "its end was not applied")
}

// Whatever the rates within the bound: the holder stops before the keeper may end the session.
func TestHolderStopsFirstByAnyPairOfClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		apart := rapid.Float64Range(0, 0.3).Draw(t, "apart")
		length := api.Micros(rapid.Int64Range(100, 10_000_000).Draw(t, "term"))
		rate := rapid.Float64Range(1-apart, 1+apart)
		holder, keeper := rate.Draw(t, "holder"), rate.Draw(t, "keeper")
		tenure, terms := NewHolder(length, apart), NewExpiryTracker(length)
		begin := rapid.Float64Range(0, 1e9).Draw(t, "begin") // true microseconds
		at := func(rate, true float64) api.Micros { return api.Micros(rate * true) }
		ask := tenure.StartRenewal(at(holder, begin))
		terms.StartLeading(0, 1, nil)
		require.True(t, terms.AddOrRenew(2, at(keeper, begin)))
		require.True(t, tenure.ConfirmRenewal(ask, 2))
		later := begin + float64(length)*rapid.Float64Range(0.5, 2).Draw(t, "later")
		if len(terms.TakeExpired(at(keeper, later))) > 0 {
			assert.False(t, tenure.IsValid(at(holder, later)))
		}
	})
}

// A leader that was stopped reads an answer that was given before another was elected: it says nothing about
// a moment after it was asked for.
func TestAssentCountsFromWhenItWasAskedFor(t *testing.T) {
	a := NewQuorumContact(5)
	a.RecordContact(3, "k2", 100)
	assert.False(t, a.HasQuorumSince(100), "two of five")
	a.RecordContact(3, "k3", 90)
	assert.True(t, a.HasQuorumSince(90))
	assert.False(t, a.HasQuorumSince(91))
	a.RecordContact(3, "k3", 80) // late
	assert.True(t, a.HasQuorumSince(90))
	a.RecordContact(4, "k2", 200) // it leads anew: what was said before counts no more
	a.RecordContact(3, "k3", 300)
	assert.False(t, a.HasQuorumSince(0))
	assert.True(t, NewQuorumContact(1).HasQuorumSince(5), "alone it is its own majority")
}
