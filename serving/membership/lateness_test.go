package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// TestSuspicionTimeout_ExtendsWithLocalLateness checks that a watcher that runs late extends its suspicion timeout by a
// multiple of its lateness, up to a bound, and that the extension ends soon after it runs on time again.
func TestSuspicionTimeout_ExtendsWithLocalLateness(t *testing.T) {
	for _, test := range []struct {
		name  string
		late  time.Duration
		ticks int // on time, after the delay
		added time.Duration
	}{
		{"in time", 0, 0, 0},
		{"as late as usual", latenessThreshold, 0, 0},
		{"late", 200 * time.Millisecond, 0, localLatenessFactor * 200 * time.Millisecond},
		{"paused", time.Minute, 0, maxTimeoutExtension},
		{"long ago", time.Minute, 60, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := New(now, Options{Self: state.Member{Name: "a", Incarnation: 1}})
			table.MergeMember(now, state.Member{Name: "b", Incarnation: 1})
			table.Tick(now)
			table.RecordDelay(test.late)
			for range test.ticks {
				table.RecordDelay(0)
			}
			suspectedAfter := time.Duration(0)
			for suspectedAfter < time.Minute {
				suspectedAfter += maxTickPause / 4
				if suspicions, _ := table.Tick(now.Add(suspectedAfter)); len(suspicions) > 0 {
					break
				}
			}
			assert.InDelta(t, SuspicionTimeout+test.added, suspectedAfter, float64(maxTickPause/4))
		})
	}
}

// TestSuspicionTimeout_ExtendsWithHeartbeatLateness guards against a member that is short of processor time being
// suspected at each late heartbeat.
func TestSuspicionTimeout_ExtendsWithHeartbeatLateness(t *testing.T) {
	for _, test := range []struct {
		name   string
		late   time.Duration // of one heartbeat
		inTime int           // heartbeats on time since then
		added  time.Duration
	}{
		{"in time", 0, 0, 0},
		{"late", 300 * time.Millisecond, 0, heartbeatLatenessFactor * 300 * time.Millisecond},
		{"bounded", time.Hour, 0, heartbeatLatenessFactor * maxHeartbeatLateness},
		{"long ago", time.Hour, 60, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := New(now, Options{Self: state.Member{Name: "a", Incarnation: 1}})
			table.MergeMember(now, state.Member{Name: "b", Incarnation: 1})
			table.Tick(now)
			now = now.Add(HeartbeatInterval + test.late)
			table.ReceiveHeartbeat(now, Heartbeat{Name: "b", Incarnation: 1})
			for range test.inTime {
				now = now.Add(HeartbeatInterval)
				table.ReceiveHeartbeat(now, Heartbeat{Name: "b", Incarnation: 1})
			}
			assert.InDelta(t, SuspicionTimeout+test.added, table.NextTimeout().Sub(now), float64(latenessThreshold))
		})
	}
}
