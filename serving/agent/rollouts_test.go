package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

func recordInProgress(order uint64) *state.Record {
	return &state.Record{Revision: order, Rollouts: []state.Rollout{
		{Service: "s", Target: "v2", State: state.RolloutInProgress, OrderRevision: order},
		{Service: "t", Target: "v2", State: state.RolloutRolledBack, OrderRevision: 1},
	}}
}

func reportWith(order, sequence uint64, failed int) state.RolloutReport {
	return state.RolloutReport{OrderRevision: order, Incarnation: 5, Sequence: sequence,
		Routes: []state.RouteCounts{{Target: state.AnswerCounts{Answers: 10, Failed: failed}}}}
}

func TestRolloutRelay_ReportsAtIntervalsAndBadAnswersAtOnce(t *testing.T) {
	var relay rolloutRelay
	assert.Empty(t, relay.takeDue(timeAfter(0), nil))
	assert.Empty(t, relay.takeDue(timeAfter(0), &state.Record{}))
	record := recordInProgress(4)
	first := relay.takeDue(timeAfter(time.Second), record)
	require.Len(t, first, 1, "an empty report before the proxy has reported, to get a lease")
	assert.Equal(t, state.RolloutReport{OrderRevision: 4}, first[0])
	assert.Empty(t, relay.takeDue(timeAfter(1500*time.Millisecond), record))

	relay.storeReports([]state.RolloutReport{reportWith(4, 1, 0)})
	assert.Len(t, relay.takeDue(timeAfter(1600*time.Millisecond), record), 1, "the first report of a new proxy process is sent at once")
	relay.storeReports([]state.RolloutReport{reportWith(4, 2, 0)})
	assert.Empty(t, relay.takeDue(timeAfter(1700*time.Millisecond), record))
	relay.storeReports([]state.RolloutReport{reportWith(4, 3, 1)})
	urgent := relay.takeDue(timeAfter(1800*time.Millisecond), record)
	require.Len(t, urgent, 1, "a bad answer is reported at once")
	assert.EqualValues(t, 3, urgent[0].Sequence)
	assert.Len(t, relay.takeDue(timeAfter(2800*time.Millisecond), record), 1)
	relay.takeDue(timeAfter(9*time.Second), recordInProgress(8))
	assert.Empty(t, relay.reports, "reports of roll-outs that have ended are dropped")
}

func TestPublisher_PassesOnLeases(t *testing.T) {
	p, proxy := newTestPublisher(7), newProxyReplica()
	p.setSynced()
	first, _ := p.updateSince(timeAfter(0), proxy.cursor)
	proxy.apply(first)
	p.renewLeases(timeAfter(0), nil)
	_, hasUpdate := p.updateSince(timeAfter(0), proxy.cursor)
	assert.False(t, hasUpdate)
	p.renewLeases(timeAfter(0), []state.RolloutLease{{OrderRevision: 4, Millis: 2500}})
	second, hasUpdate := p.updateSince(timeAfter(time.Second), proxy.cursor)
	require.True(t, hasUpdate)
	assert.Equal(t, []state.RolloutLease{{OrderRevision: 4, Millis: 1500}}, second.RolloutLeases,
		"the duration counts from the request for the lease")
	proxy.apply(second)
	_, hasUpdate = p.updateSince(timeAfter(time.Second), proxy.cursor)
	assert.False(t, hasUpdate)
	assert.Empty(t, p.leases.remaining(timeAfter(3*time.Second)))
}
