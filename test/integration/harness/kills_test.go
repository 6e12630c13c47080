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

// Members are killed a hundred times while many webhooks are in flight, some of them at destinations that are slow, fail
// or never answer, and while notices are accepted only now and then: kills hit each point between a request's last byte
// and the report of its outcome.
func TestCluster_HundredKillsUnderLoad(t *testing.T) {
	c := startStandalone(t)
	require.NoError(t, c.Platform.Destination(1).SetBehaviour(platform.Slow(20*time.Millisecond)))
	require.NoError(t, c.Platform.Destination(2).SetBehaviour(platform.Fails))
	require.NoError(t, c.Platform.Destination(3).SetBehaviour(platform.Hangs))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	types := []string{"status", "paid", "charge"}
	wait := c.Platform.StartLoad(ctx, platform.Load{
		Members:   c.Names(),
		PerSecond: 300,
		Clients:   24,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{
				Type:        types[n%3],
				Destination: api.DestinationID(1 + n/3%4),
				Body:        "a webhook's body",
				TTL:         3 * time.Second,
			}
		},
	})
	for n := range 100 {
		c.Platform.RejectNotices(n%10 > 0 && n < 90)
		if n == 70 { // what hung is delivered now, what failed is not
			require.NoError(t, c.Platform.Destination(3).SetBehaviour(platform.Delivers))
		}
		m := c.Members[n%len(c.Members)]
		time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
		m.Kill()
		m.Start()
	}
	cancel()
	wait()
	c.AwaitOutcomes()
	c.Check()
	counts := c.Platform.Checker.Counts()
	t.Logf("%+v", counts)
	assert.Positive(t, counts.Delivered)
}
