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
		{
			name:      "unknown",
			needed:    1,
			hasQuorum: true,
		},
		{
			name:      "the only voter",
			voters:    voters{"self"},
			needed:    0,
			known:     true,
			hasQuorum: true,
		},
		{
			name:   "partitioned",
			voters: voters{"self", "a", "b"},
			others: []string{"a", "b"},
			needed: 1,
			known:  true,
		},
		{
			name:      "with one other voter",
			voters:    voters{"self", "a", "b"},
			live:      []string{"b"},
			others:    []string{"a", "b"},
			needed:    1,
			known:     true,
			hasQuorum: true,
		},
		{
			name:   "a minority of five",
			voters: voters{"self", "a", "b", "c", "d"},
			live:   []string{"a"},
			others: []string{"a", "b", "c", "d"},
			needed: 2,
			known:  true,
		},
		{
			name:   "a learner needs two of three",
			voters: voters{"a", "b", "c"},
			live:   []string{"a"},
			others: []string{"a", "b", "c"},
			needed: 2,
			known:  true,
		},
		{
			name:      "a learner with two of three",
			voters:    voters{"a", "b", "c"},
			live:      []string{"a", "c"},
			others:    []string{"a", "b", "c"},
			needed:    2,
			known:     true,
			hasQuorum: true,
		},
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
