package register

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/errcode"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

func configuration(version uint64, document string) state.Configuration {
	return state.Configuration{Version: version, Digest: state.DigestOf([]byte(document)), Document: []byte(document)}
}

func TestReplaceConfiguration(t *testing.T) {
	first, err := ReplaceConfiguration(0, configuration(3, "a"))(state.Record{})
	require.NoError(t, err)
	assert.Equal(t, uint64(3), first.Configuration.Version)
	second, err := ReplaceConfiguration(3, configuration(7, "b"))(first)
	require.NoError(t, err)

	for _, test := range []struct {
		name     string
		basedOn  uint64
		sent     state.Configuration
		expected func(error) bool
	}{
		{"the current one again", 3, configuration(7, "b"), isNoChange},
		{"an earlier one again", 0, configuration(3, "a"), isNoChange},
		{"another document under the current version", 3, configuration(7, "c"), errcode.VersionConflict.Is},
		{"on an older version", 3, configuration(9, "c"), errcode.VersionConflict.Is},
		{"on a future version", 8, configuration(9, "c"), errcode.VersionConflict.Is},
		{"a version that is not above the current one", 7, configuration(7, "c"), errcode.VersionNotAbove.Is},
	} {
		_, err := ReplaceConfiguration(test.basedOn, test.sent)(second)
		assert.True(t, test.expected(err), "%s: %v", test.name, err)
	}
}

// TestAmendConfiguration checks that a repeated amendment is recognized by its own digest, and that a new one is
// applied to the current record.
func TestAmendConfiguration(t *testing.T) {
	amendment := state.AppliedUpdate{Version: 5, Digest: state.DigestOf([]byte("order"))}
	var found []state.Configuration
	amend := func(current state.Configuration) (state.Configuration, error) {
		found = append(found, current)
		return configuration(5, "a, amended"), nil
	}
	first, err := ReplaceConfiguration(0, configuration(3, "a"))(state.Record{})
	require.NoError(t, err)
	amended, err := AmendConfiguration(3, amendment, amend)(first)
	require.NoError(t, err)
	assert.Equal(t, []state.Configuration{configuration(3, "a")}, found)
	assert.Equal(t, configuration(5, "a, amended"), amended.Configuration)
	third, err := ReplaceConfiguration(5, configuration(9, "c"))(amended)
	require.NoError(t, err)

	other := state.AppliedUpdate{Version: 5, Digest: state.DigestOf([]byte("another order"))}
	for _, test := range []struct {
		name     string
		record   state.Record
		basedOn  uint64
		applied  state.AppliedUpdate
		expected func(error) bool
	}{
		{"again at once", amended, 3, amendment, isNoChange},
		{"again after another change", third, 3, amendment, isNoChange},
		{"another amendment on the same base", amended, 3, other, errcode.VersionConflict.Is},
		{"on a future version", amended, 7, other, errcode.VersionConflict.Is},
		{"a version that is not above the current one", amended, 5, other, errcode.VersionNotAbove.Is},
	} {
		_, err := AmendConfiguration(test.basedOn, test.applied, amend)(test.record)
		assert.True(t, test.expected(err), "%s: %v", test.name, err)
	}
	assert.Len(t, found, 1, "amend is called only for an update with a valid base")

	_, err = ReplaceConfiguration(3, configuration(5, "a, amended"))(amended)
	assert.Equal(t, ErrNoChange, err, "a replacement by the configuration in force")
	_, err = AmendConfiguration(9, other, amend)(third)
	assert.True(t, errcode.VersionNotAbove.Is(err), "%v", err)
	rejection := errcode.ServiceUnknown.With("x")
	reject := func(state.Configuration) (state.Configuration, error) { return state.Configuration{}, rejection }
	_, err = AmendConfiguration(9, state.AppliedUpdate{Version: 10}, reject)(third)
	assert.Equal(t, rejection, err)
}

func isNoChange(err error) bool { return errors.Is(err, ErrNoChange) }

// historyLength is the number of changes that a record remembers.
const historyLength = state.MaxHistory + state.MaxOlderHistory

func TestReplaceConfiguration_BoundsHistoryAndKeepsInput(t *testing.T) {
	record := state.Record{}
	for version := range uint64(historyLength + 20) {
		before, older := slices.Clone(record.History), slices.Clone(record.OlderHistory)
		next, err := ReplaceConfiguration(version, configuration(version+1, fmt.Sprint(version)))(record)
		require.NoError(t, err)
		require.Equal(t, before, record.History)
		require.Equal(t, older, record.OlderHistory)
		record = next
	}
	assert.Len(t, record.History, state.MaxHistory)
	assert.Equal(t, uint64(20), record.ForgottenVersion)
	assert.Equal(t, uint64(historyLength+20), record.History[state.MaxHistory-1].Version)
}

// TestReplaceConfiguration_InDoubtBeforeHistory checks that a repeated update that is older than the history is
// reported as in doubt, never as rejected, and that one in the history is recognized.
func TestReplaceConfiguration_InDoubtBeforeHistory(t *testing.T) {
	record := state.Record{}
	for version := range uint64(historyLength + 20) {
		next, err := ReplaceConfiguration(version, configuration(version+1, fmt.Sprint(version)))(record)
		require.NoError(t, err)
		record = next
	}
	for version := range uint64(historyLength + 20) {
		_, err := ReplaceConfiguration(version, configuration(version+1, fmt.Sprint(version)))(record)
		if version+1 <= 20 {
			assert.True(t, errcode.ChangeForgotten.Is(err), "version %d: %v", version+1, err)
		} else {
			assert.Equal(t, ErrNoChange, err, "version %d", version+1)
		}
	}
	_, err := AmendConfiguration(19, state.AppliedUpdate{Version: 20}, nil)(record)
	assert.True(t, errcode.ChangeForgotten.Is(err), "%v", err)
	_, err = ReplaceConfiguration(20, configuration(21, "another document"))(record)
	assert.True(t, errcode.VersionConflict.Is(err), "%v", err)
	_, err = ReplaceConfiguration(historyLength+20, configuration(7, "on the newest"))(record)
	assert.True(t, errcode.VersionNotAbove.Is(err), "%v", err)
}

func TestSetEvacuation(t *testing.T) {
	_, err := SetEvacuation("z", false)(state.Record{})
	assert.Equal(t, ErrFence, err)
	begun, err := SetEvacuation("z", true)(state.Record{Revision: 4})
	require.NoError(t, err)
	assert.Equal(t, []state.Evacuation{{Zone: "z", Active: true, Revision: 5}}, begun.Evacuations)
	ended, err := SetEvacuation("z", false)(begun)
	require.NoError(t, err)
	assert.True(t, begun.Evacuated("z"), "the earlier record must not be modified")
	assert.False(t, ended.Evacuated("z"))
	_, err = SetEvacuation("z", true)(begun)
	assert.Equal(t, ErrFence, err)
}

func TestInitialState_GenesisOnlyOnSeedAtFirstStart(t *testing.T) {
	process := &settings.Process{
		IP:        "10.0.0.2",
		FirstPort: 7660,
		FirstRun:  true,
		Seeds:     []string{"10.0.0.3:80", "10.0.0.1:80", "10.0.0.2:80", "no address"},
	}
	first := initialState(process, "new")
	assert.Equal(t, "genesis-10.0.0.2:7660", first.ReplicaID)
	assert.Equal(t, []state.Replica{
		{ID: "genesis-10.0.0.1:7660", Address: "10.0.0.1:7660"},
		{ID: "genesis-10.0.0.2:7660", Address: "10.0.0.2:7660"},
		{ID: "genesis-10.0.0.3:7660", Address: "10.0.0.3:7660"},
	}, first.Proposal.Record.Voters.Replicas)
	process.FirstRun = false
	assert.Equal(t, AcceptorState{ReplicaID: "new"}, initialState(process, "new"), "the disk was lost")
	process.FirstRun = true
	process.IP = "10.0.0.4"
	assert.Equal(t, AcceptorState{ReplicaID: "new"}, initialState(process, "new"), "the process is not a seed")
}

func ids(set state.ReplicaSet) (all []string) {
	for _, replica := range set.Replicas {
		all = append(all, replica.ID)
	}
	return all
}

func TestReplicaUpdates(t *testing.T) {
	set := state.Record{Voters: state.ReplicaSet{Replicas: replicasNamed([]string{"A"})}}
	_, err := RemoveReplica("A")(set)
	assert.Equal(t, ErrNoChange, err, "the last voter is not removed")
	_, err = RemoveReplica("B")(set)
	assert.Equal(t, ErrNoChange, err)
	_, err = AddReplica(replicasNamed([]string{"A"})[0])(set)
	assert.Equal(t, ErrNoChange, err)
}

func TestBallot_TotalOrder(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Ballot {
		return Ballot{
			Number:   rapid.Uint64Range(0, 3).Draw(t, "number"),
			Proposer: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "proposer"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		assert.Equal(t, a.Compare(b), -b.Compare(a))
		assert.Equal(t, a == b, a.Compare(b) == 0)
		if a.Before(b) && b.Before(c) {
			assert.True(t, a.Before(c))
		}
	})
}

func TestProposal_RemembersLatestChanges(t *testing.T) {
	proposal := Proposal{}
	for sequence := range uint64(maxRememberedChanges + 5) {
		proposal = proposal.successor(proposal.Record, ChangeID{Proposer: "p", Sequence: sequence}, false)
	}
	assert.Len(t, proposal.Changes, maxRememberedChanges)
	assert.False(t, proposal.containsChange(ChangeID{Proposer: "p", Sequence: 4}))
	assert.True(t, proposal.containsChange(ChangeID{Proposer: "p", Sequence: 5}))
	assert.True(t, proposal.containsChange(ChangeID{Proposer: "p", Sequence: maxRememberedChanges + 4}))
}
