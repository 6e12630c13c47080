package eventloop

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

func TestWebhookThatCannotBeWrittenIsRejectedAndNotSent(t *testing.T) {
	const ttl = 9 * api.Second
	dir := t.TempDir()
	loop := startTestLoop(t, dir, api.EventType{LatencyTarget: api.Second, TTL: ttl}, nil)
	require.NoError(t, loop.log.Close()) // the next write fails
	assert.Equal(t, inflight.Rejected, loop.submit(newWebhook("a1", ttl)))
	assert.Zero(t, loop.inbox.Calls.Load(), "no call is made for what would not survive the process")
	assert.Empty(t, loop.webhooks)
	assert.Equal(t, inflight.Accepted, loop.submit(newWebhook("a2", ttl)), "the next write starts a new file")
	assert.EqualValues(t, 1, loop.inbox.Calls.Load())
	reopened, err := wal.Open(dir, 1)
	require.NoError(t, err)
	require.Len(t, reopened.Entries(), 1)
	assert.Equal(t, api.WebhookID(2), reopened.Entries()[0].ID)
}
