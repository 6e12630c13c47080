package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// rolloutFixture is a picker of a service with 30 endpoints of v1 and 30 of v2, and an order of a roll-out to v2.
type rolloutFixture struct {
	*pickerFixture
	t       *testing.T
	rollout state.Rollout
}

func versionedEndpoints(version string, count int) (endpoints []state.Endpoint) {
	for index := range count {
		endpoint := state.Endpoint{ID: fmt.Sprintf("%s-%d", version, index), Service: "model", Zone: "e1", Slots: 128,
			Address: "10.0.0.1:80", Sequence: 1, SoftwareVersion: version, Models: []state.Model{{Name: "m"}}}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

func newRolloutFixture(t *testing.T) *rolloutFixture {
	f := &rolloutFixture{t: t, pickerFixture: newFixture(t, "e1", versionedEndpoints("v1", 30)...)}
	f.SetBounds(rolloutBounds())
	f.rollout = state.Rollout{Service: "model", Target: "v2", State: state.RolloutInProgress, OrderRevision: 2, Revision: 2}
	f.snapshot.Endpoints = append(f.snapshot.Endpoints, versionedEndpoints("v2", 30)...)
	f.setRollout(state.RolloutInProgress, state.RolloutCanary)
	return f
}

func rolloutBounds() (b settings.Bounds) {
	b = bounds
	b.ExposureShare = 0.1
	return b
}

// setRollout sets the state of the roll-out and renews the lease for a minute.
func (f *rolloutFixture) setRollout(newState state.RolloutState, step state.RolloutStep, retired ...string) {
	f.rollout.State, f.rollout.Step, f.rollout.Retired = newState, step, retired
	f.rollout.Revision++
	f.snapshot.Record = &state.Record{Revision: f.rollout.Revision, Rollouts: []state.Rollout{f.rollout}}
	f.snapshot.RolloutLeases = []state.RolloutLease{{OrderRevision: 2, Millis: 60_000}}
	f.update()
}

// send sends requests with short prompts one after the other, and returns how many went to each version and to how many
// endpoints of it. outcome is reported for the calls to v2.
func (f *rolloutFixture) send(count int, outcome attempt.Outcome) (requests, endpoints map[string]int) {
	requests, endpoints = map[string]int{}, map[string]int{}
	seen := map[string]bool{}
	for subject := range count {
		f.now = f.now.Add(20 * time.Millisecond)
		request := f.shortRequest("urgent", subject)
		request.Blocks, request.PromptTokens = nil, 500
		choice, decision := f.Pick(f.now, request)
		require.Equal(f.t, Picked, decision.Kind)
		version := choice.Endpoint.SoftwareVersion
		requests[version]++
		if !seen[choice.Endpoint.ID] {
			seen[choice.Endpoint.ID] = true
			endpoints[version]++
		}
		result := attempt.Succeeded
		if version == "v2" {
			result = outcome
		}
		if result == attempt.Succeeded {
			f.ReportProgress(f.now.Add(time.Millisecond), choice.Reservation)
		}
		f.ReportOutcome(f.now.Add(2*time.Millisecond), choice.Reservation, result)
	}
	return requests, endpoints
}

func TestRollout_SharesOfTheSteps(t *testing.T) {
	for _, test := range []struct {
		step                       state.RolloutStep
		minRequests, maxRequests   int // to the target, of 1,000
		minEndpoints, maxEndpoints int // of the target that get requests
	}{
		{state.RolloutCanary, 25, 35, 1, minCanaries},
		{state.RolloutRamp, 240, 260, 1, 7},
		{state.RolloutFull, 1000, 1000, 3, 30},
	} {
		f := newRolloutFixture(t)
		f.setRollout(state.RolloutInProgress, test.step)
		requests, endpoints := f.send(1000, attempt.Succeeded)
		assert.GreaterOrEqual(t, requests["v2"], test.minRequests, "step %d", test.step)
		assert.LessOrEqual(t, requests["v2"], test.maxRequests, "step %d", test.step)
		assert.GreaterOrEqual(t, endpoints["v2"], test.minEndpoints, "step %d", test.step)
		assert.LessOrEqual(t, endpoints["v2"], test.maxEndpoints, "step %d", test.step)
	}
}

func TestRollout_LoadsEndpoints(t *testing.T) {
	f := newRolloutFixture(t)
	f.setRollout(state.RolloutInProgress, state.RolloutLoad)
	requests, _ := f.send(40, attempt.Succeeded)
	assert.Greater(t, requests["v2"], 35, "nearly all requests with short prompts")
	requests, _ = f.send(1000, attempt.Succeeded)
	assert.Less(t, requests["v2"], 150, "this proxy's part of the calls that may load two endpoints, and the canaries")
	f = newRolloutFixture(t)
	f.setRollout(state.RolloutInProgress, state.RolloutLoad)
	var probes []state.Load
	for _, probe := range f.rollouts.inProgress["model"].loadProbes {
		probes = append(probes, state.Load{EndpointID: probe.info.ID, Running: 80, Measurement: 1})
	}
	require.Len(t, probes, loadProbeCount)
	f.snapshot.Loads = probes
	f.update()
	requests, _ = f.send(50, attempt.Succeeded)
	assert.Less(t, requests["v2"], 10, "their load reports show the intended load")
	reports := f.RolloutReports()
	require.Len(t, reports, 1)
	assert.Less(t, reports[0].Routes[0].Target.Timed, 100, "the times of calls to load probes aren't compared")
}

func TestRollout_NothingWithoutALease(t *testing.T) {
	f := newRolloutFixture(t)
	f.setRollout(state.RolloutInProgress, state.RolloutFull)
	f.now = f.now.Add(59 * time.Second)
	requests, _ := f.send(100, attempt.Succeeded)
	assert.Equal(t, 51, requests["v1"], "the lease has expired at the fiftieth request: without one, nothing is sent to the target")
}

func TestRollout_BreakerNeedsNoCore(t *testing.T) {
	f := newRolloutFixture(t)
	requests, _ := f.send(500, attempt.Failed) // ten seconds
	assert.LessOrEqual(t, requests["v2"], 4, "each failed answer stops the target for longer")
	assert.Positive(t, requests["v2"])
	openings := f.TakeBreakerOpenings()
	assert.Len(t, openings, requests["v2"])
	pending, urgent := f.PendingObservations()
	assert.True(t, pending && urgent, "a failed answer is reported at once")
	report := f.RolloutReports()[0]
	assert.Equal(t, requests["v2"], report.Routes[0].Target.Failed)
	assert.Equal(t, requests["v1"], report.Routes[0].Baseline.Answers)
	_, urgent = f.PendingObservations()
	assert.False(t, urgent)
}

func TestRollout_Ended(t *testing.T) {
	f := newRolloutFixture(t)
	f.setRollout(state.RolloutRolledBack, state.RolloutCanary, "v2")
	requests, _ := f.send(300, attempt.Succeeded)
	assert.Zero(t, requests["v2"])
	f = newRolloutFixture(t)
	f.setRollout(state.RolloutPromoted, state.RolloutFull, "v1")
	requests, _ = f.send(300, attempt.Succeeded)
	assert.Zero(t, requests["v1"])
	assert.Empty(t, f.RolloutReports())
}

func TestRollout_RetriesAndResumedStreams(t *testing.T) {
	f := newRolloutFixture(t)
	f.setRollout(state.RolloutInProgress, state.RolloutFull)
	request := f.shortRequest("urgent", 1)
	request.TriedEndpoints = []string{"v2-3"}
	choice, _ := f.Pick(f.now, request)
	assert.Equal(t, "v1", choice.Endpoint.SoftwareVersion, "a retry goes to the versions in force")
	request.Resumed, request.Version = true, "v2"
	choice, _ = f.Pick(f.now, request)
	assert.Equal(t, "v2", choice.Endpoint.SoftwareVersion, "a stream is resumed on its version")
	request.Version = "v1"
	choice, _ = f.Pick(f.now, request)
	assert.Equal(t, "v1", choice.Endpoint.SoftwareVersion)
	f.setRollout(state.RolloutPromoted, state.RolloutFull, "v1")
	_, decision := f.Pick(f.now, request)
	assert.Equal(t, Reject, decision.Kind, "no endpoint of its version is left")
}

// TestRollout_RetriesAreDrawnLikeFirstAttempts: a request whose first attempt failed at a version in force is sent to the
// target as often as any other; one that failed at the target is not sent there again.
func TestRollout_RetriesAreDrawnLikeFirstAttempts(t *testing.T) {
	f := newRolloutFixture(t)
	f.setRollout(state.RolloutInProgress, state.RolloutRamp)
	atTarget := map[string]int{}
	for subject := range 1000 {
		f.now = f.now.Add(20 * time.Millisecond)
		for _, tried := range []string{"v1-3", "v2-3"} {
			request := f.shortRequest("urgent", subject)
			request.Blocks, request.PromptTokens = nil, 500
			request.TriedEndpoints = []string{tried}
			choice, decision := f.Pick(f.now, request)
			require.Equal(t, Picked, decision.Kind)
			if choice.Endpoint.SoftwareVersion == "v2" {
				atTarget[tried]++
			}
			f.ReportProgress(f.now.Add(time.Millisecond), choice.Reservation)
			f.ReportOutcome(f.now.Add(2*time.Millisecond), choice.Reservation, attempt.Succeeded)
		}
	}
	assert.InDelta(t, 250, atTarget["v1-3"], 10, "the share of the step")
	assert.Zero(t, atTarget["v2-3"])
}

// TestRollout_VersionsWithoutAnOrder: endpoints of a version that no roll-out names get nothing at first, since an
// order may be on its way, unless there are no others.
func TestRollout_VersionsWithoutAnOrder(t *testing.T) {
	w := newFixture(t, "e1", versionedEndpoints("v1", 3)...)
	f := &rolloutFixture{t: t, pickerFixture: w}
	w.snapshot.Endpoints = append(w.snapshot.Endpoints, versionedEndpoints("v2", 30)...)
	w.update()
	requests, _ := f.send(100, attempt.Succeeded)
	assert.Zero(t, requests["v2"])
	for index := range 3 {
		w.snapshot.Endpoints[index].State = state.EndpointDraining
	}
	w.update()
	requests, _ = f.send(10, attempt.Succeeded)
	assert.Equal(t, 10, requests["v2"], "no endpoint of another version is left")

	f = &rolloutFixture{t: t, pickerFixture: newFixture(t, "e1", versionedEndpoints("v1", 3)...)}
	f.snapshot.Endpoints = append(f.snapshot.Endpoints, versionedEndpoints("v2", 30)...)
	f.update()
	f.now = f.now.Add(newVersionHold)
	f.update()
	requests, _ = f.send(100, attempt.Succeeded)
	assert.Positive(t, requests["v2"], "a version without an order gets requests after the hold")
}

func TestRollout_NoVersionInForceIsLeft(t *testing.T) {
	f := newRolloutFixture(t)
	f.snapshot.Endpoints = f.snapshot.Endpoints[30:]
	f.snapshot.RolloutLeases = nil
	f.now = f.now.Add(2 * time.Minute)
	f.update()
	requests, _ := f.send(20, attempt.Succeeded)
	assert.Equal(t, 20, requests["v2"], "the target serves all requests, even without a lease")
}
