package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

const coordinator = cluster.CoordinatorResource

// newTestHolder returns a holder with session 2, which holds one lease with epoch 3, and its renewal, which was
// started at 0.
func newTestHolder(t *testing.T) (*Holder, Renewal) {
	t.Helper()
	holder := NewHolder(testTTL, 0.05)
	renewal := holder.StartRenewal(0)
	require.True(t, holder.ConfirmRenewal(renewal, 2))
	require.True(t, holder.AddGrant(2, Grant{coordinator, 3}))
	return holder, renewal
}

func mayAct(holder *Holder, now api.Micros) bool {
	_, ok := holder.Epoch(coordinator, now)
	return ok
}

func TestHolder_LateOrDuplicateConfirmationDoesNotExtend(t *testing.T) {
	holder, first := newTestHolder(t)
	until := holder.Deadline()
	assert.Less(t, until, testTTL)
	second := holder.StartRenewal(api.Second)
	third := holder.StartRenewal(2 * api.Second)
	require.True(t, holder.ConfirmRenewal(third, 2))
	require.True(t, holder.ConfirmRenewal(second, 2))
	require.True(t, holder.ConfirmRenewal(first, 2))
	assert.Equal(t, until+2*api.Second, holder.Deadline())
	assert.True(t, mayAct(holder, holder.Deadline()-1))
	assert.False(t, mayAct(holder, holder.Deadline()))
}

func TestHolder_ConfirmationFromBeforeRejectionIsVoid(t *testing.T) {
	holder, _ := newTestHolder(t)
	late := holder.StartRenewal(1)
	holder.HandleRejection(2)
	assert.False(t, mayAct(holder, 2))
	assert.False(t, holder.ConfirmRenewal(late, 2))
	assert.Zero(t, holder.Session())
}

// A new leader gives a session a full TTL again, even if an earlier leader rejected it. A new renewal then confirms
// the session, but does not restore the grants that the member relinquished.
func TestHolder_SessionReturnsAfterRejectionWithoutRelinquishedGrants(t *testing.T) {
	holder, _ := newTestHolder(t)
	require.True(t, holder.AddGrant(2, Grant{"other", 4}))
	e, ok := holder.Relinquish(coordinator)
	require.True(t, ok)
	holder.HandleRejection(2)
	require.True(t, holder.ConfirmRenewal(holder.StartRenewal(1), 2))
	_, ok = holder.Epoch("other", 1)
	assert.False(t, ok, "grants from before the rejection have to be requested again")
	assert.False(t, holder.AddGrant(2, Grant{coordinator, e}), "a duplicate")
	assert.True(t, holder.AddGrant(2, Grant{coordinator, e + 4}))
	assert.True(t, mayAct(holder, 2))
}

// The log may apply the end of a session after a request to open one has returned the same session.
func TestHolder_EndedSessionIsNotConfirmedAgain(t *testing.T) {
	holder, _ := newTestHolder(t)
	assert.Equal(t, cluster.SessionID(2), holder.EndSession())
	assert.False(t, holder.ConfirmRenewal(holder.StartRenewal(1), 2))
	assert.True(t, holder.ConfirmRenewal(holder.StartRenewal(2), 9))
	assert.False(t, mayAct(holder, 3), "the new session has no grants yet")
}

func TestHolder_NewSessionHasNoGrantsOfPrevious(t *testing.T) {
	holder, _ := newTestHolder(t)
	early, until := holder.StartRenewal(1), holder.Deadline()
	require.True(t, holder.ConfirmRenewal(holder.StartRenewal(2), 2))
	require.True(t, holder.ConfirmRenewal(early, 9))
	assert.Equal(t, until+1, holder.Deadline(), "from its own renewal, whatever the previous session had")
	assert.False(t, mayAct(holder, 2))
	assert.False(t, holder.ConfirmRenewal(holder.StartRenewal(2), 2), "late, for the previous session")
	assert.False(t, holder.AddGrant(2, Grant{coordinator, 12}),
		"granted to the previous session after this one was opened")
	holder.HandleRejection(2)
	assert.Equal(t, cluster.SessionID(9), holder.Session())
	assert.False(t, holder.AddGrant(9, Grant{Resource: coordinator}), "held by another session")
	assert.True(t, holder.AddGrant(9, Grant{coordinator, 13}))
}

func TestHolder_SurvivesThreeLostConfirmations(t *testing.T) {
	holder := NewHolder(testTTL, 0.05)
	assert.Zero(t, holder.NextRenewalAt())
	require.True(t, holder.ConfirmRenewal(holder.StartRenewal(0), 2))
	lost := 0
	for at := holder.NextRenewalAt(); holder.IsValid(at + testTTL/20); at = holder.NextRenewalAt() {
		holder.StartRenewal(at)
		lost++
	}
	assert.GreaterOrEqual(t, lost, 4, "three and one that is confirmed")
}

func TestFence_SurvivesRestart(t *testing.T) {
	fence := NewFence()
	raised, err := fence.Admit(coordinator, 7)
	require.NoError(t, err)
	assert.True(t, raised, "to be stored before acting")
	fence, err = DecodeFence(fence.Encode())
	require.NoError(t, err)
	_, err = fence.Admit(coordinator, 6)
	assert.ErrorIs(t, err, cluster.ErrFenced)
	raised, err = fence.Admit(coordinator, 7)
	assert.NoError(t, err)
	assert.False(t, raised)
	_, err = fence.Admit("other", 6)
	assert.NoError(t, err)
	_, err = fence.Admit("third", 0)
	assert.ErrorIs(t, err, cluster.ErrFenced)
	newerFormat := fenceImage{Format: fenceFormat + 1}
	withoutName := fenceImage{Format: fenceFormat, Highest: map[cluster.Resource]cluster.Epoch{"": 1}}
	for _, malformed := range [][]byte{nil, {0xa0}, codec.MustMarshal(newerFormat), codec.MustMarshal(withoutName)} {
		_, err = DecodeFence(malformed)
		assert.ErrorIs(t, err, ErrUnreadable)
	}
}
