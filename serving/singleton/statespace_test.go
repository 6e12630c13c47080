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

// exploredRole and exploredMembers describe the explored system; exploredClaims bounds the number of claims.
const (
	exploredRole    = "repair"
	exploredMembers = 3
	exploredClaims  = 3
)

// world is a state of the system: all members' tables and every claim that was made, which may reach any member at any
// time or never.
type world struct {
	tables [exploredMembers]*Table
	clock  [exploredMembers]int // of each member, in steps of takeoverDelay
	claims []Claim
}

func member(index int) state.Member {
	return state.Member{Name: fmt.Sprintf("m%d", index), Role: state.RoleCore, State: state.MemberReady}
}

func (w *world) clone() *world {
	next := *w
	next.claims = slices.Clone(w.claims)
	for index, table := range w.tables {
		next.tables[index] = &Table{
			self:        table.self,
			claimByRole: maps.Clone(table.claimByRole),
			firstSince:  maps.Clone(table.firstSince),
		}
	}
	return &next
}

// key identifies a state. Of the clocks it has only whether a member is the first candidate already.
func (w *world) key() string {
	text := fmt.Sprint(w.claims)
	for _, table := range w.tables {
		_, first := table.firstSince[exploredRole]
		text += fmt.Sprint(table.claimByRole[exploredRole], first)
	}
	return text
}

// successors calls visit for each next state: a member tries to acquire the role, with any view of the live members; a
// claim reaches a member; a member restarts without its memory.
func (w *world) successors(visit func(next *world, at int, assignment Assignment)) {
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
			next := w.clone()
			next.clock[index]++
			now := time.Unix(1_000_000, 0).Add(time.Duration(next.clock[index]) * takeoverDelay)
			assignment, claim := next.tables[index].Acquire(now, exploredRole, Scope{Role: state.RoleCore}, live)
			if claim != nil && !slices.Contains(next.claims, *claim) {
				next.claims = append(next.claims, *claim)
				slices.SortFunc(next.claims, func(a, b Claim) int { return int(a.Epoch/epochStep) - int(b.Epoch/epochStep) })
			}
			visit(next, index, assignment)
		}
		for _, claim := range w.claims {
			next := w.clone()
			next.tables[index].Merge(claim)
			visit(next, index, Assignment{})
		}
		next := w.clone()
		next.tables[index] = New(member(index).Name)
		visit(next, index, Assignment{})
	}
}

// TestStateSpace explores every order of acquisitions, late and lost claims and restarts: no epoch has two holders,
// no member holds the role under an epoch that its own table doesn't admit, and a table's epoch decreases only with a
// restart.
func TestStateSpace(t *testing.T) {
	first := &world{}
	for index := range first.tables {
		first.tables[index] = New(member(index).Name)
	}
	known := map[string]bool{first.key(): true}
	made := 0
	for queue := []*world{first}; len(queue) > 0; queue = queue[1:] {
		at := queue[0]
		at.successors(func(next *world, index int, assignment Assignment) {
			holders := map[uint64]string{}
			for _, claim := range next.claims {
				other, isClaimed := holders[claim.Epoch]
				require.False(t, isClaimed && other != claim.Holder, "two holders in one epoch: %v", next.claims)
				holders[claim.Epoch] = claim.Holder
			}
			if assignment.Local {
				require.Equal(t, member(index).Name, holders[assignment.Epoch], "a role is held under another member's epoch")
				require.True(t, next.tables[index].AdmitsEpoch(exploredRole, assignment.Epoch))
			}
			before, after := at.tables[index].claimByRole[exploredRole].Epoch, next.tables[index].claimByRole[exploredRole].Epoch
			require.True(t, after >= before || len(next.tables[index].claimByRole) == 0, "an epoch decreases")
			if key := next.key(); !known[key] && len(next.claims) <= exploredClaims {
				known[key] = true
				made = max(made, len(next.claims))
				queue = append(queue, next)
			}
		})
	}
	t.Logf("%d states, explored exhaustively, with up to %d claims", len(known), made)
	assert.Equal(t, exploredClaims, made)
}

// TestNextEpoch_DiffersBetweenMembers checks that of as many members as a system may have, no two claim a role under
// one epoch at once.
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
