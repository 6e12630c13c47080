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

// exploredDuty and exploredMembers are what the small world is about; exploredClaims bounds how many claims are made.
const (
	exploredDuty    = "repair"
	exploredMembers = 3
	exploredClaims  = 3
)

// world is all members' tables and every claim that was ever made, which may reach anyone at any time or never.
type world struct {
	tables [exploredMembers]*Table
	clock  [exploredMembers]int // steps of settleSpan, of each member's own clock
	claims []Claim
}

func member(index int) state.Member {
	return state.Member{Name: fmt.Sprintf("m%d", index), Role: state.RoleCore, State: state.MemberReady}
}

func (w *world) clone() *world {
	next := *w
	next.claims = slices.Clone(w.claims)
	for index, table := range w.tables {
		next.tables[index] = &Table{self: table.self, claims: maps.Clone(table.claims), first: maps.Clone(table.first)}
	}
	return &next
}

// key leaves the clocks out but for whether a member is first already.
func (w *world) key() string {
	text := fmt.Sprint(w.claims)
	for _, table := range w.tables {
		_, first := table.first[exploredDuty]
		text += fmt.Sprint(table.claims[exploredDuty], first)
	}
	return text
}

// successors: a member looks who holds the duty, with any view of who lives; a claim reaches a member; a member loses
// its memory. The function next is called with the claim that was made, if one was.
func (w *world) successors(visit func(next *world, at int, holding Assignment)) {
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
			now := time.Unix(1_000_000, 0).Add(time.Duration(next.clock[index]) * settleSpan)
			holding, claim := next.tables[index].Acquire(now, exploredDuty, Scope{Role: state.RoleCore}, live)
			if claim != nil && !slices.Contains(next.claims, *claim) {
				next.claims = append(next.claims, *claim)
				slices.SortFunc(next.claims, func(a, b Claim) int { return int(a.Epoch/epochStep) - int(b.Epoch/epochStep) })
			}
			visit(next, index, holding)
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

// TestExploreDuties goes through every order of looks, late and lost claims and restarts: no epoch has two holders, nobody
// does the duty under an epoch that its own table doesn't admit, and a table's epoch goes back only with a restart.
func TestExploreDuties(t *testing.T) {
	first := &world{}
	for index := range first.tables {
		first.tables[index] = New(member(index).Name)
	}
	known := map[string]bool{first.key(): true}
	made := 0
	for queue := []*world{first}; len(queue) > 0; queue = queue[1:] {
		at := queue[0]
		at.successors(func(next *world, index int, holding Assignment) {
			holders := map[uint64]string{}
			for _, claim := range next.claims {
				other, taken := holders[claim.Epoch]
				require.False(t, taken && other != claim.Holder, "two holders in one epoch: %v", next.claims)
				holders[claim.Epoch] = claim.Holder
			}
			if holding.Local {
				require.Equal(t, member(index).Name, holders[holding.Epoch], "a duty is done under another's epoch")
				require.True(t, next.tables[index].AdmitsEpoch(exploredDuty, holding.Epoch))
			}
			before, after := at.tables[index].claims[exploredDuty].Epoch, next.tables[index].claims[exploredDuty].Epoch
			require.True(t, after >= before || len(next.tables[index].claims) == 0, "an epoch goes back")
			if key := next.key(); !known[key] && len(next.claims) <= exploredClaims {
				known[key] = true
				made = max(made, len(next.claims))
				queue = append(queue, next)
			}
		})
	}
	t.Logf("%d states, to the end, with up to %d claims", len(known), made)
	assert.Equal(t, exploredClaims, made)
}

// TestEpochsOfMembersDiffer: of as many members as a system may have, no two claim a duty under one epoch at once.
func TestEpochsOfMembersDiffer(t *testing.T) {
	holders := map[uint64]string{}
	for number := range 5000 {
		name := fmt.Sprintf("machine-%d", number)
		_, claim := New(name).Acquire(time.Unix(1, 0), exploredDuty, Scope{}, []state.Member{{Name: name}})
		require.NotNil(t, claim)
		assert.Empty(t, holders[claim.Epoch], "%s claims the same epoch", name)
		holders[claim.Epoch] = name
	}
}
