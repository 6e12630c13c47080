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
		Event:       2,
		Tenant:      3,
		Key:         4,
		Destination: 100_000,
		TTL:         77,
		RequestID:   "r",
		Token:       "tok",
		Body:        []byte("body"),
	}
	again, err := FromBytes(9, w.Bytes())
	require.NoError(t, err)
	assert.Equal(t, w, again)

	// As an earlier release wrote it, destination 1234 in two bytes.
	old, err := hex.DecodeString("02" + "03000000" + "0400000000000000" + "d204" + "4d00000000000000" +
		"0100" + "72" + "0300" + "746f6b" + "626f6479")
	require.NoError(t, err)
	w.Destination = 1234
	again, err = FromBytes(9, old)
	require.NoError(t, err)
	assert.Equal(t, w, again)

	for n := range w.Bytes()[:30] {
		_, err := FromBytes(api.WebhookID(n), w.Bytes()[:n])
		assert.Error(t, err, "cut at %d", n)
	}
}
