package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// TestLeftMembers_RetainsDepartedMembers checks that members that have left stay listed for RetentionPeriod, or until
// they are back as a new incarnation.
func TestLeftMembers_RetainsDepartedMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(now, Options{Self: state.Member{Name: "self", Incarnation: 1, State: state.MemberReady}})
	other := state.Member{Name: "other", Incarnation: 1, Sequence: 1, State: state.MemberReady}
	table.MergeMember(now, other)
	assert.Empty(t, table.LeftMembers())
	other.Sequence, other.State = 2, state.MemberLeft
	table.MergeMember(now, other)
	assert.Equal(t, []state.Member{other}, table.LeftMembers())
	assert.Empty(t, table.DownMembers())

	restarted := state.Member{Name: "other", Incarnation: 2, Sequence: 1, State: state.MemberReady}
	table.MergeMember(now, restarted)
	assert.Empty(t, table.LeftMembers())
	restarted.Sequence, restarted.State = 2, state.MemberLeft
	table.MergeMember(now, restarted)
	for at := now; at.Before(now.Add(RetentionPeriod + time.Second)); at = at.Add(HeartbeatInterval) {
		table.Tick(at)
	}
	assert.Empty(t, table.LeftMembers(), "removed after RetentionPeriod")
}
