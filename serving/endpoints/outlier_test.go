package endpoints

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// outliers is a table of ten endpoints of one service, e0 to e9, that have just sent a heartbeat.
type outliers struct {
	*Table
	now      time.Time
	sequence uint64
}

const outlierEndpoints = 10

func newOutliers() *outliers {
	o := &outliers{Table: NewTable(Options{Self: "self", HeartbeatInterval: testInterval}), now: epoch}
	o.beat()
	return o
}

// beat has all endpoints send a heartbeat and tells what is known of e0.
func (o *outliers) beat() (first state.Endpoint, spread bool) {
	o.sequence++
	for index := range outlierEndpoints {
		id := fmt.Sprintf("e%d", index)
		known, change := o.ReceiveHeartbeat(o.now, id, Heartbeat{Service: "s", Address: id + ":80", Sequence: o.sequence})
		if index == 0 {
			first, spread = known, change.Broadcast
		}
	}
	return first, spread
}

// observe tells of an endpoint through so many proxies.
func (o *outliers) observe(id string, observers, failures int, unacknowledged bool) (marked bool) {
	for index := range observers {
		_, news := o.RecordObservation(o.now, fmt.Sprintf("proxy-%d", index),
			state.Observation{EndpointID: id, Failures: failures, Unacknowledged: unacknowledged})
		marked = marked || news
	}
	return marked
}

func TestAnEndpointThatFailsAtSeveralProxiesIsMarked(t *testing.T) {
	for _, point := range []struct {
		name           string
		observers      int
		failures       int
		unacknowledged bool
		marked         bool
	}{
		{"one proxy's trouble is its own", 1, 20, true, false},
		{"two that agree", 2, 2, false, true},
		{"too few failures", 2, 1, false, false},
		{"silence needs no failure", 2, 0, true, true},
	} {
		t.Run(point.name, func(t *testing.T) {
			o := newOutliers()
			before, _ := o.Get(o.now, "e0")
			assert.Equal(t, point.marked, o.observe("e0", point.observers, point.failures, point.unacknowledged))
			after, _ := o.Get(o.now, "e0")
			assert.Equal(t, point.marked, after.Failing)
			assert.Equal(t, point.marked, isNewer(after, before), "others take it for news")
		})
	}
}

func TestOldObservationsDontCount(t *testing.T) {
	o := newOutliers()
	assert.False(t, o.observe("e0", 1, 5, false))
	o.now = o.now.Add(reportLifetime + time.Millisecond)
	_, news := o.RecordObservation(o.now, "proxy-9", state.Observation{EndpointID: "e0", Failures: 5})
	assert.False(t, news)
}

// TestWhereAllFailNoneIsMarked: too much traffic makes calls fail everywhere.
func TestWhereAllFailNoneIsMarked(t *testing.T) {
	o := newOutliers()
	for round := range 4 {
		for index := outlierEndpoints - 1; index >= 0; index-- {
			marked := o.observe(fmt.Sprintf("e%d", index), 1, 1, false)
			assert.False(t, marked && round > 0, "round %d, endpoint %d", round, index)
		}
	}
}

// TestNotTooManyAreMarked: those that are left must bear the load.
func TestNotTooManyAreMarked(t *testing.T) {
	o := newOutliers()
	marked := 0
	for index := range outlierEndpoints {
		if o.observe(fmt.Sprintf("e%d", index), 2, 1, true) {
			marked++
		}
	}
	assert.Equal(t, outlierEndpoints/2, marked)
}

func TestAMarkOutlivesHeartbeatsAndEnds(t *testing.T) {
	o := newOutliers()
	assert.True(t, o.observe("e0", 2, 3, false))
	o.now = o.now.Add(baseEjectionTime - time.Millisecond)
	first, _ := o.beat()
	assert.True(t, first.Failing)
	o.now = o.now.Add(time.Second)
	first, spread := o.beat()
	assert.False(t, first.Failing)
	assert.True(t, spread, "others hear of the mark's end")
}

// TestMarksThatReturnLastLonger: an endpoint that fails again and again is held off longer, up to a bound.
func TestMarksThatReturnLastLonger(t *testing.T) {
	o := newOutliers()
	for _, want := range []time.Duration{baseEjectionTime, 2 * baseEjectionTime, 4 * baseEjectionTime, maxEjectionTime, maxEjectionTime} {
		assert.True(t, o.observe("e0", 2, 3, false))
		marked := o.now
		for first, _ := o.beat(); first.Failing; first, _ = o.beat() {
			o.now = o.now.Add(time.Second)
		}
		assert.Equal(t, want, o.now.Sub(marked))
	}
	o.now = o.now.Add(ejectionMemory)
	o.beat()
	assert.True(t, o.observe("e0", 2, 3, false))
	assert.Equal(t, o.now.Add(baseEjectionTime), o.entries["e0"].outlier.ejectedUntil, "long ago is forgotten")
}

// TestAnEndpointThatWasGoneIsUnmarked: its mark spoke of the life before.
func TestAnEndpointThatWasGoneIsUnmarked(t *testing.T) {
	o := newOutliers()
	for range 4 { // so that the mark is long
		assert.True(t, o.observe("e0", 2, 3, false))
		o.entries["e0"].endpoint.Failing = false
	}
	o.now = o.now.Add(resetAfterIntervals*testInterval + time.Millisecond)
	first, _ := o.beat()
	assert.False(t, first.Failing)
}

func TestObservationsOfWhatIsNotJudgedHere(t *testing.T) {
	o := newOutliers()
	o.Merge(o.now, state.Endpoint{ID: "far", Service: "s", Address: "far:80", Receiver: "other", Sequence: 1})
	o.Deregister(o.now, "e1")
	for _, id := range []string{"far", "e1", "unknown"} {
		assert.False(t, o.observe(id, 3, 9, true), id)
	}
}
