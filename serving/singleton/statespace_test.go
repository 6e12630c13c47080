package singleton

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// exploredRole and exploredMembers are the role and the number of members of the explored system. exploredClaims is the
// largest number of claims in an explored state.
const (
	exploredRole    = "repair"
	exploredMembers = 3
	exploredClaims  = 3
)

// systemState is a state of the system: all members' tables and every claim that was made, which may reach any member at
// any time or never.
type systemState struct {
	tables [exploredMembers]*Table
	clock  [exploredMembers]int // of each member, in steps of takeoverDelay
	claims []Claim
}

func member(index int) state.Member {
	return state.Member{Name: fmt.Sprintf("m%d", index), Role: state.RoleCore, State: state.MemberReady}
}

func (s *systemState) clone() *systemState {
	next := *s
	next.claims = slices.Clone(s.claims)
	for index, table := range s.tables {
		next.tables[index] = &Table{
			self:        table.self,
			claimByRole: maps.Clone(table.claimByRole),
			firstSince:  maps.Clone(table.firstSince),
		}
	}
	return &next
}

// key returns a string that identifies the state. Of the times it has only whether each member already counts as the first
// candidate.
func (s *systemState) key() string {
	text := fmt.Sprint(s.claims)
	for _, table := range s.tables {
		_, first := table.firstSince[exploredRole]
		text += fmt.Sprint(table.claimByRole[exploredRole], first)
	}
	return text
}

// successors calls visit for each state that one event leads to: a member tries to acquire the role, with any view of the
// live members; a claim reaches a member; or a member restarts and loses its table. index is the member's.
func (s *systemState) successors(visit func(next *systemState, index int, assignment Assignment)) {
	for index := range exploredMembers {
		for view := range 1 << exploredMembers {
			if view&(1<<index) == 0 {
				continue
			}
			var live []state.Member
			for other := range exploredMembers {
				if view&(1<<other) != 0 {
					live = append(live, member(other))
				}
			}
			next := s.clone()
			next.clock[index]++
			now := time.Unix(1_000_000, 0).Add(time.Duration(next.clock[index]) * takeoverDelay)
			assignment, claim := next.tables[index].Acquire(now, exploredRole, Scope{Role: state.RoleCore}, live)
			if claim != nil && !slices.Contains(next.claims, *claim) {
				next.claims = append(next.claims, *claim)
				slices.SortFunc(next.claims, func(a, b Claim) int { return int(a.Epoch/epochStep) - int(b.Epoch/epochStep) })
			}
			visit(next, index, assignment)
		}
		for _, claim := range s.claims {
			next := s.clone()
			next.tables[index].Merge(claim)
			visit(next, index, Assignment{})
		}
		next := s.clone()
		next.tables[index] = New(member(index).Name)
		visit(next, index, Assignment{})
	}
}

// TestStateSpace explores every sequence of acquisitions, late and lost claims, and restarts. It checks that no epoch has
// two holders, that no member holds the role under an epoch that its own table doesn't admit, and that the epoch in a
// table decreases only when the member restarts.
func TestStateSpace(t *testing.T) {
	initial := &systemState{}
	for index := range initial.tables {
		initial.tables[index] = New(member(index).Name)
	}
	known := map[string]bool{initial.key(): true}
	maxClaims := 0
	for queue := []*systemState{initial}; len(queue) > 0; queue = queue[1:] {
		current := queue[0]
		current.successors(func(next *systemState, index int, assignment Assignment) {
			holders := map[uint64]string{}
			for _, claim := range next.claims {
				other, isClaimed := holders[claim.Epoch]
				require.False(t, isClaimed && other != claim.Holder, "two holders in one epoch: %v", next.claims)
				holders[claim.Epoch] = claim.Holder
			}
			if assignment.Local {
				require.Equal(t, member(index).Name, holders[assignment.Epoch], "a member holds the role under another member's epoch")
				require.True(t, next.tables[index].AdmitsEpoch(exploredRole, assignment.Epoch))
			}
			before, after := current.tables[index].claimByRole[exploredRole].Epoch, next.tables[index].claimByRole[exploredRole].Epoch
			require.True(t, after >= before || len(next.tables[index].claimByRole) == 0, "the epoch in a table decreased without a restart")
			if key := next.key(); !known[key] && len(next.claims) <= exploredClaims {
				known[key] = true
				maxClaims = max(maxClaims, len(next.claims))
				queue = append(queue, next)
			}
		})
	}
	t.Logf("%d states, explored exhaustively, with up to %d claims", len(known), maxClaims)
	assert.Equal(t, exploredClaims, maxClaims)
}

// TestNextEpoch_DiffersBetweenMembers checks that the first claims of 5000 members, as many as a system may have, have
// different epochs.
func TestNextEpoch_DiffersBetweenMembers(t *testing.T) {
	holders := map[uint64]string{}
	for number := range 5000 {
		name := fmt.Sprintf("machine-%d", number)
		_, claim := New(name).Acquire(time.Unix(1, 0), exploredRole, Scope{}, []state.Member{{Name: name}})
		require.NotNil(t, claim)
		assert.Empty(t, holders[claim.Epoch], "%s claims the same epoch", name)
		holders[claim.Epoch] = name
	}
}
