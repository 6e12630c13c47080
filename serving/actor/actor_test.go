package actor

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCommandsRunOneAfterTheOther(t *testing.T) {
	count := 0
	table := Start(&count)
	defer table.Stop()
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() { table.Send(func(n *int) { *n++ }) })
	}
	all.Wait()
	got, ok := Call(table, func(n *int) int { return *n })
	assert.True(t, ok)
	assert.Equal(t, 50, got)
}

func TestNothingHangsAfterStop(t *testing.T) {
	table := Start(new(int))
	table.Stop()
	_, ok := Call(table, func(n *int) int { return *n })
	assert.False(t, ok)
}
