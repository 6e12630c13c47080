package e2e_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAcceptedWebhooksAreDeliveredAfterAKill(t *testing.T) {
	env := startEnvironment(t, "token")
	env.handleCalls(holdFirstCall)
	const webhooks = 3
	for i := range webhooks {
		assert.Equal(t, 202, env.submit(fmt.Sprint("a", i), "x"))
	}
	env.eventually("a call is in flight", env.receivedCalls(1))
	env.kill()
	env.start()
	delivered := map[string]bool{}
	env.eventually("all are delivered", func() bool {
		for _, call := range env.recordedCalls()[1:] {
			for i := range webhooks {
				id := fmt.Sprint("a", i)
				if call.id == id || strings.Contains(call.body, id+" ka") {
					delivered[id] = true
				}
			}
		}
		return len(delivered) == webhooks
	})
}

func TestAtMostOnceWebhookIsNotRetriedAfterAKill(t *testing.T) {
	env := startEnvironment(t, "side_effect")
	env.handleCalls(holdCall)
	env.submit("a1", "x")
	env.eventually("the call is in flight", env.receivedCalls(1))
	env.kill()
	env.start()
	env.eventually("its outcome is reported", env.receivedCallbacks(1))
	assert.JSONEq(t, `{"message":"a1","outcome":"given_up"}`, env.recordedCallbacks()[0])
	assert.Len(t, env.recordedCalls(), 1)
}

func TestCallbacksAreRepeatedUntilAcknowledgedAlsoAfterARestart(t *testing.T) {
	env := startEnvironment(t, "side_effect")
	env.update(func() { env.rejectCallbacks = true })
	env.handleCalls(failCall)
	env.submit("a1", "x")
	env.eventually("called", env.receivedCalls(1))
	time.Sleep(100 * time.Millisecond)
	env.kill()
	env.update(func() { env.rejectCallbacks = false })
	env.start()
	env.eventually("reported", env.receivedCallbacks(1))
	time.Sleep(100 * time.Millisecond)
	env.kill()
	env.start()
	time.Sleep(200 * time.Millisecond)
	assert.Len(t, env.recordedCallbacks(), 1, "an acknowledged callback is not sent again")
}

func TestUnreadableCallbackDoesNotHoldBackOthers(t *testing.T) {
	env := startEnvironment(t, "side_effect")
	env.update(func() { env.rejectCallbacks, env.unreadableCallback = true, "a1" })
	env.handleCalls(failCall)
	for i := range 3 {
		env.submit(fmt.Sprint("a", i), "x")
	}
	env.eventually("called", env.receivedCalls(2))
	env.update(func() { env.rejectCallbacks = false })
	env.eventually("the others are reported", env.receivedCallbacks(2))
	assert.NotContains(t, fmt.Sprint(env.recordedCallbacks()), "a1")
}

// storedBytes returns the total size of the write-ahead log's files.
func (env *environment) storedBytes() int64 {
	env.t.Helper()
	files, err := filepath.Glob(filepath.Join(env.dir, "webhooks.*"))
	require.NoError(env.t, err)
	total := int64(0)
	for _, file := range files {
		info, err := os.Stat(file)
		require.NoError(env.t, err)
		total += info.Size()
	}
	return total
}

func TestFullDiskRejectsAndItsLimitIsNeverExceeded(t *testing.T) {
	env := startEnvironment(t, "token")
	env.kill()
	env.configure("token", 0.5)
	env.start()
	env.handleCalls(holdCall)
	statuses := map[int]int{}
	for i := range 12 {
		statuses[env.submit(fmt.Sprint("a", i), strings.Repeat("x", 64<<10))]++
	}
	assert.Equal(t, 12, statuses[202]+statuses[503])
	assert.Positive(t, statuses[202])
	assert.Positive(t, statuses[503])
	assert.Less(t, env.storedBytes(), int64(500_000))
}

func TestSecondProcessOnTheSameStateHasNoEffect(t *testing.T) {
	env := startEnvironment(t, "token")
	env.handleCalls(holdFirstCall)
	assert.Error(t, env.command().Run())
	assert.Equal(t, 202, env.submit("a1", "x"))
	env.eventually("the call is in flight", env.receivedCalls(1))
	env.kill()
	env.start()
	env.eventually("called again", env.receivedCalls(2))
}
