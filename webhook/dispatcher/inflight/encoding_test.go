package inflight

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

func TestStoredWebhookIsDecodedFromEitherForm(t *testing.T) {
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
	decoded, err := DecodeWebhook(9, w.Encode())
	require.NoError(t, err)
	assert.Equal(t, w, decoded)

	// As an earlier release wrote it, destination 1234 in two bytes.
	narrow, err := hex.DecodeString("02" + "03000000" + "0400000000000000" + "d204" + "4d00000000000000" +
		"0100" + "72" + "0300" + "746f6b" + "626f6479")
	require.NoError(t, err)
	w.Destination = 1234
	decoded, err = DecodeWebhook(9, narrow)
	require.NoError(t, err)
	assert.Equal(t, w, decoded)

	for n := range w.Encode()[:30] {
		_, err := DecodeWebhook(api.WebhookID(n), w.Encode()[:n])
		assert.Error(t, err, "truncated at %d", n)
	}
}
