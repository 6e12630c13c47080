package operator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

const serviceConfiguration = `{"edition":7,"routings":[],"carriers":[{"name":"huvo11a"}]}`

func TestRollout_BadInput(t *testing.T) {
	for _, test := range []struct {
		name, body string
		status     int
		code       errcode.Code
	}{
		{"empty", "", 400, errcode.RolloutUnreadable.Code},
		{"cut", `{"carrier":"huvo11a","tar`, 400, errcode.RolloutUnreadable.Code},
		{"a list", `["huvo11a","v2",12]`, 400, errcode.RolloutUnreadable.Code},
		{"no service", `{"target":"v2","over_s":12}`, 400, errcode.RolloutUnreadable.Code},
		{"empty service", `{"carrier":"","target":"v2","over_s":12}`, 400, errcode.RolloutUnreadable.Code},
		{"no target", `{"carrier":"huvo11a","over_s":12}`, 400, errcode.RolloutUnreadable.Code},
		{"target isn't a version", `{"carrier":"huvo11a","target":{"v":2},"over_s":12}`, 400, errcode.RolloutUnreadable.Code},
		{"no time", `{"carrier":"huvo11a","target":"v2"}`, 400, errcode.RolloutUnreadable.Code},
		{"zero time", `{"carrier":"huvo11a","target":"v2","over_s":0}`, 400, errcode.RolloutUnreadable.Code},
		{"negative time", `{"carrier":"huvo11a","target":"v2","over_s":-3}`, 400, errcode.RolloutUnreadable.Code},
		{"time is text", `{"carrier":"huvo11a","target":"v2","over_s":"soon"}`, 400, errcode.RolloutUnreadable.Code},
		{"endless time", `{"carrier":"huvo11a","target":"v2","over_s":1e9}`, 400, errcode.RolloutUnreadable.Code},
		{"unknown service", `{"carrier":"nobody","target":"v2","over_s":12}`, 404, errcode.RolloutServiceUnknown.Code},
		{"too large", `{"carrier":"` + strings.Repeat("x", maxOrderBytes) + `"}`, 413, errcode.RequestTooLarge.Code},
	} {
		f := newFixture(t)
		require.Equal(t, 200, f.call("POST", "/Settings.Replace", serviceConfiguration, basedOnZero).Code)
		response := f.call("POST", "/Editions.Begin", test.body)
		assert.Equal(t, test.status, response.Code, test.name)
		assert.Contains(t, response.Body.String(), fmt.Sprintf(`"code":%d`, test.code), test.name)
		assert.Empty(t, f.register.record.Rollouts, test.name)
	}
}

func TestRollout_BeforeTheFirstConfiguration(t *testing.T) {
	f := newFixture(t)
	response := f.call("POST", "/Editions.Begin", `{"carrier":"huvo11a","target":"v2","over_s":12}`)
	assert.Equal(t, 503, response.Code, "the order may be sent again: the configuration may be on its way")
	assert.Equal(t, 404, f.call("GET", "/Editions.Read/huvo11a", "").Code)
}

func TestRollout_InDoubt(t *testing.T) {
	f := newFixture(t)
	f.register.failAt = map[int]error{1: errNoMajority, 2: errNoMajority}
	assert.Equal(t, 503, f.call("POST", "/Editions.Begin", `{"carrier":"huvo11a","target":"v2","over_s":12}`).Code)
	assert.Equal(t, 503, f.call("GET", "/Editions.Read/huvo11a", "").Code)
}

func TestRollout_ReadTellsStateAndReason(t *testing.T) {
	f := newFixture(t)
	for _, test := range []struct {
		state                 state.RolloutState
		reason                state.RolloutReason
		wantState, wantReason string
	}{
		{state.RolloutInProgress, state.RolloutNoReason, "in_transit", ""},
		{state.RolloutPromoted, state.RolloutNoReason, "delivered", ""},
		{state.RolloutRolledBack, state.RolloutSlow, "returned", "slow"},
	} {
		f.register.record.SetRollout(state.Rollout{Service: "huvo11a", Target: "v2", State: test.state, Step: state.RolloutLoad,
			Verdict: state.RolloutVerdict{Reason: test.reason, Target: state.AnswerCounts{Answers: 9, Slow: 4}}})
		body := f.call("GET", "/Editions.Read/huvo11a", "").Body.String()
		assert.Equal(t, test.wantState, gjson.Get(body, "state").String())
		assert.Equal(t, "v2", gjson.Get(body, "target").String())
		assert.Equal(t, test.wantReason, gjson.Get(body, "verdict.reason").String())
		assert.EqualValues(t, 4, gjson.Get(body, "verdict.target.slow").Int())
	}
}
