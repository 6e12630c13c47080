package timerqueue

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestQueue_OrderedByTimeThenArrival compares the queue with a sorted list.
func TestQueue_OrderedByTimeThenArrival(t *testing.T) {
	type item struct{ at, no int64 }
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue[int64]
		var model []item
		for no := range int64(rapid.IntRange(0, 200).Draw(t, "steps")) {
			if at := rapid.Int64Range(0, 20).Draw(t, "at"); rapid.Bool().Draw(t, "add") {
				queue.Add(at, no)
				model = append(model, item{at, no})
				slices.SortStableFunc(model, func(a, b item) int { return int(a.at - b.at) })
			} else if got, ok := queue.PopDue(at); ok {
				assert.Equal(t, model[0].no, got)
				assert.LessOrEqual(t, model[0].at, at)
				model = model[1:]
			} else if len(model) > 0 {
				assert.Greater(t, model[0].at, at)
			}
			assert.Equal(t, len(model), queue.Len())
		}
	})
}

func TestQueue_DoesNotAllocate(t *testing.T) {
	var queue Queue[int64]
	for i := range int64(1000) {
		queue.Add(i*7%1000, i)
	}
	assert.Zero(t, testing.AllocsPerRun(1000, func() {
		n, _ := queue.PopDue(1 << 40)
		queue.Add(n+1000, n)
	}))
}
