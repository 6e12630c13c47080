package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// FuzzEntry checks that the table stays consistent whatever another member gossips about an endpoint: no departed
// endpoint is listed as live, remaining times aren't negative, and encoding and decoding an endpoint doesn't change it.
func FuzzEntry(f *testing.F) {
	for _, update := range []state.Endpoint{
		{ID: "a", Service: "s", Address: "x:1", Slots: 4, Sequence: 3, WarmupLeftMillis: 500,
			Models: []state.Model{{Name: "m"}}},
		{ID: "b", State: state.EndpointDeparted, Sequence: deregisteredSequence},
		{ID: "c", Service: "s", Address: "x:1", State: 9, WarmupLeftMillis: 1 << 62, RemovalInMillis: -5, Slots: -1},
	} {
		value, err := Encode(update)
		require.NoError(f, err)
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		update, err := Decode(value)
		if err != nil {
			assert.False(t, IsTombstone(value))
			return
		}
		written, err := Encode(update)
		require.NoError(t, err)
		decoded, err := Decode(written)
		require.NoError(t, err)
		assert.Equal(t, update, decoded)
		s := newScript()
		s.table.ReceiveHeartbeat(s.now, "own", Heartbeat{Service: "s", Address: "x:1", Sequence: 1, Slots: 1})
		s.table.Merge(s.now, update)
		assert.False(t, s.table.Merge(s.now, update), "the same version again isn't newer")
		for range 4 {
			s.now = s.now.Add(time.Second)
			s.table.Sweep(s.now)
			for _, endpoint := range s.table.All(s.now) {
				assert.GreaterOrEqual(t, endpoint.WarmupLeftMillis, int64(0))
				assert.GreaterOrEqual(t, endpoint.RemovalInMillis, int64(0))
				_, err := Encode(endpoint)
				assert.NoError(t, err)
			}
			for _, endpoint := range s.table.Live(s.now) {
				assert.NotEqual(t, state.EndpointDeparted, endpoint.State)
			}
		}
	})
}
