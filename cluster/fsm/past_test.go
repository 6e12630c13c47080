package fsm

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
)

// Whoever has any snapshot of before has the newest by what it is told, and by a change of another one never.
func TestPastLeadsToTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, had, raw := SnapshotHistory{}, map[uint64][]byte{}, rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "first")
		for v := range rapid.Uint64Range(1, 20).Draw(t, "versions") {
			p.Add(2*v+1, raw)
			had[2*v+1] = raw
			for range 2 {
				at := rapid.Uint64Range(0, 2*v+2).Draw(t, "asked")
				from, bytes := p.DeltaSince(at)
				if from != 0 {
					require.Equal(t, at, from)
					require.Less(t, len(bytes), len(raw))
					changed, err := ApplyDelta(had[at], bytes)
					require.NoError(t, err)
					bytes = changed
				}
				require.Equal(t, raw, bytes)
			}
			if raw = append([]byte(nil), raw...); len(raw) > 0 {
				raw[rapid.IntRange(0, len(raw)-1).Draw(t, "at")] ^= 1
			}
		}
	})
}

func TestAChangeOfAnotherSnapshotIsNotTaken(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	raw := make([]byte, 4000)
	for i := range raw {
		raw[i] = byte(draw.Uint32())
	}
	next := append(append([]byte(nil), raw[:2000]...), raw[2003:]...)
	c := encodeDelta(raw, next)
	got, err := ApplyDelta(raw, c)
	require.NoError(t, err)
	assert.Equal(t, next, got)
	other := append([]byte(nil), raw...)
	other[100]++
	for _, from := range [][]byte{other, raw[:3000], nil} {
		_, err = ApplyDelta(from, c)
		assert.ErrorIs(t, err, ErrUnreadable)
	}
	_, err = ApplyDelta(raw, c[:len(c)-1])
	assert.ErrorIs(t, err, ErrUnreadable)
}

// BenchmarkChange is one step of one move among 4,096 ranges: bytes to each member beside the whole.
func BenchmarkChange(b *testing.B) {
	m := shardmap.New(nil)
	all := []shardmap.MemberWeight{}
	for i := range 300 {
		all = append(all, shardmap.MemberWeight{Member: cluster.MemberID(fmt.Sprint("m", i)), Weight: 1})
	}
	m.Ranges, _ = shardmap.EvenRanges(4096, all)
	for i := range m.Ranges {
		m.Ranges[i].Epoch, m.Ranges[i].Status = 1000, shardmap.OwnerServing
	}
	m.Version = 70_000
	before, _ := m.Snapshot()
	m.Version++
	m.Ranges[1234].Move = shardmap.Move{ID: 70_001, From: m.Ranges[1234].Owner, To: "m17", Step: shardmap.StepPlanned}
	after, _ := m.Snapshot()
	var c []byte
	b.Run("made", func(b *testing.B) {
		for b.Loop() {
			c = encodeDelta(before, after)
		}
		b.ReportMetric(float64(len(c)), "B")
		b.ReportMetric(float64(len(after)), "B-whole")
	})
	b.Run("taken", func(b *testing.B) {
		for b.Loop() {
			ApplyDelta(before, c)
		}
	})
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			m.Snapshot()
		}
	})
}
