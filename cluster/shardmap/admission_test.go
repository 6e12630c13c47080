package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
)

func TestShouldFollowRedirect_OnceAndByANewerMapOnly(t *testing.T) {
	m := mapWithMove(StepSwitched)
	noLease := func(cluster.Resource) (cluster.Epoch, bool) { return 0, false }
	member := LocalMember{"a", noLease, false}
	admission, redirect := m.AdmitKey(member, 7, 5)
	require.Equal(t, AdmissionRedirected, admission)
	assert.Equal(t, cluster.MemberID("b"), redirect.Owner)
	sent := Decision{Version: 5, Owner: "a"}
	assert.True(t, ShouldFollowRedirect(sent, redirect, admission, 0))
	assert.False(t, ShouldFollowRedirect(sent, redirect, admission, MaxRedirects), "too many redirects")
	assert.False(t, ShouldFollowRedirect(Decision{Version: 9, Owner: "a"}, redirect, admission, 0), "by the same map")
	assert.False(t, ShouldFollowRedirect(Decision{Version: 5, Owner: "b"}, redirect, admission, 0), "to the same owner")
	admission, _ = m.AdmitKey(member, 7, 10)
	assert.Equal(t, AdmissionMapStale, admission)
	admission, _ = m.AdmitKey(LocalMember{"b", noLease, false}, 7, 5)
	assert.Equal(t, AdmissionAccepted, admission, "accepted, served or parked")
}
