package endpoints

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// outlierFixture is a table of ten endpoints of one service, e0 to e9, that have just sent a heartbeat.
type outlierFixture struct {
	*Table
	now      time.Time
	sequence uint64
}

const outlierEndpoints = 10

func newOutlierFixture() *outlierFixture {
	o := &outlierFixture{Table: NewTable(Options{Self: "self", HeartbeatInterval: testInterval}), now: epoch}
	o.sendHeartbeats()
	return o
}

// sendHeartbeats sends a heartbeat of each endpoint and returns the state of e0.
func (o *outlierFixture) sendHeartbeats() (first state.Endpoint, broadcast bool) {
	o.sequence++
	for index := range outlierEndpoints {
		id := fmt.Sprintf("e%d", index)
		known, change := o.ReceiveHeartbeat(o.now, id, Heartbeat{Service: "s", Address: id + ":80", Sequence: o.sequence})
		if index == 0 {
			first, broadcast = known, change.Broadcast
		}
	}
	return first, broadcast
}

// observe records an equal observation of an endpoint by each of several proxies, and reports whether one of them
// ejects the endpoint.
func (o *outlierFixture) observe(id string, observers, failures int, unacknowledged bool) (ejected bool) {
	for index := range observers {
		_, isEjected := o.RecordObservation(o.now, fmt.Sprintf("proxy-%d", index),
			state.Observation{EndpointID: id, Failures: failures, Unacknowledged: unacknowledged})
		ejected = ejected || isEjected
	}
	return ejected
}

func TestRecordObservation_EjectsByAgreementOfProxies(t *testing.T) {
	for _, test := range []struct {
		name           string
		observers      int
		failures       int
		unacknowledged bool
		ejected        bool
	}{
		{"one proxy is not enough", 1, 20, true, false},
		{"two that agree", 2, 2, false, true},
		{"too few failures", 2, 1, false, false},
		{"missing acknowledgements need no failure", 2, 0, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newOutlierFixture()
			before, _ := o.Get(o.now, "e0")
			assert.Equal(t, test.ejected, o.observe("e0", test.observers, test.failures, test.unacknowledged))
			after, _ := o.Get(o.now, "e0")
			assert.Equal(t, test.ejected, after.Failing)
			assert.Equal(t, test.ejected, isNewer(after, before), "it is a newer version")
		})
	}
}

func TestRecordObservation_IgnoresOldReports(t *testing.T) {
	o := newOutlierFixture()
	assert.False(t, o.observe("e0", 1, 5, false))
	o.now = o.now.Add(reportLifetime + time.Millisecond)
	_, isEjected := o.RecordObservation(o.now, "proxy-9", state.Observation{EndpointID: "e0", Failures: 5})
	assert.False(t, isEjected)
}

// TestRecordObservation_EjectsNoneWhereAllFail guards against ejections during an overload, which makes calls to all
// endpoints fail.
func TestRecordObservation_EjectsNoneWhereAllFail(t *testing.T) {
	o := newOutlierFixture()
	for round := range 4 {
		for index := outlierEndpoints - 1; index >= 0; index-- {
			ejected := o.observe(fmt.Sprintf("e%d", index), 1, 1, false)
			assert.False(t, ejected && round > 0, "round %d, endpoint %d", round, index)
		}
	}
}

// TestRecordObservation_EjectsHalfAtMost guards against so many ejections that the other endpoints can't take over the
// load.
func TestRecordObservation_EjectsHalfAtMost(t *testing.T) {
	o := newOutlierFixture()
	ejected := 0
	for index := range outlierEndpoints {
		if o.observe(fmt.Sprintf("e%d", index), 2, 1, true) {
			ejected++
		}
	}
	assert.Equal(t, outlierEndpoints/2, ejected)
}

func TestEjection_OutlastsHeartbeatsAndEnds(t *testing.T) {
	o := newOutlierFixture()
	assert.True(t, o.observe("e0", 2, 3, false))
	o.now = o.now.Add(baseEjectionTime - time.Millisecond)
	first, _ := o.sendHeartbeats()
	assert.True(t, first.Failing)
	o.now = o.now.Add(time.Second)
	first, broadcast := o.sendHeartbeats()
	assert.False(t, first.Failing)
	assert.True(t, broadcast, "the end of the ejection is broadcast")
}

// TestEjection_RepeatedLastsLonger checks that the ejection time doubles with each repeated ejection, up to a bound,
// and begins anew after repeatedEjectionWindow.
func TestEjection_RepeatedLastsLonger(t *testing.T) {
	o := newOutlierFixture()
	wantTimes := []time.Duration{
		baseEjectionTime, 2 * baseEjectionTime, 4 * baseEjectionTime, maxEjectionTime, maxEjectionTime,
	}
	for _, want := range wantTimes {
		assert.True(t, o.observe("e0", 2, 3, false))
		ejected := o.now
		for first, _ := o.sendHeartbeats(); first.Failing; first, _ = o.sendHeartbeats() {
			o.now = o.now.Add(time.Second)
		}
		assert.Equal(t, want, o.now.Sub(ejected))
	}
	o.now = o.now.Add(repeatedEjectionWindow)
	o.sendHeartbeats()
	assert.True(t, o.observe("e0", 2, 3, false))
	assert.Equal(t, o.now.Add(baseEjectionTime), o.entries["e0"].outlier.ejectedUntil,
		"an ejection that ended long ago doesn't count as repeated")
}

// TestEjection_EndsWithRestart checks that an endpoint that has restarted isn't ejected for the failures of its earlier
// process.
func TestEjection_EndsWithRestart(t *testing.T) {
	o := newOutlierFixture()
	for range 4 { // repeated, so that the last ejection is long
		assert.True(t, o.observe("e0", 2, 3, false))
		o.entries["e0"].endpoint.Failing = false
	}
	o.now = o.now.Add(resetAfterIntervals*testInterval + time.Millisecond)
	first, _ := o.sendHeartbeats()
	assert.False(t, first.Failing)
}

// TestRecordObservation_OfEndpointsOfOthers checks that a member ejects no endpoint for which it isn't responsible, and
// none that is departed or unknown.
func TestRecordObservation_OfEndpointsOfOthers(t *testing.T) {
	o := newOutlierFixture()
	o.Merge(o.now, state.Endpoint{ID: "far", Service: "s", Address: "far:80", Receiver: "other", Sequence: 1})
	o.Deregister(o.now, "e1")
	for _, id := range []string{"far", "e1", "unknown"} {
		assert.False(t, o.observe(id, 3, 9, true), id)
	}
}
