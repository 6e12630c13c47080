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

// The result of DeltaSince for any earlier snapshot yields the newest one.
func TestSnapshotHistory_LeadsToTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := SnapshotHistory{}
		earlier := map[uint64][]byte{}
		raw := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "first")
		for v := range rapid.Uint64Range(1, 20).Draw(t, "versions") {
			history.Add(2*v+1, raw)
			earlier[2*v+1] = raw
			for range 2 {
				at := rapid.Uint64Range(0, 2*v+2).Draw(t, "asked")
				from, bytes := history.DeltaSince(at)
				if from != 0 {
					require.Equal(t, at, from)
					require.Less(t, len(bytes), len(raw))
					applied, err := ApplyDelta(earlier[at], bytes)
					require.NoError(t, err)
					bytes = applied
				}
				require.Equal(t, raw, bytes)
			}
			if raw = append([]byte(nil), raw...); len(raw) > 0 {
				raw[rapid.IntRange(0, len(raw)-1).Draw(t, "at")] ^= 1
			}
		}
	})
}

func TestApplyDelta_RejectsOtherBase(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	raw := make([]byte, 4000)
	for i := range raw {
		raw[i] = byte(random.Uint32())
	}
	next := append(append([]byte(nil), raw[:2000]...), raw[2003:]...)
	delta := encodeDelta(raw, next)
	got, err := ApplyDelta(raw, delta)
	require.NoError(t, err)
	assert.Equal(t, next, got)
	other := append([]byte(nil), raw...)
	other[100]++
	for _, from := range [][]byte{other, raw[:3000], nil} {
		_, err = ApplyDelta(from, delta)
		assert.ErrorIs(t, err, ErrUnreadable)
	}
	_, err = ApplyDelta(raw, delta[:len(delta)-1])
	assert.ErrorIs(t, err, ErrUnreadable)
}

// BenchmarkDelta measures one step of one move among 4,096 ranges: the size and cost of the delta, and of the full
// snapshot for comparison.
func BenchmarkDelta(b *testing.B) {
	m := shardmap.New(nil)
	all := []shardmap.MemberWeight{}
	for i := range 300 {
		all = append(all, shardmap.MemberWeight{Member: cluster.MemberID(fmt.Sprint("m", i)), Weight: 1})
	}
	m.Ranges, _ = shardmap.EvenRanges(4096, all)
	for i := range m.Ranges {
		m.Ranges[i].Epoch = 1000
		m.Ranges[i].Status = shardmap.OwnerServing
	}
	m.Version = 70_000
	before, _ := m.Snapshot()
	m.Version++
	m.Ranges[1234].Move = shardmap.Move{ID: 70_001, From: m.Ranges[1234].Owner, To: "m17", Step: shardmap.StepPlanned}
	after, _ := m.Snapshot()
	var delta []byte
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			delta = encodeDelta(before, after)
		}
		b.ReportMetric(float64(len(delta)), "B")
		b.ReportMetric(float64(len(after)), "B-full")
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			_, _ = ApplyDelta(before, delta)
		}
	})
	b.Run("full", func(b *testing.B) {
		for b.Loop() {
			_, _ = m.Snapshot()
		}
	})
}
