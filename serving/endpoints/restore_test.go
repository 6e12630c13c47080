package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

func TestRestore_KeepsNewerState(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Options{Self: "m", HeartbeatInterval: time.Second})
	saved := state.Endpoint{ID: "i", Service: "s", Address: "a:1", Zone: "z", Sequence: 7, Receiver: "m",
		WarmupLeftMillis: 2000}
	assert.True(t, table.Restore(now, saved))
	assert.False(t, table.Restore(now, saved), "it is known now")
	got, _ := table.Get(now.Add(time.Second), "i")
	assert.EqualValues(t, 1000, got.WarmupLeftMillis)

	draining := Heartbeat{Service: "s", Address: "a:1", Zone: "z", Sequence: 8, Draining: true}
	_, change := table.ReceiveHeartbeat(now.Add(time.Second), "i", draining)
	assert.Equal(t, Change{Broadcast: true}, change, "no other member is known to have stored that it drains")
	assert.False(t, table.Restore(now, saved))
	assert.False(t, table.Restore(now, state.Endpoint{ID: "gone", State: state.EndpointDeparted}))
}

func TestRestore_WithoutHeartbeatUnresponsiveThenDeparted(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Options{Self: "m", HeartbeatInterval: time.Second})
	table.Sweep(now)
	table.Restore(now, state.Endpoint{ID: "i", Service: "s", Address: "a:1", Sequence: 7, Receiver: "m"})
	for second := range 40 {
		now = now.Add(time.Second)
		table.Sweep(now)
		got, _ := table.Get(now, "i")
		switch {
		case second < 2:
			assert.False(t, got.Unresponsive)
		case second > 5 && second < 28:
			assert.True(t, got.Unresponsive)
		case second > 32:
			assert.Equal(t, state.EndpointDeparted, got.State)
		}
	}
}
