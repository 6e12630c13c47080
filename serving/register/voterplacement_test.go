package register

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// newTestPlacement returns a placement with three desired voters. The arguments are addresses, separated by spaces; the
// first letter of an address is its zone.
func newTestPlacement(learners, down, expired string) *voterPlacement {
	within := func(names string) func(string) bool {
		return func(address string) bool { return strings.Contains(" "+names+" ", " "+address+" ") }
	}
	return &voterPlacement{desiredVoters: 3, isDown: within(down), isExpired: within(expired),
		zoneOf: func(address string) string { return address[:1] }, learners: replicasAt(strings.Fields(learners))}
}

// replicasAt returns replicas whose IDs and addresses are the names.
func replicasAt(names []string) (all []state.Replica) {
	for _, name := range names {
		all = append(all, state.Replica{ID: name, Address: name})
	}
	return all
}

func TestVoterPlacement_NextVoters(t *testing.T) {
	for _, test := range []struct {
		name, voters, learners, down, expired, expected string
		desired                                         int
	}{
		{name: "no change is needed", voters: "a b c", learners: "d", expected: ""},
		{name: "a down voter is replaced by a learner", voters: "a b c", learners: "d", down: "b", expected: "a d c"},
		{
			name:     "a down voter is replaced by the learner whose zone has the fewest voters",
			voters:   "a1 b1 c1",
			learners: "a2 d1 c2",
			down:     "b1",
			expected: "a1 d1 c1",
		},
		{name: "a down voter stays if there is no learner", voters: "a b c", down: "b", expected: ""},
		{name: "two voters are added at once", voters: "a b c", learners: "d e", desired: 5, expected: "a b c d e"},
		{name: "a single voter is not added to an odd set", voters: "a b c", learners: "d", desired: 5, expected: ""},
		{name: "replacement precedes growth", voters: "a b c", learners: "d e", down: "c", desired: 5, expected: "a b d"},
		{name: "an even set grows by one", voters: "a b", learners: "d e", expected: "a b d"},
		{name: "a down voter is removed from an even set", voters: "a b c d", down: "b", expected: "a c d"},
		{name: "one voter is removed from an even set that is too large", voters: "a b c d", expected: "a b c"},
		{name: "a set of two voters stays", voters: "a b", down: "b", expected: ""},
		{name: "two surplus voters are removed, a down one first", voters: "a b c d e", down: "b", expected: "a c d"},
		{name: "surplus voters are removed from the zone with the most voters", voters: "a1 a2 a3 b c", expected: "a1 b c"},
		{
			name:     "two expired voters are removed",
			voters:   "a b c d e",
			down:     "b d",
			expired:  "b d",
			desired:  5,
			expected: "a c e",
		},
		{name: "one expired voter stays", voters: "a b c d e", down: "b", expired: "b", desired: 5, expected: ""},
		{name: "two down voters stay", voters: "a b c d e", down: "b d", desired: 5, expected: ""},
		{name: "a vote moves out of a zone with a majority", voters: "a1 a2 c", learners: "b", expected: "b a2 c"},
		{name: "no vote moves into a zone that would have a majority", voters: "a1 a2 c", learners: "c2", expected: ""},
	} {
		placement := newTestPlacement(test.learners, test.down, test.expired)
		placement.desiredVoters = max(3, test.desired)
		next, changed := placement.nextVoters(replicasAt(strings.Fields(test.voters)))
		assert.Equal(t, test.expected, strings.Join(ids(state.ReplicaSet{Replicas: next}), " "), test.name)
		assert.Equal(t, test.expected != "", changed, test.name)
	}
}

func TestVoterPlacement_SameAddressFirst(t *testing.T) {
	placement := newTestPlacement("", "b", "")
	placement.learners = []state.Replica{{ID: "c2", Address: "c"}}
	next, _ := placement.replaceUnavailable(replicasAt([]string{"a", "b", "c"}))
	assert.Equal(t, []string{"a", "b", "c2"}, ids(state.ReplicaSet{Replicas: next}), "before the voter that is down")
}

func TestVoterPlacement_TransferVote(t *testing.T) {
	placement := newTestPlacement("b2 d", "", "")
	next, changed := placement.transferVote(replicasAt([]string{"a", "b", "c"}), "a")
	assert.True(t, changed)
	assert.Equal(t, []string{"d", "b", "c"}, ids(state.ReplicaSet{Replicas: next}))
	_, changed = placement.transferVote(replicasAt([]string{"a", "b", "c"}), "d")
	assert.False(t, changed, "the replica has no vote")
	_, changed = newTestPlacement("", "", "").transferVote(replicasAt([]string{"a", "b", "c"}), "a")
	assert.False(t, changed, "there is no learner")
}

func TestDesiredVoterCount(t *testing.T) {
	process := &settings.Process{}
	assert.Equal(t, 3, desiredVoterCount(process))
	process.FaultTolerance = settings.FaultTolerance{MachineLosses: 1, Zones: 1}
	assert.Equal(t, 3, desiredVoterCount(process))
	process.FaultTolerance.MachineLosses = 2
	assert.Equal(t, 5, desiredVoterCount(process))
}

// TestVoterPlacement_Property checks for random voters, learners and failures that the sequence of changes ends, that
// odd sets stay odd, that a change adds or removes two voters at most, and that in the end no voter is down that could
// be replaced.
func TestVoterPlacement_Property(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.Custom(func(rt *rapid.T) string {
			return fmt.Sprintf("%c%d", 'a'+rapid.IntRange(0, 3).Draw(rt, "zone"), rapid.IntRange(0, 4).Draw(rt, "number"))
		})
		names := rapid.SliceOfNDistinct(name, 1, 12, rapid.ID[string]).Draw(rt, "names")
		voterCount := rapid.IntRange(1, len(names)).Draw(rt, "voting")
		voters := replicasAt(names[:voterCount])
		var down, learners []string
		for _, each := range names {
			if rapid.IntRange(0, 3).Draw(rt, each) == 0 {
				down = append(down, each)
			} else {
				learners = append(learners, each)
			}
		}
		placement := newTestPlacement(strings.Join(learners, " "), strings.Join(down, " "), "")
		placement.desiredVoters = rapid.SampledFrom([]int{3, 5, 7}).Draw(rt, "wanted")
		for step := 0; ; step++ {
			next, changed := placement.nextVoters(voters)
			if !changed {
				break
			}
			if step > 40 {
				rt.Fatalf("the changes do not end: %v", next)
			}
			if len(voters)%2 == 1 && len(next)%2 == 0 {
				rt.Fatalf("an odd set became even: %v, %v", voters, next)
			}
			if difference := len(next) - len(voters); difference > 2 || difference < -2 || len(next) == 0 {
				rt.Fatalf("a change adds or removes too many voters: %v, %v", voters, next)
			}
			voters = next
		}
		if len(voters) > placement.desiredVoters {
			rt.Fatalf("too many voters: %v", voters)
		}
		if placement.firstDown(voters) >= 0 && len(placement.availableLearners(voters)) > 0 {
			rt.Fatalf("a down voter could be replaced: %v", voters)
		}
	})
}
