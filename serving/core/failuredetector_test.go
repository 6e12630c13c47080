package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/membership"
	"rowanlink/serving/state"
)

// fakeMembers implements memberLister.
type fakeMembers struct{ live, down, left []state.Member }

func (f fakeMembers) Members() []state.Member     { return f.live }
func (f fakeMembers) DownMembers() []state.Member { return f.down }
func (f fakeMembers) LeftMembers() []state.Member { return f.left }

func TestFailureDetector(t *testing.T) {
	at := func(addresses ...string) (members []state.Member) {
		for _, address := range addresses {
			members = append(members, state.Member{Name: "name-" + address, Address: address})
		}
		return members
	}
	started := time.Unix(1000, 0)
	members := fakeMembers{live: at("live", "again"), down: at("down"), left: at("left", "again")}
	d := &failureDetector{members: members, started: started, now: func() time.Time { return started }}
	expected := map[string]bool{"live": false, "down": true, "left": true, "again": false, "unknown": false}
	for address, want := range expected {
		assert.Equal(t, want, d.IsDown(address), address)
	}
	d.now = func() time.Time { return started.Add(membership.RetentionPeriod + 1) }
	assert.True(t, d.IsDown("unknown"), "the process has run for longer than RetentionPeriod")
	assert.True(t, d.IsExpired("unknown"))
	for _, address := range []string{"live", "down", "left", "again"} {
		assert.False(t, d.IsExpired(address), address)
	}
	assert.False(t, d.IsDown("live"))
}
