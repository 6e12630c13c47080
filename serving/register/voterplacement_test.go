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

// seatsOf makes a seating where addresses are names, and a name's first letter is its zone; wanted voters are 3.
func seatsOf(learners, absent, forgotten string) *voterPlacement {
	within := func(names string) func(string) bool {
		return func(address string) bool { return strings.Contains(" "+names+" ", " "+address+" ") }
	}
	return &voterPlacement{desiredVoters: 3, isDown: within(absent), isExpired: within(forgotten),
		zoneOf: func(address string) string { return address[:1] }, learners: replicasAt(strings.Fields(learners))}
}

// replicasAt are replicas whose IDs and addresses are the names.
func replicasAt(names []string) (all []state.Replica) {
	for _, name := range names {
		all = append(all, state.Replica{ID: name, Address: name})
	}
	return all
}

func TestNextVoters(t *testing.T) {
	for _, tried := range []struct {
		name, voters, learners, absent, forgotten, expected string
		wanted                                              int
	}{
		{name: "all is well", voters: "a b c", learners: "d", expected: ""},
		{name: "an absent voter is replaced", voters: "a b c", learners: "d", absent: "b", expected: "a d c"},
		{name: "by the learner whose zone has the fewest voters", voters: "a1 b1 c1", learners: "a2 d1 c2", absent: "b1", expected: "a1 d1 c1"},
		{name: "without a learner it stays", voters: "a b c", absent: "b", expected: ""},
		{name: "two more at once", voters: "a b c", learners: "d e", wanted: 5, expected: "a b c d e"},
		{name: "never one more", voters: "a b c", learners: "d", wanted: 5, expected: ""},
		{name: "an absent one first", voters: "a b c", learners: "d e", absent: "c", wanted: 5, expected: "a b d"},
		{name: "an even set grows by one", voters: "a b", learners: "d e", expected: "a b d"},
		{name: "an even set loses the absent one", voters: "a b c d", absent: "b", expected: "a c d"},
		{name: "an even set that is too large loses one", voters: "a b c d", expected: "a b c"},
		{name: "two stay", voters: "a b", absent: "b", expected: ""},
		{name: "too many go by two, the absent first", voters: "a b c d e", absent: "b", expected: "a c d"},
		{name: "too many, out of the fullest zone", voters: "a1 a2 a3 b c", expected: "a1 b c"},
		{name: "two forgotten go", voters: "a b c d e", absent: "b d", forgotten: "b d", wanted: 5, expected: "a c e"},
		{name: "one forgotten stays", voters: "a b c d e", absent: "b", forgotten: "b", wanted: 5, expected: ""},
		{name: "two absent stay", voters: "a b c d e", absent: "b d", wanted: 5, expected: ""},
		{name: "a zone that holds the majority gives a vote away", voters: "a1 a2 c", learners: "b", expected: "b a2 c"},
		{name: "not into another full zone", voters: "a1 a2 c", learners: "c2", expected: ""},
	} {
		seats := seatsOf(tried.learners, tried.absent, tried.forgotten)
		seats.desiredVoters = max(3, tried.wanted)
		next, changed := seats.nextVoters(replicasAt(strings.Fields(tried.voters)))
		assert.Equal(t, tried.expected, strings.Join(ids(state.ReplicaSet{Replicas: next}), " "), tried.name)
		assert.Equal(t, tried.expected != "", changed, tried.name)
	}
}

func TestSuccessorTakesThePlaceOfItsOwnAddressFirst(t *testing.T) {
	seats := seatsOf("", "b", "")
	seats.learners = []state.Replica{{ID: "c2", Address: "c"}}
	next, _ := seats.replaceUnavailable(replicasAt([]string{"a", "b", "c"}))
	assert.Equal(t, []string{"a", "b", "c2"}, ids(state.ReplicaSet{Replicas: next}), "though another is absent")
}

func TestHandOverGoesToTheLearnerThatFits(t *testing.T) {
	seats := seatsOf("b2 d", "", "")
	next, changed := seats.transferVote(replicasAt([]string{"a", "b", "c"}), "a")
	assert.True(t, changed)
	assert.Equal(t, []string{"d", "b", "c"}, ids(state.ReplicaSet{Replicas: next}))
	_, changed = seats.transferVote(replicasAt([]string{"a", "b", "c"}), "d")
	assert.False(t, changed, "it has no vote")
	_, changed = seatsOf("", "", "").transferVote(replicasAt([]string{"a", "b", "c"}), "a")
	assert.False(t, changed, "no learner")
}

func TestVotersWanted(t *testing.T) {
	process := &settings.Process{}
	assert.Equal(t, 3, desiredVoterCount(process))
	process.FaultTolerance = settings.FaultTolerance{MachineLosses: 1, Zones: 1}
	assert.Equal(t, 3, desiredVoterCount(process))
	process.FaultTolerance.MachineLosses = 2
	assert.Equal(t, 5, desiredVoterCount(process))
}

// Whatever the voters, learners and absences are: steps end, odd sets stay odd, a step changes a set by two at most,
// and at the end no voter is absent that could be replaced.
func TestSeatingProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.Custom(func(rt *rapid.T) string {
			return fmt.Sprintf("%c%d", 'a'+rapid.IntRange(0, 3).Draw(rt, "zone"), rapid.IntRange(0, 4).Draw(rt, "number"))
		})
		names := rapid.SliceOfNDistinct(name, 1, 12, rapid.ID[string]).Draw(rt, "names")
		voting := rapid.IntRange(1, len(names)).Draw(rt, "voting")
		voters := replicasAt(names[:voting])
		var absent, learners []string
		for _, each := range names {
			if rapid.IntRange(0, 3).Draw(rt, each) == 0 {
				absent = append(absent, each)
			} else {
				learners = append(learners, each)
			}
		}
		seats := seatsOf(strings.Join(learners, " "), strings.Join(absent, " "), "")
		seats.desiredVoters = rapid.SampledFrom([]int{3, 5, 7}).Draw(rt, "wanted")
		for step := 0; ; step++ {
			next, changed := seats.nextVoters(voters)
			if !changed {
				break
			}
			if step > 40 {
				rt.Fatalf("no end: %v", next)
			}
			if len(voters)%2 == 1 && len(next)%2 == 0 {
				rt.Fatalf("an odd set became even: %v, %v", voters, next)
			}
			if difference := len(next) - len(voters); difference > 2 || difference < -2 || len(next) == 0 {
				rt.Fatalf("%v, %v", voters, next)
			}
			voters = next
		}
		if len(voters) > seats.desiredVoters {
			rt.Fatalf("too many: %v", voters)
		}
		if seats.firstDown(voters) >= 0 && len(seats.availableLearners(voters)) > 0 {
			rt.Fatalf("an absent voter could be replaced: %v", voters)
		}
	})
}
