package operator

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/quorum"
	"rowanlink/serving/state"
)

func TestHeartbeat_RegistersAndForwards(t *testing.T) {
	f := newFixture(t)
	response := f.call("POST", heartbeatPath, heartbeatBody("accepting", 4))
	assert.Equal(t, 200, response.Code)
	assert.JSONEq(t, `{"forward_to":"z1:1"}`, response.Body.String())
	want := state.Endpoint{ID: "i-7f3a91c2", Service: "huvo11a", Address: "10.128.0.9:8080", Zone: "z1", SoftwareVersion: "v1",
		Slots: 128, Sequence: 4, Receiver: "core-1", Models: []state.Model{{Name: "m", Version: 1}}}
	assert.Equal(t, []state.Endpoint{want}, f.replicator.put)
	assert.Equal(t, []state.Endpoint{want}, f.table.Live())

	assert.Equal(t, 200, f.call("POST", heartbeatPath, heartbeatBody("accepting", 5)).Code)
	assert.Len(t, f.replicator.put, 1, "a heartbeat without a change isn't gossiped")
	assert.Empty(t, f.replicator.replicated)
}

func TestClosing_IsAcknowledgedOnceReplicatedToAMajority(t *testing.T) {
	for _, call := range []struct{ name, path, body string }{
		{"closing", heartbeatPath, heartbeatBody("closing", 9)}, {"deregistration", deregisterPath, ""},
	} {
		t.Run(call.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.call("POST", heartbeatPath, heartbeatBody("accepting", 4))
				f.replicator.failures = 2
				for range 2 {
					start := time.Now()
					assert.Equal(t, 503, f.call("POST", call.path, call.body).Code)
					assert.Equal(t, replicationTimeout, time.Since(start))
				}
				assert.Equal(t, 200, f.call("POST", call.path, call.body).Code)
				assert.Len(t, f.replicator.replicated, 3)
				targets := quorum.Targets{Others: []string{"core-2", "core-3"}, Local: true, Quorum: 2}
				assert.Equal(t, targets, f.replicator.targets)
				assert.Equal(t, 200, f.call("POST", call.path, call.body).Code)
				assert.Len(t, f.replicator.replicated, 3, "the other members have stored it already")
			})
		})
	}
}

func TestClosing_ReplicasNeededForAMajority(t *testing.T) {
	for _, test := range []struct {
		name    string
		voters  fakeVoters
		targets quorum.Targets
	}{
		{"the only voter", fakeVoters{"core-1"}, quorum.Targets{Local: true, Quorum: 1}},
		{"one of five", fakeVoters{"core-1", "a", "b", "c", "d"},
			quorum.Targets{Others: []string{"a", "b", "c", "d"}, Local: true, Quorum: 3}},
		{"a learner", fakeVoters{"a", "b", "c"}, quorum.Targets{Others: []string{"a", "b", "c"}, Quorum: 2}},
	} {
		f := newFixture(t)
		*f.voters = test.voters
		assert.Equal(t, 200, f.call("POST", heartbeatPath, heartbeatBody("closing", 4)).Code, test.name)
		assert.Equal(t, test.targets, f.replicator.targets, test.name)
	}
}

// TestPartitionedMember_AcknowledgesNothing: a member that sees no majority of the voters live acknowledges neither
// heartbeats nor deregistrations, so that all endpoints fail over to other members.
func TestPartitionedMember_AcknowledgesNothing(t *testing.T) {
	f := newFixture(t)
	f.replicator.down["core-2"] = true
	f.replicator.down["core-3"] = true
	f.replicator.failures = 2
	assert.Equal(t, 503, f.call("POST", heartbeatPath, heartbeatBody("accepting", 3)).Code)
	assert.Len(t, f.table.Live(), 1, "its state is stored nevertheless")
	assert.Equal(t, 503, f.call("POST", heartbeatPath, heartbeatBody("closing", 4)).Code)
	assert.Equal(t, 503, f.call("POST", deregisterPath, "").Code)
	f.replicator.down["core-2"] = false
	assert.Equal(t, 200, f.call("POST", "/Endpoints.Beat/other", heartbeatBody("accepting", 3)).Code)
}

// TestDeregistration_KnownFromAnotherMember guards against acknowledging a deregistration only because another member
// has gossiped it. That member may have responded with 503 since it couldn't reach a majority, so the deregistration
// may be on too few disks.
func TestDeregistration_KnownFromAnotherMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		elsewhere := endpoints.NewTable(endpoints.Options{Self: "core-2", HeartbeatInterval: time.Second})
		departed, _ := elsewhere.Deregister(time.Now(), "i-7f3a91c2")
		f.table.Merge(departed, nil)
		f.replicator.failures = 1
		assert.Equal(t, 503, f.call("POST", deregisterPath, "").Code)
		assert.Equal(t, 200, f.call("POST", deregisterPath, "").Code)
		assert.Len(t, f.replicator.replicated, 2)
		f.table.Stop()
	})
}

// TestClosing_WithoutEffectIsNotAcknowledged guards against acknowledging a closing that is ignored, because another
// process with the endpoint's ID has sent a heartbeat with a higher sequence number.
func TestClosing_WithoutEffectIsNotAcknowledged(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, 200, f.call("POST", heartbeatPath, heartbeatBody("accepting", 500)).Code)
	assert.Equal(t, 503, f.call("POST", heartbeatPath, heartbeatBody("closing", 2)).Code)
	assert.Empty(t, f.replicator.replicated)
	assert.Equal(t, 200, f.call("POST", heartbeatPath, heartbeatBody("accepting", 3)).Code, "it still accepts requests")
}

func TestClosing_FailsWhileVotersAreUnknown(t *testing.T) {
	f := newFixture(t)
	*f.voters = nil
	assert.Equal(t, 200, f.call("POST", heartbeatPath, heartbeatBody("accepting", 3)).Code)
	assert.Equal(t, 503, f.call("POST", heartbeatPath, heartbeatBody("closing", 4)).Code)
	assert.Empty(t, f.replicator.replicated)
}

func TestHeartbeat_AfterDeregistrationIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.call("POST", deregisterPath, "any body")
	assert.Equal(t, 200, f.call("POST", heartbeatPath, heartbeatBody("accepting", 80)).Code)
	assert.Empty(t, f.table.Live())
	assert.Empty(t, f.replicator.put)
}

// TestHeartbeat_OfDepartedEndpointIsChecked: a heartbeat under the ID of a departed endpoint may be a late one of the
// old process or the first of a new one. The time since the departure doesn't tell which, as a heartbeat may be late by
// more than any limit. The member therefore asks the endpoint itself, with at most one check at a time.
func TestHeartbeat_OfDepartedEndpointIsChecked(t *testing.T) {
	f := newFixture(t)
	f.call("POST", heartbeatPath, heartbeatBody("accepting", 7))
	assert.Empty(t, f.replicator.checked)
	f.call("POST", deregisterPath, "")
	for range 2 {
		assert.Equal(t, 200, f.call("POST", heartbeatPath, heartbeatBody("accepting", 6)).Code)
		assert.Equal(t, []string{"i-7f3a91c2 at 10.128.0.9:8080"}, f.replicator.checked)
		assert.Empty(t, f.table.Live())
	}
	f.table.ResolveSuccessor("i-7f3a91c2", false, 0)
	f.call("POST", heartbeatPath, heartbeatBody("accepting", 1))
	assert.Len(t, f.replicator.checked, 2)
	f.table.ResolveSuccessor("i-7f3a91c2", true, 0)
	assert.Len(t, f.table.Live(), 1)
}

func TestHeartbeat_Bodies(t *testing.T) {
	for _, test := range []struct {
		name, body string
		status     int
	}{
		{"required fields", `{"carrier":"s","address":"x:1"}`, 200},
		{"nulls", `{"carrier":"s","address":"x:1","zone":null,"models":null,"call_seq":3}`, 200},
		{"remaining", `{"carrier":"s","address":"x:1","state":"closing","remaining_ms":1500.5,"call_seq":3}`, 200},
		{"models of other shapes", `{"carrier":"s","address":"x:1","edition":7,"models":[{"name":"m","edition":"2",` +
			`"adapters":[{"a":1},"b"],"more":[]}]}`, 200},
		{"unknown fields", `{"carrier":"s","address":"x:1","later":{"a":[]}}`, 200},
		{"no address", `{"carrier":"s"}`, 400},
		{"no service", `{"address":"x:1"}`, 400},
		{"truncated", `{"carrier":"s","address"`, 400},
		{"unknown state", `{"carrier":"s","address":"x:1","state":"tired"}`, 400},
		{"too large", `{"carrier":"` + strings.Repeat("s", maxHeartbeatBytes) + `"}`, 413},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := newFixture(t).call("POST", heartbeatPath, test.body)
			assert.Equal(t, test.status, response.Code, response.Body.String())
			assert.Less(t, response.Body.Len(), 4096)
		})
	}
}

func newCoreMember(name, zone, region string) state.Member {
	return state.Member{Name: name, Zone: zone, Region: region, Role: state.RoleCore, State: state.MemberReady,
		ControlAddress: name + ":1"}
}

func TestForwarder_ChoosesTheNearestMember(t *testing.T) {
	self := newCoreMember("a", "z1", "r1")
	regions := map[string]string{"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r2"}
	starting := newCoreMember("s", "z4", "r2")
	starting.State = state.MemberStarting
	agent := newCoreMember("g", "z4", "r2")
	agent.Role = state.RoleAgent
	members := []state.Member{self, newCoreMember("b", "z2", "r1"), newCoreMember("c", "z3", "r2"), starting, agent}
	forwarder := &Forwarder{Self: self, Regions: regions, Clock: time.Now,
		Members: func() []state.Member { return members }}
	for zone, want := range map[string]string{"z1": "a:1", "z2": "b:1", "z3": "c:1", "z4": "c:1"} {
		assert.Equal(t, want, forwarder.ForwardTo("e-"+zone, zone), zone)
	}
	members = nil
	assert.Equal(t, "a:1", forwarder.ForwardTo("e", "z3"), "no other member")
}

func TestForwarder_DistributesConsistently(t *testing.T) {
	a, b := newCoreMember("a", "z1", "r1"), newCoreMember("b", "z1", "r1")
	regions := map[string]string{"z1": "r1"}
	counts := map[string]int{}
	for _, id := range strings.Split("0123456789abcdefghijklmnopqrstuvwxyz", "") {
		chosen := chooseReceiver(a, []state.Member{a, b}, regions, id, "z1")
		assert.Equal(t, chosen, chooseReceiver(b, []state.Member{a, b}, regions, id, "z1"))
		counts[chosen.Name]++
	}
	assert.Greater(t, counts["a"], 8)
	assert.Greater(t, counts["b"], 8)
}

func TestForwarder_RetainsReturnedEndpoints(t *testing.T) {
	now := time.Unix(0, 0)
	self := newCoreMember("a", "z1", "r1")
	other := newCoreMember("b", "z2", "r1")
	forwarder := &Forwarder{Self: self, Regions: map[string]string{"z1": "r1", "z2": "r1"},
		Members: func() []state.Member { return []state.Member{self, other} }, Clock: func() time.Time { return now }}
	assert.Equal(t, "b:1", forwarder.ForwardTo("e", "z2"))
	now = now.Add(2 * time.Second)
	assert.Equal(t, "a:1", forwarder.ForwardTo("e", "z2"), "it couldn't reach the target")
	now = now.Add(30 * time.Second)
	assert.Equal(t, "a:1", forwarder.ForwardTo("e", "z2"))
	now = now.Add(31 * time.Second)
	assert.Equal(t, "b:1", forwarder.ForwardTo("e", "z2"), "redirected again after a minute")
	now = now.Add(11 * time.Second)
	assert.Equal(t, "b:1", forwarder.ForwardTo("e", "z2"), "a heartbeat long after the redirect is no return")
}
