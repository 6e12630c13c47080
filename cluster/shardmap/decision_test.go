package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// moving is a map whose only range is on its way from a to b; its move has the id 3.
func moving(step MoveStep) *Map {
	home, m := cluster.MemberID("a"), New(nil)
	if step == StepSwitched {
		home = "b"
	}
	m.Version = 9
	m.Ranges = []Range{{ID: 1, To: ^cluster.KeyHash(0), Owner: home, Epoch: 4, Status: OwnerServing,
		Move: Move{ID: 3, From: "a", To: "b", Step: step}}}
	return m
}

func TestWhatGoesOverByAMoveIsTakenWhileItPassesAndParkedUntilItSwitches(t *testing.T) {
	for _, s := range []struct {
		step   MoveStep
		passes Admission
		owns   MoveOwner
	}{{StepPlanned, AdmissionMapStale, OwnerUndecided}, {StepWarming, AdmissionMapStale, OwnerUndecided}, {StepHandoff, AdmissionAccepted, OwnerUndecided},
		{StepSwitched, AdmissionAccepted, OwnerIsTarget}, {StepNone, AdmissionRedirected, OwnerIsSource}} {
		m := moving(s.step)
		assert.Equal(t, s.passes, m.AdmitTransfer(3, "b"), "step %d", s.step)
		assert.Equal(t, s.owns, m.OwnerByMove(3), "step %d", s.step)
		if s.passes == AdmissionAccepted {
			assert.Equal(t, AdmissionRedirected, m.AdmitTransfer(3, "c"), "another is not the target")
		}
		assert.Equal(t, AdmissionMapStale, m.AdmitTransfer(10, "b"), "of a move planned later nothing is known")
		assert.Equal(t, OwnerUndecided, m.OwnerByMove(10))
	}
}

func TestASourceLetsGoOnlyOnceAllHasGoneOver(t *testing.T) {
	r := moving(StepHandoff).Ranges[0]
	assert.True(t, r.ShouldRelease("a", 0, 0))
	assert.False(t, r.ShouldRelease("a", 1, 0), "a call is out")
	assert.False(t, r.ShouldRelease("a", 0, 1), "something is owed")
	assert.True(t, r.ShouldAcquire("b"))
	assert.False(t, r.ShouldAcquire("a") || r.ShouldRelease("b", 0, 0))
	r = moving(StepWarming).Ranges[0]
	assert.True(t, r.ShouldAcquire("a"))
	assert.False(t, r.ShouldAcquire("b") || r.ShouldRelease("a", 0, 0))
	assert.True(t, r.ShouldRelease("c", 0, 5), "not its home: what it holds goes there all the same")
	assert.False(t, r.ShouldRelease("c", 1, 0))
}

func TestAMemberServesByItsGrantAloneAndTellsWhatElseItDoes(t *testing.T) {
	tenant := func(who cluster.MemberID, epoch cluster.Epoch, alone bool) LocalMember {
		return LocalMember{who, func(cluster.Resource) (cluster.Epoch, bool) { return epoch, epoch > 0 }, alone}
	}
	for name, s := range map[string]struct {
		step MoveStep
		who  LocalMember
		do   Action
		part float64
	}{
		"home":                {StepWarming, tenant("a", 4, false), Serve, 1},
		"by a later grant":    {StepWarming, tenant("a", 5, false), ParkOwned, 0},
		"by none":             {StepWarming, tenant("a", 0, false), ParkOwned, 0},
		"passing":             {StepHandoff, tenant("a", 4, false), ParkOwned, 0},
		"the target":          {StepHandoff, tenant("b", 5, false), Forward, 0},
		"the new home":        {StepSwitched, tenant("b", 4, false), Serve, 1},
		"the old home":        {StepSwitched, tenant("a", 4, false), Forward, 0},
		"alone":               {StepHandoff, tenant("c", 0, true), ServeIsolated, 0.25},
		"alone, yet it holds": {StepWarming, tenant("a", 4, true), Serve, 1},
	} {
		t.Run(name, func(t *testing.T) {
			v := moving(s.step).DecideKey(s.who, 7)
			assert.Equal(t, s.do, v.Action)
			assert.Equal(t, s.part, v.RateShare(4))
			assert.Equal(t, s.do == Serve, v.AllowsCall(true), "ordered ones wait while alone")
			assert.Equal(t, s.part > 0, v.AllowsCall(false))
			assert.Equal(t, s.do == ParkOwned && s.step == StepHandoff, v.Move.IsOpen())
		})
	}
	assert.Equal(t, ParkUnmapped, New(nil).DecideKey(tenant("a", 1, false), 7).Action)
}

func TestAWebhookIsSentOnOnceAndByANewerMapOnly(t *testing.T) {
	m, who := moving(StepSwitched), LocalMember{"a", func(cluster.Resource) (cluster.Epoch, bool) { return 0, false }, false}
	refusal, told := m.AdmitKey(who, 7, 5)
	require.Equal(t, AdmissionRedirected, refusal)
	assert.Equal(t, cluster.MemberID("b"), told.Owner)
	sent := Decision{Version: 5, Owner: "a"}
	assert.True(t, ShouldFollowRedirect(sent, told, refusal, 0))
	assert.False(t, ShouldFollowRedirect(sent, told, refusal, MaxRedirects), "no further")
	assert.False(t, ShouldFollowRedirect(Decision{Version: 9, Owner: "a"}, told, refusal, 0), "not by the same map")
	assert.False(t, ShouldFollowRedirect(Decision{Version: 5, Owner: "b"}, told, refusal, 0), "not where it was")
	refusal, _ = m.AdmitKey(who, 7, 10)
	assert.Equal(t, AdmissionMapStale, refusal)
	refusal, _ = m.AdmitKey(LocalMember{"b", who.HeldEpoch, false}, 7, 5)
	assert.Equal(t, AdmissionAccepted, refusal, "served or parked")
}

func TestADoubtIsSettledAsItsEventTypeAllows(t *testing.T) {
	const window, last = api.Micros(50), api.Micros(200)
	once, idem := api.EventType{Semantics: api.AtMostOnce}, api.EventType{Semantics: api.Idempotent}
	token := api.EventType{Semantics: api.Deduplicated, DedupWindow: window}
	zoned := token
	zoned.DedupByZone = true
	for name, s := range map[string]struct {
		t     api.EventType
		reply CustodyReply
		ended bool
		now   api.Micros
		want  Resolution
	}{
		"it has it":               {once, CustodyTaken, false, 300, DropCopy},
		"it never will":           {once, CustodyNever, false, 300, KeepCopy},
		"silent":                  {idem, CustodyUnknown, false, 110, StayInDoubt},
		"silent, its right over":  {idem, CustodyUnknown, true, 110, ForkCopy},
		"silent, at most once":    {once, CustodyUnknown, true, 110, StayInDoubt},
		"silent, tokened":         {token, CustodyUnknown, true, 110, StayInDoubt},
		"refuses, its right over": {idem, CustodyRejected, true, 110, ForkCopy},
		"its time is up":          {idem, CustodyUnknown, false, last, DeadLetterCopy},
		"forgot":                  {idem, CustodyStateLost, false, 110, ForkCopy},
		"forgot, at most once":    {once, CustodyStateLost, false, 110, DeadLetterCopy},
		"forgot, tokened":         {token, CustodyStateLost, false, 149, ForkCopy},
		"forgot, its window over": {token, CustodyStateLost, false, 150, DeadLetterCopy},
		"forgot, by zone":         {zoned, CustodyStateLost, false, 110, DeadLetterCopy},
	} {
		t.Run(name, func(t *testing.T) {
			o := Offer{To: "b", SentAt: 100}
			assert.Equal(t, s.want, o.Resolve(s.reply, s.ended, s.t, api.Never, last, s.now))
		})
	}
	ran := Offer{SentAt: 100}.Resolve(CustodyStateLost, false, token, 60, last, 110)
	assert.Equal(t, DeadLetterCopy, ran, "it ran before it was sent")
}
