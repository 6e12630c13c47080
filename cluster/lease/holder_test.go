package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

const conduct = cluster.CoordinatorResource

// begun holds session 2 and, by epoch 3, one task, from an ask at 0.
func begun(t *testing.T) (*Holder, Renewal) {
	tenure := NewHolder(term, 0.05)
	ask := tenure.StartRenewal(0)
	require.True(t, tenure.ConfirmRenewal(ask, 2))
	require.True(t, tenure.AddGrant(2, Grant{conduct, 3}))
	return tenure, ask
}

func acts(tenure *Holder, now api.Micros) bool {
	_, ok := tenure.Epoch(conduct, now)
	return ok
}

func TestLateOrDoubledAnswerGivesNoMoreThanItsAsk(t *testing.T) {
	tenure, first := begun(t)
	until := tenure.Deadline()
	assert.Less(t, until, term)
	second := tenure.StartRenewal(api.Second)
	third := tenure.StartRenewal(2 * api.Second)
	require.True(t, tenure.ConfirmRenewal(third, 2))
	require.True(t, tenure.ConfirmRenewal(second, 2))
	require.True(t, tenure.ConfirmRenewal(first, 2))
	assert.Equal(t, until+2*api.Second, tenure.Deadline())
	assert.True(t, acts(tenure, tenure.Deadline()-1))
	assert.False(t, acts(tenure, tenure.Deadline()))
}

func TestAnswerFromBeforeARefusalGivesNothingBack(t *testing.T) {
	tenure, _ := begun(t)
	late := tenure.StartRenewal(1)
	tenure.HandleRejection(2)
	assert.False(t, acts(tenure, 2))
	assert.False(t, tenure.ConfirmRenewal(late, 2))
	assert.Zero(t, tenure.Session())
}

// A new leader gives the session a whole term again although one before it refused it: a fresh ask has it
// back, but not what the member itself gave up in it.
func TestSessionMayComeBackAfterARefusalButNotWhatWasLet(t *testing.T) {
	tenure, _ := begun(t)
	require.True(t, tenure.AddGrant(2, Grant{"other", 4}))
	e, ok := tenure.Relinquish(conduct)
	require.True(t, ok)
	tenure.HandleRejection(2)
	require.True(t, tenure.ConfirmRenewal(tenure.StartRenewal(1), 2))
	_, ok = tenure.Epoch("other", 1)
	assert.False(t, ok, "what was held before the refusal is to be asked for again")
	assert.False(t, tenure.AddGrant(2, Grant{conduct, e}), "doubled on its way")
	assert.True(t, tenure.AddGrant(2, Grant{conduct, e + 4}))
	assert.True(t, acts(tenure, 2))
}

// The end may come after an open that was answered with the same session.
func TestSessionThatTheMemberEndedIsNotHeededAgain(t *testing.T) {
	tenure, _ := begun(t)
	assert.Equal(t, cluster.SessionID(2), tenure.EndSession())
	assert.False(t, tenure.ConfirmRenewal(tenure.StartRenewal(1), 2))
	assert.True(t, tenure.ConfirmRenewal(tenure.StartRenewal(2), 9))
	assert.False(t, acts(tenure, 3), "another session holds nothing yet")
}

func TestAnotherSessionHoldsNothingOfTheOneBefore(t *testing.T) {
	tenure, _ := begun(t)
	early, until := tenure.StartRenewal(1), tenure.Deadline()
	require.True(t, tenure.ConfirmRenewal(tenure.StartRenewal(2), 2))
	require.True(t, tenure.ConfirmRenewal(early, 9))
	assert.Equal(t, until+1, tenure.Deadline(), "from its own ask, whatever the one before had")
	assert.False(t, acts(tenure, 2))
	assert.False(t, tenure.ConfirmRenewal(tenure.StartRenewal(2), 2), "late, for the one before")
	assert.False(t, tenure.AddGrant(2, Grant{conduct, 12}), "granted to the one before after this one was opened")
	tenure.HandleRejection(2)
	assert.Equal(t, cluster.SessionID(9), tenure.Session())
	assert.False(t, tenure.AddGrant(9, Grant{Resource: conduct}), "held by another")
	assert.True(t, tenure.AddGrant(9, Grant{conduct, 13}))
}

func TestThreeAnswersMayBeLostInATerm(t *testing.T) {
	tenure := NewHolder(term, 0.05)
	assert.Zero(t, tenure.NextRenewalAt())
	require.True(t, tenure.ConfirmRenewal(tenure.StartRenewal(0), 2))
	lost := 0
	for at := tenure.NextRenewalAt(); tenure.IsValid(at + term/20); at = tenure.NextRenewalAt() {
		tenure.StartRenewal(at)
		lost++
	}
	assert.GreaterOrEqual(t, lost, 4, "three and one that is answered")
}

func TestFenceHoldsThroughARestart(t *testing.T) {
	fence := NewFence()
	risen, err := fence.Admit(conduct, 7)
	require.NoError(t, err)
	assert.True(t, risen, "to be kept before acting")
	fence, err = DecodeFence(fence.Encode())
	require.NoError(t, err)
	_, err = fence.Admit(conduct, 6)
	assert.ErrorIs(t, err, cluster.ErrFenced)
	risen, err = fence.Admit(conduct, 7)
	assert.NoError(t, err)
	assert.False(t, risen)
	_, err = fence.Admit("other", 6)
	assert.NoError(t, err)
	_, err = fence.Admit("third", 0)
	assert.ErrorIs(t, err, cluster.ErrFenced)
	for _, bad := range [][]byte{nil, {0xa0}, encode(fenceImage{fenceFormat + 1, nil}),
		encode(fenceImage{fenceFormat, map[cluster.Resource]cluster.Epoch{"": 1}})} {
		_, err = DecodeFence(bad)
		assert.ErrorIs(t, err, ErrUnreadable)
	}
}
