package refresh

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/webhook/api"
)

const period = 2 * api.Second

// Each dispatcher alone may ask four times a second; where all of a fleet do, refusing them is all that
// discovery comes to.
func TestAFleetThatLostItsListsHasThemAgainFromADiscoveryThatAsksKeepBusy(t *testing.T) {
	const fleet, serving, refusing, until = 80, api.Second / 10, api.Second / 40, 60 * api.Second
	var asks []*Scheduler
	next := make([]api.Micros, fleet)
	for i := range next {
		asks = append(asks, New(uint64(i), period))
		next[i] = asks[i].Next(Started, false).Delay
	}
	busy, waiting := api.Micros(0), fleet
	for now := api.Micros(0); now < until && waiting > 0; now += api.Second / 1000 {
		for i, at := range next {
			switch {
			case at == api.Never || at > now:
			case busy <= now:
				next[i], busy = api.Never, now+serving
				waiting--
			default:
				next[i], busy = now+asks[i].Next(Closed, false).Delay, busy+refusing
			}
		}
	}
	assert.Zero(t, waiting, "dispatchers without a list after a minute")
}

func TestWaitsStayWithinTheLongestAndBeginAnewOnceAListCame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, pushed := New(rapid.Uint64().Draw(t, "seed"), period), rapid.Bool().Draw(t, "pushed")
		for _, why := range rapid.SliceOf(rapid.SampledFrom([]Reason{Started, AddressChanged, TimedOut, Closed, Malformed})).
			Draw(t, "ends") {
			wait := a.Next(why, pushed).Delay
			assert.True(t, wait >= 0 && wait <= maxBackoffPeriods*period, "%d µs", wait)
		}
		a.RecordActivity()
		assert.LessOrEqual(t, a.Next(Closed, pushed).Delay, period/2)
	})
}

// The list's clock, each worst path with one mishap on the way: what a watch missed counts as told three
// periods after it fell silent, two after a move. A refusal takes a discovery an eighth of a period, the
// answer that brings the list a quarter.
func TestEachPathToTheListIsInsideTheClock(t *testing.T) {
	for what, path := range map[string]struct {
		ends  []Reason
		clock api.Micros
	}{
		"silent watch":                         {[]Reason{TimedOut}, 3 * period},
		"silent watch, silent connect or head": {[]Reason{TimedOut, TimedOut}, 3 * period},
		"silent watch, refused":                {[]Reason{TimedOut, Closed}, 3 * period},
		"ended watch, silent connect or head":  {[]Reason{Closed, TimedOut}, 3 * period},
		"ended watch, refused":                 {[]Reason{Closed, Closed}, 3 * period},
		"first ask, silent connect or head":    {[]Reason{Started, TimedOut}, 3 * period},
		"first ask, refused":                   {[]Reason{Started, Closed}, 3 * period},
		"move, silent connect or head":         {[]Reason{AddressChanged, TimedOut}, 2 * period},
		"move, refused":                        {[]Reason{AddressChanged, Closed}, 2 * period},
		"move amid refusals, silent head":      {[]Reason{Closed, Closed, Closed, AddressChanged, TimedOut}, 2 * period},
	} {
		for seed := range uint64(500) {
			for _, pushed := range []bool{false, true} {
				a, took := New(seed, period), api.Micros(0)
				a.RecordActivity()
				ask := a.Next(Started, pushed)
				a.RecordActivity()
				for i, why := range path.ends {
					switch {
					case why == TimedOut && i == 0:
						took += ask.IdleTimeout
					case why == TimedOut:
						took += max(ask.ConnectTimeout, ask.ResponseTimeout)
					case i > 0 && why == Closed:
						took += period / 8
					case why == AddressChanged:
						took = 0 // the clock starts
					}
					ask = a.Next(why, pushed)
					took += ask.Delay
				}
				assert.LessOrEqual(t, took+period/4, path.clock, "%s, pushed: %v, seed %d", what, pushed, seed)
			}
		}
	}
}

func TestAfterASilentOutageOfAnyLengthTheListComesInsideTheClock(t *testing.T) {
	for seed := range uint64(500) {
		a := New(seed, period)
		for range 20 {
			hung := a.Next(TimedOut, false)
			assert.LessOrEqual(t, hung.ResponseTimeout+a.Next(TimedOut, false).Delay+period/4, 3*period)
		}
	}
}

// What an agent has counts as told: it is asked at once, and in an outage an ask is open, or soon will be,
// when discovery returns, also if the agent answers none that it was asked before.
func TestAnAgentIsAskedAtOnceAndDuringAnOutageAgainAndAgain(t *testing.T) {
	const grace = period / 4
	for seed := range uint64(100) {
		a := New(seed, period)
		assert.Zero(t, a.Next(Started, true).Delay)
		a.RecordActivity()
		assert.Zero(t, a.Next(TimedOut, true).Delay)
		a.RecordActivity()
		assert.Zero(t, a.Next(AddressChanged, true).Delay)
		patient := 0
		for i := range 10 * patientInterval {
			ask := a.Next(TimedOut, true)
			assert.Zero(t, ask.Delay)
			assert.GreaterOrEqual(t, max(ask.ConnectTimeout, ask.ResponseTimeout), period/16, "one that hangs is the pace")
			if ask.ResponseTimeout > grace {
				patient++
				assert.Greater(t, ask.ResponseTimeout, period, "an agent that answers with its first line")
				assert.GreaterOrEqual(t, i, patientInterval/2)
			}
		}
		assert.Equal(t, 10, patient)
		for range 100 {
			wait := a.Next(Closed, true).Delay
			assert.True(t, wait >= period/32 && wait <= grace/2, "a refusal answered at once must not spin: %d", wait)
		}
	}
}

// The same unreadable list ten times a second would be all that is in the log.
func TestAListThatStaysUnreadableIsAskedForByTheSchedule(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		a := New(1, period)
		for range 9 {
			a.Next(Malformed, pushed)
			a.RecordActivity() // each watch began with one that could be read
		}
		assert.GreaterOrEqual(t, a.Next(Malformed, pushed).Delay, period)
		assert.LessOrEqual(t, a.Next(Closed, pushed).Delay, period/2)
	}
}

func TestOnlyWhereListsArePushedCallsWaitForTheFirstAndShorterThanAClient(t *testing.T) {
	a := New(1, period)
	assert.Zero(t, a.StartupDelay(false))
	assert.True(t, a.StartupDelay(true) > 0 && a.StartupDelay(true) < period/5)
}
