package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/membership"
	"rowanlink/serving/state"
)

// fakeMembers implements memberships.
type fakeMembers struct{ live, down, left []state.Member }

func (f fakeMembers) Members() []state.Member     { return f.live }
func (f fakeMembers) DownMembers() []state.Member { return f.down }
func (f fakeMembers) LeftMembers() []state.Member { return f.left }

func TestReplicaOfAMemberThatIsGoneMayBeReplaced(t *testing.T) {
	at := func(addresses ...string) (members []state.Member) {
		for _, address := range addresses {
			members = append(members, state.Member{Name: "of " + address, Address: address})
		}
		return members
	}
	started := time.Unix(1000, 0)
	a := &absences{started: started, mesh: fakeMembers{live: at("live", "again"), down: at("down"), left: at("left", "again")}}
	a.now = func() time.Time { return started }
	for address, want := range map[string]bool{"live": false, "down": true, "left": true, "again": false, "unknown": false} {
		assert.Equal(t, want, a.absent(address), address)
	}
	a.now = func() time.Time { return started.Add(membership.RetentionPeriod + 1) }
	assert.True(t, a.absent("unknown"), "forgotten")
	assert.True(t, a.forgotten("unknown"))
	for _, address := range []string{"live", "down", "left", "again"} {
		assert.False(t, a.forgotten(address), address)
	}
	assert.False(t, a.absent("live"))
}
