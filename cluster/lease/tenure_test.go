package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

const conduct = cluster.Conducts

// begun holds session 2 and, by epoch 3, one task, from an ask at 0.
func begun(t *testing.T) (*Tenure, Ask) {
	tenure := NewTenure(term, 0.05)
	ask := tenure.Asked(0)
	require.True(t, tenure.Answered(ask, 2))
	require.True(t, tenure.Took(2, Granted{conduct, 3}))
	return tenure, ask
}

func acts(tenure *Tenure, now api.Micros) bool {
	_, ok := tenure.Epoch(conduct, now)
	return ok
}

func TestLateOrDoubledAnswerGivesNoMoreThanItsAsk(t *testing.T) {
	tenure, first := begun(t)
	until := tenure.Until()
	assert.Less(t, until, term)
	second := tenure.Asked(api.Second)
	third := tenure.Asked(2 * api.Second)
	require.True(t, tenure.Answered(third, 2))
	require.True(t, tenure.Answered(second, 2))
	require.True(t, tenure.Answered(first, 2))
	assert.Equal(t, until+2*api.Second, tenure.Until())
	assert.True(t, acts(tenure, tenure.Until()-1))
	assert.False(t, acts(tenure, tenure.Until()))
}

func TestAnswerFromBeforeARefusalGivesNothingBack(t *testing.T) {
	tenure, _ := begun(t)
	late := tenure.Asked(1)
	tenure.Refused(2)
	assert.False(t, acts(tenure, 2))
	assert.False(t, tenure.Answered(late, 2))
	assert.Zero(t, tenure.Session())
}

// A new leader gives the session a whole term again although one before it refused it: a fresh ask has it
// back, but not what the member itself gave up in it.
func TestSessionMayComeBackAfterARefusalButNotWhatWasLet(t *testing.T) {
	tenure, _ := begun(t)
	require.True(t, tenure.Took(2, Granted{"other", 4}))
	e, ok := tenure.Let(conduct)
	require.True(t, ok)
	tenure.Refused(2)
	require.True(t, tenure.Answered(tenure.Asked(1), 2))
	_, ok = tenure.Epoch("other", 1)
	assert.False(t, ok, "what was held before the refusal is to be asked for again")
	assert.False(t, tenure.Took(2, Granted{conduct, e}), "doubled on its way")
	assert.True(t, tenure.Took(2, Granted{conduct, e + 4}))
	assert.True(t, acts(tenure, 2))
}

// The end may come after an open that was answered with the same session.
func TestSessionThatTheMemberEndedIsNotHeededAgain(t *testing.T) {
	tenure, _ := begun(t)
	assert.Equal(t, cluster.SessionID(2), tenure.End())
	assert.False(t, tenure.Answered(tenure.Asked(1), 2))
	assert.True(t, tenure.Answered(tenure.Asked(2), 9))
	assert.False(t, acts(tenure, 3), "another session holds nothing yet")
}

func TestAnotherSessionHoldsNothingOfTheOneBefore(t *testing.T) {
	tenure, _ := begun(t)
	early, until := tenure.Asked(1), tenure.Until()
	require.True(t, tenure.Answered(tenure.Asked(2), 2))
	require.True(t, tenure.Answered(early, 9))
	assert.Equal(t, until+1, tenure.Until(), "from its own ask, whatever the one before had")
	assert.False(t, acts(tenure, 2))
	assert.False(t, tenure.Answered(tenure.Asked(2), 2), "late, for the one before")
	assert.False(t, tenure.Took(2, Granted{conduct, 12}), "granted to the one before after this one was opened")
	tenure.Refused(2)
	assert.Equal(t, cluster.SessionID(9), tenure.Session())
	assert.False(t, tenure.Took(9, Granted{Task: conduct}), "held by another")
	assert.True(t, tenure.Took(9, Granted{conduct, 13}))
}

func TestThreeAnswersMayBeLostInATerm(t *testing.T) {
	tenure := NewTenure(term, 0.05)
	assert.Zero(t, tenure.AskAgainAt())
	require.True(t, tenure.Answered(tenure.Asked(0), 2))
	lost := 0
	for at := tenure.AskAgainAt(); tenure.Holds(at + term/20); at = tenure.AskAgainAt() {
		tenure.Asked(at)
		lost++
	}
	assert.GreaterOrEqual(t, lost, 4, "three and one that is answered")
}

func TestFenceHoldsThroughARestart(t *testing.T) {
	fence := NewFence()
	risen, err := fence.Admit(conduct, 7)
	require.NoError(t, err)
	assert.True(t, risen, "to be kept before acting")
	fence, err = LoadFence(fence.Bytes())
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
		encode(fenceImage{fenceFormat, map[cluster.Task]cluster.Epoch{"": 1}})} {
		_, err = LoadFence(bad)
		assert.ErrorIs(t, err, ErrUnreadable)
	}
}
