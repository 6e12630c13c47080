package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/state"
)

// TestCheckSuccessor_RegistersWhatTheEndpointConfirms guards against a departed endpoint that is registered again by a
// delayed heartbeat, though no process accepts requests under its ID.
func TestCheckSuccessor_RegistersWhatTheEndpointConfirms(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeGossip{}
			x := startExchange(t, f)
			x.confirm = func(_ context.Context, endpoint state.Endpoint) (state.Endpoint, error) {
				assert.Equal(t, state.Endpoint{ID: "e", Service: "s", Address: "a:1"}, endpoint)
				endpoint.WarmupLeftMillis = 1500
				if !confirmed {
					return endpoint, errors.New("503")
				}
				return endpoint, nil
			}
			heartbeat := endpoints.Heartbeat{Service: "s", Address: "a:1", Sequence: 7}
			x.table.ReceiveHeartbeat("e", heartbeat)
			x.table.Deregister("e")
			time.Sleep(time.Hour)
			x.table.Deregister("e")
			heartbeat.Sequence = 3
			_, change, _ := x.table.ReceiveHeartbeat("e", heartbeat)
			assert.True(t, change.CheckSuccessor)
			x.CheckSuccessor("e", heartbeat)
			synctest.Wait()
			if !confirmed {
				assert.Empty(t, x.table.Live())
				assert.Empty(t, f.entries())
				return
			}
			live := x.table.Live()
			assert.Len(t, live, 1)
			assert.EqualValues(t, 1500, live[0].WarmupLeftMillis)
			assert.Len(t, f.entries(), 1, "it is gossiped")
		})
	}
}
