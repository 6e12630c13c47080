package quorum

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// voters is a set of voters by their addresses. It implements VoterSource.
type voters []string

func (v voters) Voters() (set state.ReplicaSet) {
	for _, address := range v {
		set.Replicas = append(set.Replicas, state.Replica{ID: address, Address: address})
	}
	return set
}

func TestChecker(t *testing.T) {
	for _, test := range []struct {
		name      string
		voters    voters
		live      []string
		others    []string
		needed    int
		known     bool
		hasQuorum bool
	}{
		{"unknown", nil, nil, nil, 1, false, true},
		{"the only voter", voters{"self"}, nil, nil, 0, true, true},
		{"partitioned", voters{"self", "a", "b"}, nil, []string{"a", "b"}, 1, true, false},
		{"with one other voter", voters{"self", "a", "b"}, []string{"b"}, []string{"a", "b"}, 1, true, true},
		{"a minority of five", voters{"self", "a", "b", "c", "d"}, []string{"a"}, []string{"a", "b", "c", "d"}, 2, true, false},
		{"a learner needs two of three", voters{"a", "b", "c"}, []string{"a"}, []string{"a", "b", "c"}, 2, true, false},
		{"a learner with two of three", voters{"a", "b", "c"}, []string{"a", "c"}, []string{"a", "b", "c"}, 2, true, true},
	} {
		live := map[string]bool{}
		for _, address := range test.live {
			live[address] = true
		}
		c := &Checker{Voters: test.voters, Self: "self", IsLive: func(address string) bool { return live[address] }}
		others, needed, known := c.OtherVoters()
		assert.Equal(t, test.others, others, test.name)
		assert.Equal(t, test.needed, needed, test.name)
		assert.Equal(t, test.known, known, test.name)
		assert.Equal(t, test.hasQuorum, c.HasQuorum(), test.name)
	}
}
