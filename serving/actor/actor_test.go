package actor

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestActor_ExecutesCommandsSequentially(t *testing.T) {
	count := 0
	counter := Start(&count)
	t.Cleanup(counter.Stop)
	var senders sync.WaitGroup
	for range 50 {
		senders.Go(func() { counter.Send(func(n *int) { *n++ }) })
	}
	senders.Wait()
	got, ok := Call(counter, func(n *int) int { return *n })
	assert.True(t, ok)
	assert.Equal(t, 50, got)
}

func TestCall_ReturnsAfterStop(t *testing.T) {
	counter := Start(new(int))
	counter.Stop()
	_, ok := Call(counter, func(n *int) int { return *n })
	assert.False(t, ok)
}
