package proxy

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"rowanlink/serving/attempt"
	"rowanlink/serving/retry"
	"rowanlink/serving/routing"
	"rowanlink/serving/settings"
)

// TestApplySettings_ChangedBounds: limits that change in the settings file apply from then on.
func TestApplySettings_ChangedBounds(t *testing.T) {
	log := zerolog.Nop()
	bounds := settings.Bounds{Grace: time.Second, RetryWindow: time.Second}
	p := newProxy(&settings.Process{NodeName: "n", Zone: "z", Region: "r", Bounds: bounds}, &log)
	route := &routing.Route{Kind: routing.KindIdempotent, MaxAttempts: 3}
	later := time.Now().Add(time.Minute)
	mayRetry := func() bool {
		return p.retry.Decide(later, retry.FailedAttempt{Route: route, Service: "s", Outcome: attempt.Rejected, CountedAttempts: 1, SentAttempts: 1,
			TimeLeft: time.Minute}).Retry
	}
	assert.False(t, mayRetry(), "the bounds allow no retry")
	bounds.Grace, bounds.RetrySlack = 2*time.Second, 100
	p.applySettings(&settings.Process{Bounds: bounds})
	assert.True(t, mayRetry())
	assert.EqualValues(t, 2*time.Second, p.drainGrace.Load())
}
