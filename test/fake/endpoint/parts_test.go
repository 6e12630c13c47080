package endpoint

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestCachedPartsCountOnlyAfterCachedParts(t *testing.T) {
	m := newMemory(1000)
	assert.Equal(t, 300, m.read("m", []part{{"a", 100}, {"b", 200}}))
	assert.Equal(t, 0, m.read("m", []part{{"a", 100}, {"b", 200}}))
	assert.Equal(t, 50, m.read("m", []part{{"a", 100}, {"b", 200}, {"c", 50}}))
	assert.Equal(t, 200, m.read("m", []part{{"b", 200}}), "b stood behind a")
	assert.Equal(t, 100, m.read("other", []part{{"a", 100}}), "another model")
}

func TestPartsUnusedLongestGiveWay(t *testing.T) {
	m := newMemory(300)
	m.read("m", []part{{"a", 100}})
	m.read("m", []part{{"b", 100}})
	m.read("m", []part{{"a", 100}})
	assert.True(t, m.take(150))
	assert.Equal(t, 0, m.read("m", []part{{"a", 100}}))
	assert.Equal(t, 100, m.read("m", []part{{"b", 100}}))
	assert.False(t, m.take(151))
	m.give(150)
	assert.True(t, m.take(300))
	assert.Equal(t, 300, m.usedNow())
}

func TestPromptsAreReadAsTheyCome(t *testing.T) {
	assert.Equal(t, []part{{"5c1e", 800}, {"91bd", 410}}, readPrompt("5c1e:800, 91bd:410,x,:4,y:-1"))
	in, out := readTokens("1460,80")
	assert.Equal(t, [2]int{1460, 80}, [2]int{in, out})
	in, out = readTokens("what")
	assert.Equal(t, [2]int{}, [2]int{in, out})
}

// entered joins the queue and tells on a channel whether it was let in.
func entered(ctx context.Context, s *slots, priority, tokens int) <-chan bool {
	result := make(chan bool, 1)
	go func() { result <- s.enter(ctx, priority, tokens) }()
	return result
}

func TestUrgentRequestsEnterFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slots{places: 1, queue: 2}
		assert.True(t, s.enter(t.Context(), 5, 0))
		late := entered(t.Context(), s, 7, 0)
		synctest.Wait()
		urgent := entered(t.Context(), s, 1, 0)
		synctest.Wait()
		assert.False(t, s.enter(t.Context(), 0, 0), "the queue is full")
		s.leave(0)
		assert.True(t, <-urgent)
		assert.Empty(t, late)
		s.leave(0)
		assert.True(t, <-late)
	})
}

func TestWhoeverStopsWaitingGivesUpItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slots{places: 2, queue: 2, memory: newMemory(100)}
		assert.False(t, s.enter(t.Context(), 5, 101), "larger than the memory")
		assert.True(t, s.enter(t.Context(), 5, 60))
		limited, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		large := entered(limited, s, 5, 60)
		synctest.Wait()
		small := entered(t.Context(), s, 5, 10)
		synctest.Wait()
		assert.Empty(t, small, "it waits behind the large one")
		assert.False(t, <-large)
		assert.True(t, <-small)
		running, waiting := s.counts()
		assert.Equal(t, [2]int{2, 0}, [2]int{running, waiting})
	})
}

func TestColdEndpointFallsOverWellAboveItsRate(t *testing.T) {
	start := time.Unix(1000, 0)
	c := newCold(start, Cold{Span: 3 * time.Second, Rate: 5})
	for i := range fallsAt*5 + fallSlack {
		assert.True(t, c.arrive(start.Add(time.Duration(i)*time.Millisecond)))
	}
	assert.InDelta(t, coldSlowness, c.slowness(start), 0)
	fell := start.Add(100 * time.Millisecond)
	assert.False(t, c.arrive(fell))
	assert.Equal(t, 3*time.Second, c.left(fell), "cold anew")
	warm := fell.Add(3 * time.Second)
	assert.True(t, c.arrive(warm))
	assert.InDelta(t, 1, c.slowness(warm), 0)
}
