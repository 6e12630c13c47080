package refresh

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/webhook/api"
)

const period = 2 * api.Second

// Guards against dispatchers that keep discovery overloaded: one may send four requests a second, but if all do,
// discovery spends its time rejecting requests.
func TestAllDispatchersRecoverTheirListsFromAnOverloadedDiscovery(t *testing.T) {
	const (
		dispatchers   = 80
		serveTime     = api.Second / 10
		rejectTime    = api.Second / 40
		clockStep     = api.Second / 1000
		recoveryLimit = 60 * api.Second
	)
	var schedulers []*Scheduler
	next := make([]api.Micros, dispatchers) // when each sends its request; Never: it has its list
	for i := range next {
		schedulers = append(schedulers, New(uint64(i), period))
		next[i] = schedulers[i].Next(Started, false).Delay
	}
	busyUntil, waiting := api.Micros(0), dispatchers
	for now := api.Micros(0); now < recoveryLimit && waiting > 0; now += clockStep {
		for i, at := range next {
			switch {
			case at == api.Never || at > now:
			case busyUntil <= now:
				next[i] = api.Never
				busyUntil = now + serveTime
				waiting--
			default:
				next[i] = now + schedulers[i].Next(Closed, false).Delay
				busyUntil += rejectTime
			}
		}
	}
	assert.Zero(t, waiting, "dispatchers without a list after a minute")
}

func TestDelaysAreBoundedAndRestartAfterActivity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := New(rapid.Uint64().Draw(t, "seed"), period)
		pushed := rapid.Bool().Draw(t, "pushed")
		anyReason := rapid.SampledFrom([]Reason{Started, AddressChanged, TimedOut, Closed, Malformed})
		for _, reason := range rapid.SliceOf(anyReason).Draw(t, "reasons") {
			delay := scheduler.Next(reason, pushed).Delay
			assert.True(t, delay >= 0 && delay <= maxBackoffPeriods*period, "%d µs", delay)
		}
		scheduler.RecordActivity()
		assert.LessOrEqual(t, scheduler.Next(Closed, pushed).Delay, period/2)
	})
}

// Checks for each path to the list, with one fault on the way, that the worst case is within the time in which a
// dispatcher must have the list. Changes that a watch missed count as notified three periods after the watch fell
// silent, or two after a change of address. Discovery takes an eighth of a period to reject a request, and a quarter to
// send the list.
func TestEachPathToTheListIsWithinItsLimit(t *testing.T) {
	const (
		rejectTime = period / 8
		serveTime  = period / 4
	)
	for name, path := range map[string]struct {
		reasons []Reason
		limit   api.Micros
	}{
		"silent watch": {[]Reason{TimedOut}, 3 * period},
		"silent watch, then no connection or header":    {[]Reason{TimedOut, TimedOut}, 3 * period},
		"silent watch, then a refusal":                  {[]Reason{TimedOut, Closed}, 3 * period},
		"ended watch, then no connection or header":     {[]Reason{Closed, TimedOut}, 3 * period},
		"ended watch, then a refusal":                   {[]Reason{Closed, Closed}, 3 * period},
		"first request, no connection or header":        {[]Reason{Started, TimedOut}, 3 * period},
		"first request refused":                         {[]Reason{Started, Closed}, 3 * period},
		"address change, then no connection or header":  {[]Reason{AddressChanged, TimedOut}, 2 * period},
		"address change, then a refusal":                {[]Reason{AddressChanged, Closed}, 2 * period},
		"address change after refusals, then no header": {[]Reason{Closed, Closed, Closed, AddressChanged, TimedOut}, 2 * period},
	} {
		for seed := range uint64(500) {
			for _, pushed := range []bool{false, true} {
				scheduler, elapsed := New(seed, period), api.Micros(0)
				scheduler.RecordActivity()
				request := scheduler.Next(Started, pushed)
				scheduler.RecordActivity()
				for i, reason := range path.reasons {
					switch {
					case reason == TimedOut && i == 0:
						elapsed += request.IdleTimeout
					case reason == TimedOut:
						elapsed += max(request.ConnectTimeout, request.ResponseTimeout)
					case i > 0 && reason == Closed:
						elapsed += rejectTime
					case reason == AddressChanged:
						elapsed = 0 // the limit counts from here
					}
					request = scheduler.Next(reason, pushed)
					elapsed += request.Delay
				}
				assert.LessOrEqual(t, elapsed+serveTime, path.limit, "%s, pushed: %v, seed %d", name, pushed, seed)
			}
		}
	}
}

func TestAfterASilentOutageOfAnyLengthTheListComesWithinItsLimit(t *testing.T) {
	for seed := range uint64(500) {
		scheduler := New(seed, period)
		for range 20 {
			unanswered := scheduler.Next(TimedOut, false)
			next := scheduler.Next(TimedOut, false)
			assert.LessOrEqual(t, unanswered.ResponseTimeout+next.Delay+period/4, 3*period)
		}
	}
}

// A change of the list that the agent has counts as notified, so the list is requested at once. During an outage a
// request is open, or soon will be, when discovery returns, even if the agent answers none of the earlier requests.
func TestAgentIsRequestedAtOnceAndRepeatedlyDuringAnOutage(t *testing.T) {
	const grace = period / 4
	for seed := range uint64(100) {
		scheduler := New(seed, period)
		assert.Zero(t, scheduler.Next(Started, true).Delay)
		scheduler.RecordActivity()
		assert.Zero(t, scheduler.Next(TimedOut, true).Delay)
		scheduler.RecordActivity()
		assert.Zero(t, scheduler.Next(AddressChanged, true).Delay)
		longTimeouts := 0
		for i := range 10 * longTimeoutInterval {
			request := scheduler.Next(TimedOut, true)
			assert.Zero(t, request.Delay)
			assert.GreaterOrEqual(t, max(request.ConnectTimeout, request.ResponseTimeout), period/16,
				"only the time-outs limit the rate of requests")
			if request.ResponseTimeout > grace {
				longTimeouts++
				assert.Greater(t, request.ResponseTimeout, period, "long enough for an agent that answers only with its first line")
				assert.GreaterOrEqual(t, i, longTimeoutInterval/2)
			}
		}
		assert.Equal(t, 10, longTimeouts)
		for range 100 {
			delay := scheduler.Next(Closed, true).Delay
			assert.True(t, delay >= period/32 && delay <= grace/2, "refusals must not cause a busy loop: %d", delay)
		}
	}
}

// Guards against a malformed list that is requested and logged ten times a second.
func TestListThatStaysMalformedIsRequestedWithBackoff(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		scheduler := New(1, period)
		for range 9 {
			scheduler.Next(Malformed, pushed)
			scheduler.RecordActivity() // each watch begins with a valid list
		}
		assert.GreaterOrEqual(t, scheduler.Next(Malformed, pushed).Delay, period)
		assert.LessOrEqual(t, scheduler.Next(Closed, pushed).Delay, period/2)
	}
}

func TestStartupDelayAppliesOnlyToPushedListsAndIsShorterThanAClientsTimeout(t *testing.T) {
	scheduler := New(1, period)
	assert.Zero(t, scheduler.StartupDelay(false))
	assert.Positive(t, scheduler.StartupDelay(true))
	assert.Less(t, scheduler.StartupDelay(true), period/5)
}
