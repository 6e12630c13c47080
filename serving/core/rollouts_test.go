package core

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/register"
	"rowanlink/serving/rollout"
	"rowanlink/serving/state"
)

// controllerFixture is a controller with a register in memory.
type controllerFixture struct {
	*rolloutController
	record    state.Record
	failing   bool // changes aren't committed
	holdsRole bool
	connected bool // to a majority of the voters
}

func newControllerFixture() *controllerFixture {
	log := zerolog.Nop()
	f := &controllerFixture{holdsRole: true, connected: true, record: state.Record{Revision: 4, Rollouts: []state.Rollout{{
		Service: "s", Target: "v2", State: state.RolloutInProgress, DurationMillis: 16_000, OrderRevision: 4, Revision: 4,
	}}}}
	f.rolloutController = &rolloutController{
		latest:    func() (state.Record, bool) { return f.record, true },
		change:    f.changeRecord,
		hasRole:   func() bool { return f.holdsRole },
		hasQuorum: func() bool { return f.connected },
		live: func() (all []state.Endpoint) {
			for _, version := range []string{"v1", "v1", "v1", "v2", "v2", "v2", "v2"} {
				all = append(all, state.Endpoint{Service: "s", SoftwareVersion: version})
			}
			return append(all, state.Endpoint{Service: "other", SoftwareVersion: "v7"})
		},
		bounds:      rolloutBounds{acknowledgement: 5 * time.Second, rollback: 5 * time.Second},
		log:         &log,
		wake:        make(chan struct{}, 1),
		judge:       rollout.NewJudge(),
		rollingBack: map[uint64]bool{},
	}
	return f
}

func (f *controllerFixture) changeRecord(_ context.Context, update register.Update) (state.Record, error) {
	if f.failing {
		return f.record, errors.New("no majority")
	}
	next, err := update(f.record)
	if errors.Is(err, register.ErrNoChange) {
		return f.record, nil
	}
	next.Revision++
	f.record = next
	return next, err
}

// send sends an agent's report with the given number of failed answers of the target, and returns the leases.
func (f *controllerFixture) send(sequence uint64, failed int) []state.RolloutLease {
	request := &rollout.ReportRequest{Observer: "agent-1", Reports: []state.RolloutReport{{
		OrderRevision: 4, Incarnation: 1, Sequence: sequence,
		Routes: []state.RouteCounts{{Route: "r", Target: state.AnswerCounts{Answers: 20, Failed: failed}}},
	}, {OrderRevision: 99}}}
	for _, id := range []string{"a", "b", "c"} {
		bad := state.EndpointCounts{ID: id, Answers: 5, Bad: min(failed, 1)}
		request.Reports[0].Endpoints = append(request.Reports[0].Endpoints, bad)
	}
	return f.report(time.Now(), request).Leases
}

func (f *controllerFixture) state() state.RolloutState {
	known, _ := f.record.Rollout("s")
	return known.State
}

func TestRolloutController_GrantsLeasesOnlyWhereItDecides(t *testing.T) {
	f := newControllerFixture()
	assert.Equal(t, []state.RolloutLease{{OrderRevision: 4, Millis: 2500}}, f.send(1, 0))
	f.holdsRole = false
	assert.Empty(t, f.send(2, 0), "another member decides")
	f.holdsRole, f.connected = true, false
	assert.Empty(t, f.send(3, 0), "without a majority nothing could be stopped")
	assert.Empty(t, f.wake)
}

func TestRolloutController_RollsBackABadVersion(t *testing.T) {
	f := newControllerFixture()
	f.send(1, 12)
	require.Len(t, f.wake, 1, "bad answers trigger a decision at once")
	known, _ := f.record.Rollout("s")
	f.connected = false
	f.carryOut(t.Context(), known)
	assert.Equal(t, state.RolloutInProgress, f.state(), "another member decides")
	f.connected, f.failing = true, true
	f.carryOut(t.Context(), known)
	assert.Equal(t, state.RolloutInProgress, f.state())
	assert.Empty(t, f.send(2, 12), "no lease any more, though the decision isn't committed")
	f.failing = false
	f.carryOut(t.Context(), known)
	assert.Equal(t, state.RolloutRolledBack, f.state())
	known, _ = f.record.Rollout("s")
	assert.Equal(t, state.RolloutFailures, known.Verdict.Reason)
	assert.Empty(t, f.send(3, 12))
	assert.True(t, f.isRecent(4), "an equal order is a retry")
}

func TestCapacityOf_CountsEndpointsAndListsReplacedVersions(t *testing.T) {
	f := newControllerFixture()
	known, _ := f.record.Rollout("s")
	all := append(f.live(), state.Endpoint{Service: "s", SoftwareVersion: "v2", WarmupLeftMillis: 10},
		state.Endpoint{Service: "s", SoftwareVersion: "v2", Unresponsive: true},
		state.Endpoint{Service: "s", SoftwareVersion: "v0", State: state.EndpointDraining})
	capacity, versions := capacityOf(all, &known)
	assert.Equal(t, rollout.Capacity{Target: 5, TargetWarmedUp: 4, Baseline: 3}, capacity)
	assert.Equal(t, []string{"v1", "v0"}, versions)
}
