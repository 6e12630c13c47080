package endpoint

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestKVCache_BlockIsCachedOnlyAfterCachedBlocks(t *testing.T) {
	m := newKVCache(1000)
	assert.Equal(t, 300, m.prefill("m", []promptBlock{{"a", 100}, {"b", 200}}))
	assert.Equal(t, 0, m.prefill("m", []promptBlock{{"a", 100}, {"b", 200}}))
	assert.Equal(t, 50, m.prefill("m", []promptBlock{{"a", 100}, {"b", 200}, {"c", 50}}))
	assert.Equal(t, 200, m.prefill("m", []promptBlock{{"b", 200}}), "b stood behind a")
	assert.Equal(t, 100, m.prefill("other", []promptBlock{{"a", 100}}), "another model")
}

func TestKVCache_EvictsLeastRecentlyUsed(t *testing.T) {
	m := newKVCache(300)
	m.prefill("m", []promptBlock{{"a", 100}})
	m.prefill("m", []promptBlock{{"b", 100}})
	m.prefill("m", []promptBlock{{"a", 100}})
	assert.True(t, m.reserve(150))
	assert.Equal(t, 0, m.prefill("m", []promptBlock{{"a", 100}}))
	assert.Equal(t, 100, m.prefill("m", []promptBlock{{"b", 100}}))
	assert.False(t, m.reserve(151))
	m.release(150)
	assert.True(t, m.reserve(300))
	assert.Equal(t, 300, m.reservedTokens())
}

func TestParsePrompt(t *testing.T) {
	assert.Equal(t, []promptBlock{{"5c1e", 800}, {"91bd", 410}}, parsePrompt("5c1e:800, 91bd:410,x,:4,y:-1"))
	in, out := parseTokenCounts("1460,80")
	assert.Equal(t, [2]int{1460, 80}, [2]int{in, out})
	in, out = parseTokenCounts("what")
	assert.Equal(t, [2]int{}, [2]int{in, out})
}

// acquireAsync acquires a slot and sends on a channel whether it succeeded.
func acquireAsync(ctx context.Context, s *slots, priority, tokens int) <-chan bool {
	result := make(chan bool, 1)
	go func() { result <- s.acquire(ctx, priority, tokens) }()
	return result
}

func TestSlots_HigherPriorityFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slots{capacity: 1, queueLimit: 2}
		assert.True(t, s.acquire(t.Context(), 5, 0))
		late := acquireAsync(t.Context(), s, 7, 0)
		synctest.Wait()
		urgent := acquireAsync(t.Context(), s, 1, 0)
		synctest.Wait()
		assert.False(t, s.acquire(t.Context(), 0, 0), "the queue is full")
		s.release(0)
		assert.True(t, <-urgent)
		assert.Empty(t, late)
		s.release(0)
		assert.True(t, <-late)
	})
}

func TestSlots_CanceledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slots{capacity: 2, queueLimit: 2, kvCache: newKVCache(100)}
		assert.False(t, s.acquire(t.Context(), 5, 101), "larger than the memory")
		assert.True(t, s.acquire(t.Context(), 5, 60))
		limited, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		large := acquireAsync(limited, s, 5, 60)
		synctest.Wait()
		small := acquireAsync(t.Context(), s, 5, 10)
		synctest.Wait()
		assert.Empty(t, small, "it waits behind the large one")
		assert.False(t, <-large)
		assert.True(t, <-small)
		running, waiting := s.counts()
		assert.Equal(t, [2]int{2, 0}, [2]int{running, waiting})
	})
}

func TestWarmup_OverloadRestartsWarmup(t *testing.T) {
	start := time.Unix(1000, 0)
	c := newWarmupState(start, Warmup{Span: 3 * time.Second, MaxRate: 5})
	for i := range overloadFactor*5 + overloadSlack {
		assert.True(t, c.admitArrival(start.Add(time.Duration(i)*time.Millisecond)))
	}
	assert.InDelta(t, warmupSlowdown, c.slowdown(start), 0)
	fell := start.Add(100 * time.Millisecond)
	assert.False(t, c.admitArrival(fell))
	assert.Equal(t, 3*time.Second, c.remaining(fell), "the warm-up restarts")
	warm := fell.Add(3 * time.Second)
	assert.True(t, c.admitArrival(warm))
	assert.InDelta(t, 1, c.slowdown(warm), 0)
}
