package harness_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/fake/platform"
	"rowanlink/webhook/api"
)

// Guards each point between a request's last byte and its told end: kills land on all of them where many
// webhooks are under way, some of them at destinations that are slow, fail or leave calls without an answer,
// and notices are heard now and then.
func TestCluster_HundredKillsUnderLoad(t *testing.T) {
	f := startStandalone(t)
	require.NoError(t, f.Platform.Destination(1).SetBehaviour(platform.Slow(20*time.Millisecond)))
	require.NoError(t, f.Platform.Destination(2).SetBehaviour(platform.Fails))
	require.NoError(t, f.Platform.Destination(3).SetBehaviour(platform.Hangs))
	ctx, cancel := context.WithCancel(context.Background())
	types := []string{"status", "paid", "charge"}
	wait := f.Platform.StartLoad(ctx, platform.Load{Members: f.Names(), PerSecond: 300, Clients: 24,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{Type: types[n%3], Destination: api.DestinationID(1 + n/3%4), Body: "a webhook's body",
				TTL: 3 * time.Second}
		}})
	for n := range 100 {
		f.Platform.RejectNotices(n%10 > 0 && n < 90)
		if n == 70 { // what was hung is delivered, what failed is not
			require.NoError(t, f.Platform.Destination(3).SetBehaviour(platform.Delivers))
		}
		m := f.Members[n%len(f.Members)]
		time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
		m.Kill()
		m.Start()
	}
	cancel()
	wait()
	f.AwaitOutcomes()
	f.Check()
	c := f.Platform.Checker.Counts()
	t.Logf("%+v", c)
	assert.Positive(t, c.Delivered)
}
