package inflight

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

func TestAWebhookKeptInEitherFormComesBackWhole(t *testing.T) {
	w := &Webhook{
		ID:          9,
		EventType:   2,
		Tenant:      3,
		OrderingKey: 4,
		Destination: 100_000,
		Deadline:    77,
		RequestID:   "r",
		Token:       "tok",
		Body:        []byte("body"),
	}
	again, err := DecodeWebhook(9, w.Encode())
	require.NoError(t, err)
	assert.Equal(t, w, again)

	// As an earlier release wrote it, destination 1234 in two bytes.
	old, err := hex.DecodeString("02" + "03000000" + "0400000000000000" + "d204" + "4d00000000000000" +
		"0100" + "72" + "0300" + "746f6b" + "626f6479")
	require.NoError(t, err)
	w.Destination = 1234
	again, err = DecodeWebhook(9, old)
	require.NoError(t, err)
	assert.Equal(t, w, again)

	for n := range w.Encode()[:30] {
		_, err := DecodeWebhook(api.WebhookID(n), w.Encode()[:n])
		assert.Error(t, err, "cut at %d", n)
	}
}
