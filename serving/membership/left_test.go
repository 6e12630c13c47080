package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// TestMembersThatLeftAreRemembered: for a while, and until they come back.
func TestMembersThatLeftAreRemembered(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(now, Options{Self: state.Member{Name: "self", Incarnation: 1, State: state.MemberReady}})
	other := state.Member{Name: "other", Incarnation: 1, Sequence: 1, State: state.MemberReady}
	table.MergeMember(now, other)
	assert.Empty(t, table.LeftMembers())
	other.Sequence, other.State = 2, state.MemberLeft
	table.MergeMember(now, other)
	assert.Equal(t, []state.Member{other}, table.LeftMembers())
	assert.Empty(t, table.DownMembers())

	back := state.Member{Name: "other", Incarnation: 2, Sequence: 1, State: state.MemberReady}
	table.MergeMember(now, back)
	assert.Empty(t, table.LeftMembers())
	back.Sequence, back.State = 2, state.MemberLeft
	table.MergeMember(now, back)
	for at := now; at.Before(now.Add(RetentionPeriod + time.Second)); at = at.Add(HeartbeatInterval) {
		table.Tick(at)
	}
	assert.Empty(t, table.LeftMembers(), "forgotten")
}
