package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
)

// FuzzMap: arbitrary bytes either are rejected or are a consistent map, which stays consistent under any command.
func FuzzMap(f *testing.F) {
	m := New(newFakeLeases())
	commands := []cluster.Command{
		Coordinator(1).Initialize(3, []MemberWeight{{"a", 1}, {"b", 1}}),
		Coordinator(1).Split(1, 9),
		ConfirmOwner(1, "a", 1, 1),
		Coordinator(1).PlanMove(1, "a", "b"),
		SwitchOwner(4, 1, "b", 2),
		ClearMove(4, "a"),
	}
	for i, command := range commands {
		_, _ = m.Apply(uint64(i+1), command.Body) // some are rejected
		snapshot, err := m.Snapshot()
		require.NoError(f, err)
		f.Add(snapshot, command.Body)
	}
	f.Fuzz(func(t *testing.T, snapshot, command []byte) {
		leases := newFakeLeases()
		leases.grant(1, "a")
		leases.grant(1, "b")
		m := New(leases)
		if m.Restore(snapshot) != nil {
			require.Empty(t, m.Ranges)
		}
		before, err := m.Snapshot()
		require.NoError(t, err)
		if _, err := m.Apply(uint64(m.Version)+1, command); err != nil {
			after, err := m.Snapshot()
			require.NoError(t, err)
			require.Equal(t, before, after)
		}
		require.NoError(t, m.validate())
		_, ok := m.RangeOf(1 << 63)
		require.Equal(t, len(m.Ranges) > 0, ok)
	})
}

func TestMap_RestoreRejectsInconsistentMoves(t *testing.T) {
	valid := Map{Version: 9, NextID: 2, Ranges: []Range{{ID: 1, To: ^cluster.KeyHash(0), Owner: "a"}}}
	for name, damage := range map[string]func(m *Map){
		"detached and not switched": func(m *Map) {
			m.DetachedMoves = []Move{{ID: 4, From: "a", To: "b", Step: StepHandoff}}
		},
		"duplicate id": func(m *Map) {
			m.Ranges[0].Move = Move{ID: 4, From: "a", To: "b", Step: StepHandoff}
			m.DetachedMoves = []Move{{ID: 4, From: "a", To: "b", Step: StepSwitched}}
		},
		"no id": func(m *Map) { m.Ranges[0].Move = Move{From: "a", To: "b", Step: StepHandoff} },
	} {
		t.Run(name, func(t *testing.T) {
			m := Map{Version: 9, NextID: 2, Ranges: []Range{valid.Ranges[0]}}
			damage(&m)
			snapshot, err := m.Snapshot()
			require.NoError(t, err)
			other := New(fakeLeases{})
			assert.Error(t, other.Restore(snapshot))
			assert.NotPanics(t, func() { _, _ = other.Apply(10, SwitchOwner(4, 1, "b", 1).Body) })
		})
	}
}
