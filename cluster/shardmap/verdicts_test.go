package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// moving is a map whose only range is on its way from a to b; its move has the id 3.
func moving(step Step) *Map {
	home, m := cluster.MemberID("a"), New(nil)
	if step == Switched {
		home = "b"
	}
	m.Version = 9
	m.Ranges = []Range{{ID: 1, To: ^cluster.KeyHash(0), Home: home, Epoch: 4, Standing: Seated,
		Move: Move{ID: 3, From: "a", To: "b", Step: step}}}
	return m
}

func TestWhatGoesOverByAMoveIsTakenWhileItPassesAndParkedUntilItSwitches(t *testing.T) {
	for _, s := range []struct {
		step   Step
		passes Admission
		owns   Owner
	}{{Planned, Behind, Undecided}, {Warming, Behind, Undecided}, {Passing, Take, Undecided},
		{Switched, Take, Target}, {Rests, Newer, Source}} {
		m := moving(s.step)
		assert.Equal(t, s.passes, m.Passes(3, "b"), "step %d", s.step)
		assert.Equal(t, s.owns, m.Owns(3), "step %d", s.step)
		if s.passes == Take {
			assert.Equal(t, Newer, m.Passes(3, "c"), "another is not the target")
		}
		assert.Equal(t, Behind, m.Passes(10, "b"), "of a move planned later nothing is known")
		assert.Equal(t, Undecided, m.Owns(10))
	}
}

func TestASourceLetsGoOnlyOnceAllHasGoneOver(t *testing.T) {
	r := moving(Passing).Ranges[0]
	assert.True(t, r.LetsGo("a", 0, 0))
	assert.False(t, r.LetsGo("a", 1, 0), "a call is out")
	assert.False(t, r.LetsGo("a", 0, 1), "something is owed")
	assert.True(t, r.Wants("b"))
	assert.False(t, r.Wants("a") || r.LetsGo("b", 0, 0))
	r = moving(Warming).Ranges[0]
	assert.True(t, r.Wants("a"))
	assert.False(t, r.Wants("b") || r.LetsGo("a", 0, 0))
	assert.True(t, r.LetsGo("c", 0, 5), "not its home: what it holds goes there all the same")
	assert.False(t, r.LetsGo("c", 1, 0))
}

func TestAMemberServesByItsGrantAloneAndTellsWhatElseItDoes(t *testing.T) {
	tenant := func(who cluster.MemberID, epoch cluster.Epoch, alone bool) Tenant {
		return Tenant{who, func(cluster.Resource) (cluster.Epoch, bool) { return epoch, epoch > 0 }, alone}
	}
	for name, s := range map[string]struct {
		step Step
		who  Tenant
		do   Deed
		part float64
	}{
		"home":                {Warming, tenant("a", 4, false), Serve, 1},
		"by a later grant":    {Warming, tenant("a", 5, false), Hold, 0},
		"by none":             {Warming, tenant("a", 0, false), Hold, 0},
		"passing":             {Passing, tenant("a", 4, false), Hold, 0},
		"the target":          {Passing, tenant("b", 5, false), Forward, 0},
		"the new home":        {Switched, tenant("b", 4, false), Serve, 1},
		"the old home":        {Switched, tenant("a", 4, false), Forward, 0},
		"alone":               {Passing, tenant("c", 0, true), Alone, 0.25},
		"alone, yet it holds": {Warming, tenant("a", 4, true), Serve, 1},
	} {
		t.Run(name, func(t *testing.T) {
			v := moving(s.step).MayServe(s.who, 7)
			assert.Equal(t, s.do, v.Do)
			assert.Equal(t, s.part, v.Part(4))
			assert.Equal(t, s.do == Serve, v.Calls(true), "ordered ones wait while alone")
			assert.Equal(t, s.part > 0, v.Calls(false))
			assert.Equal(t, s.do == Hold && s.step == Passing, v.Passes.Open())
		})
	}
	assert.Equal(t, Keep, New(nil).MayServe(tenant("a", 1, false), 7).Do)
}

func TestAWebhookIsSentOnOnceAndByANewerMapOnly(t *testing.T) {
	m, who := moving(Switched), Tenant{"a", func(cluster.Resource) (cluster.Epoch, bool) { return 0, false }, false}
	refusal, told := m.Admit(who, 7, 5)
	require.Equal(t, Newer, refusal)
	assert.Equal(t, cluster.MemberID("b"), told.To)
	sent := Verdict{Version: 5, To: "a"}
	assert.True(t, Again(sent, told, refusal, 0))
	assert.False(t, Again(sent, told, refusal, Hops), "no further")
	assert.False(t, Again(Verdict{Version: 9, To: "a"}, told, refusal, 0), "not by the same map")
	assert.False(t, Again(Verdict{Version: 5, To: "b"}, told, refusal, 0), "not where it was")
	refusal, _ = m.Admit(who, 7, 10)
	assert.Equal(t, Behind, refusal)
	refusal, _ = m.Admit(Tenant{"b", who.Epoch, false}, 7, 5)
	assert.Equal(t, Take, refusal, "served or parked")
}

func TestADoubtIsSettledAsItsEventTypeAllows(t *testing.T) {
	const window, last = api.Micros(50), api.Micros(200)
	once, idem := api.EventType{Repeat: api.AtMostOnce}, api.EventType{Repeat: api.Idempotent}
	token := api.EventType{Repeat: api.Tokened, TokenWindow: window}
	zoned := token
	zoned.TokenByZone = true
	for name, s := range map[string]struct {
		t     api.EventType
		reply Reply
		ended bool
		now   api.Micros
		want  Settled
	}{
		"it has it":               {once, Has, false, 300, Drop},
		"it never will":           {once, Never, false, 300, Own},
		"silent":                  {idem, Silent, false, 110, Wait},
		"silent, its right over":  {idem, Silent, true, 110, Anew},
		"silent, at most once":    {once, Silent, true, 110, Wait},
		"silent, tokened":         {token, Silent, true, 110, Wait},
		"refuses, its right over": {idem, Refuses, true, 110, Anew},
		"its time is up":          {idem, Silent, false, last, Ends},
		"forgot":                  {idem, Forgot, false, 110, Anew},
		"forgot, at most once":    {once, Forgot, false, 110, Ends},
		"forgot, tokened":         {token, Forgot, false, 149, Anew},
		"forgot, its window over": {token, Forgot, false, 150, Ends},
		"forgot, by zone":         {zoned, Forgot, false, 110, Ends},
	} {
		t.Run(name, func(t *testing.T) {
			o := Offer{To: "b", SentAt: 100}
			assert.Equal(t, s.want, o.Settle(s.reply, s.ended, s.t, api.Never, last, s.now))
		})
	}
	ran := Offer{SentAt: 100}.Settle(Forgot, false, token, 60, last, 110)
	assert.Equal(t, Ends, ran, "it ran before it was sent")
}
