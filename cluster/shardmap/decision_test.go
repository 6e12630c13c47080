package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster"
)

func TestMap_DecideKeyServesOnlyByTheNamedLease(t *testing.T) {
	localMember := func(member cluster.MemberID, epoch cluster.Epoch, isolated bool) LocalMember {
		heldEpoch := func(cluster.Resource) (cluster.Epoch, bool) { return epoch, epoch > 0 }
		return LocalMember{member, heldEpoch, isolated}
	}
	for name, s := range map[string]struct {
		step      MoveStep
		member    LocalMember
		action    Action
		rateShare float64
	}{
		"owner":                 {StepWarming, localMember("a", 4, false), Serve, 1},
		"by a later lease":      {StepWarming, localMember("a", 5, false), ParkOwned, 0},
		"without a lease":       {StepWarming, localMember("a", 0, false), ParkOwned, 0},
		"hand-off":              {StepHandoff, localMember("a", 4, false), ParkOwned, 0},
		"target":                {StepHandoff, localMember("b", 5, false), Forward, 0},
		"new owner":             {StepSwitched, localMember("b", 4, false), Serve, 1},
		"previous owner":        {StepSwitched, localMember("a", 4, false), Forward, 0},
		"isolated":              {StepHandoff, localMember("c", 0, true), ServeIsolated, 0.25},
		"isolated with a lease": {StepWarming, localMember("a", 4, true), Serve, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := mapWithMove(s.step).DecideKey(s.member, 7)
			assert.Equal(t, s.action, d.Action)
			assert.Equal(t, s.rateShare, d.RateShare(4))
			assert.Equal(t, s.action == Serve, d.AllowsCall(true), "ordered webhooks wait while isolated")
			assert.Equal(t, s.rateShare > 0, d.AllowsCall(false))
			assert.Equal(t, s.action == ParkOwned && s.step == StepHandoff, d.Move.IsOpen())
		})
	}
	assert.Equal(t, ParkUnmapped, New(nil).DecideKey(localMember("a", 1, false), 7).Action)
}
