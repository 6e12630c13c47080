package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// TestAWatcherThatIsLateIsMorePatient: it suspects the silent member later by several times its own lateness, at most
// by a bound, and soon as fast as others once it is in time again.
func TestAWatcherThatIsLateIsMorePatient(t *testing.T) {
	for _, point := range []struct {
		name  string
		late  time.Duration
		ticks int // in time, since it was late
		added time.Duration
	}{
		{"in time", 0, 0, 0},
		{"as late as usual", lateLeast, 0, 0},
		{"late", 200 * time.Millisecond, 0, latePatience * 200 * time.Millisecond},
		{"stood still", time.Minute, 0, latePatienceMost},
		{"long ago", time.Minute, 60, 0},
	} {
		t.Run(point.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := New(now, Options{Self: state.Member{Name: "a", Incarnation: 1}})
			table.MergeMember(now, state.Member{Name: "b", Incarnation: 1})
			table.Tick(now)
			table.RecordDelay(point.late)
			for range point.ticks {
				table.RecordDelay(0)
			}
			suspectedAfter := time.Duration(0)
			for suspectedAfter < time.Minute {
				suspectedAfter += standstill / 4
				if words, _ := table.Tick(now.Add(suspectedAfter)); len(words) > 0 {
					break
				}
			}
			assert.InDelta(t, SuspicionTimeout+point.added, suspectedAfter, float64(standstill/4))
		})
	}
}

// TestAMemberWhoseHeartbeatsWereLateIsWaitedForLonger: one that is short of processor time isn't suspected each time.
func TestAMemberWhoseHeartbeatsWereLateIsWaitedForLonger(t *testing.T) {
	for _, point := range []struct {
		name    string
		late    time.Duration // of one heartbeat
		regular int           // heartbeats in time since then
		added   time.Duration
	}{
		{"in time", 0, 0, 0},
		{"late", 300 * time.Millisecond, 0, lateHeartbeats * 300 * time.Millisecond},
		{"bounded", time.Hour, 0, lateHeartbeats * lateHeartbeatMost},
		{"long ago", time.Hour, 60, 0},
	} {
		t.Run(point.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := New(now, Options{Self: state.Member{Name: "a", Incarnation: 1}})
			table.MergeMember(now, state.Member{Name: "b", Incarnation: 1})
			table.Tick(now)
			now = now.Add(HeartbeatInterval + point.late)
			table.ReceiveHeartbeat(now, Heartbeat{Name: "b", Incarnation: 1})
			for range point.regular {
				now = now.Add(HeartbeatInterval)
				table.ReceiveHeartbeat(now, Heartbeat{Name: "b", Incarnation: 1})
			}
			assert.InDelta(t, SuspicionTimeout+point.added, table.NextTimeout().Sub(now), float64(lateLeast))
		})
	}
}
