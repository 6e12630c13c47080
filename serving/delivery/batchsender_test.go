package delivery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/gossip"
)

// TestSend_SharesCallsAndForgetsMembers checks that entries for one member share calls, that a stalled member doesn't
// delay the others, that each entry that is sent gets its result, and that members without calls leave no queue behind.
func TestSend_SharesCallsAndForgetsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := BatchOptions{MaxCalls: 2, CallTimeout: time.Second}
		calls := map[string]int{}
		sender := NewBatchSender(nil, options)
		sender.push = func(ctx context.Context, address string, entries []gossip.Entry) error {
			sender.mutex.Lock()
			calls[address]++
			sender.mutex.Unlock()
			assert.LessOrEqual(t, len(entries), maxBatchEntries)
			if address == "stalled" {
				<-ctx.Done()
				return ctx.Err()
			}
			time.Sleep(10 * time.Millisecond)
			return nil
		}
		const entries = 1000
		results := map[string]chan error{"works": make(chan error, entries), "stalled": make(chan error, entries)}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		for i := range entries {
			for address, result := range results {
				sender.Send(ctx, address, gossip.Entry{Key: fmt.Sprint(i)}, result)
			}
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Len(t, results["works"], entries)
		assert.LessOrEqual(t, calls["works"], 10)
		assert.NotEmpty(t, results["stalled"])
		for range len(results["stalled"]) {
			assert.ErrorIs(t, <-results["stalled"], context.DeadlineExceeded)
		}
		assert.Empty(t, sender.queues)
	})
}
