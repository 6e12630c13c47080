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
		local     bool
		quorum    int
		known     bool
		hasQuorum bool
	}{
		{
			name:      "unknown",
			quorum:    1,
			hasQuorum: true,
		},
		{
			name:      "the only voter",
			voters:    voters{"self"},
			quorum:    1,
			local:     true,
			known:     true,
			hasQuorum: true,
		},
		{
			name:   "partitioned",
			voters: voters{"self", "a", "b"},
			others: []string{"a", "b"},
			quorum: 2,
			local:  true,
			known:  true,
		},
		{
			name:      "with one other voter",
			voters:    voters{"self", "a", "b"},
			live:      []string{"b"},
			others:    []string{"a", "b"},
			quorum:    2,
			local:     true,
			known:     true,
			hasQuorum: true,
		},
		{
			name:   "a minority of five",
			voters: voters{"self", "a", "b", "c", "d"},
			live:   []string{"a"},
			others: []string{"a", "b", "c", "d"},
			quorum: 3,
			local:  true,
			known:  true,
		},
		{
			name:   "a learner needs two of three",
			voters: voters{"a", "b", "c"},
			live:   []string{"a"},
			others: []string{"a", "b", "c"},
			quorum: 2,
			known:  true,
		},
		{
			name:      "a learner with two of three",
			voters:    voters{"a", "b", "c"},
			live:      []string{"a", "c"},
			others:    []string{"a", "b", "c"},
			quorum:    2,
			known:     true,
			hasQuorum: true,
		},
	} {
		live := map[string]bool{}
		for _, address := range test.live {
			live[address] = true
		}
		c := &Checker{Voters: test.voters, Self: "self", IsLive: func(address string) bool { return live[address] }}
		targets, known := c.Targets()
		assert.Equal(t, Targets{Others: test.others, Local: test.local, Quorum: test.quorum}, targets, test.name)
		assert.Equal(t, test.known, known, test.name)
		assert.Equal(t, test.hasQuorum, c.HasQuorum(), test.name)
	}
}
