package engine

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/internal/timerqueue"
)

func TestQueue_OrdersTenMillionEvents(t *testing.T) {
	const n = 10_000_000
	var queue timerqueue.Queue[scheduledEvent]
	chance := rand.New(rand.NewPCG(1, 1))
	for i := range int32(n) {
		queue.Add(chance.Int64N(n/4), scheduledEvent{subject: i})
	}
	last, count := scheduledEvent{subject: -1}, 0
	lastAt := int64(-1)
	for {
		at, ok := queue.Next()
		if !ok {
			break
		}
		e, _ := queue.PopDue(at)
		if at < lastAt || at == lastAt && e.subject < last.subject {
			t.Fatalf("event %d of %d comes after %d of %d", e.subject, at, last.subject, lastAt)
		}
		last, lastAt = e, at
		count++
	}
	assert.Equal(t, n, count)
}
