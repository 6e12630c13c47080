package engine

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/internal/timerqueue"
)

func TestTenMillionEventsWaitAndComeInOrder(t *testing.T) {
	const n = 10_000_000
	var queue timerqueue.Queue[event]
	chance := rand.New(rand.NewPCG(1, 1))
	for i := range int32(n) {
		queue.Add(chance.Int64N(n/4), event{a: i})
	}
	last, count := event{a: -1}, 0
	lastAt := int64(-1)
	for {
		at, ok := queue.Next()
		if !ok {
			break
		}
		e, _ := queue.PopDue(at)
		if at < lastAt || at == lastAt && e.a < last.a {
			t.Fatalf("event %d of %d comes after %d of %d", e.a, at, last.a, lastAt)
		}
		last, lastAt = e, at
		count++
	}
	assert.Equal(t, n, count)
}
