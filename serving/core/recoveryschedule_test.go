package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRecoverySchedule(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(span time.Duration) time.Time { return start.Add(span) }
	var s recoverySchedule
	assert.False(t, s.isDue(at(0), 4, false))
	assert.False(t, s.isDue(at(0), 5, true), "a change in progress")
	assert.False(t, s.isDue(at(recoveryDelay-1), 5, true))
	assert.False(t, s.isDue(at(recoveryDelay), 5, false), "the change's result was published")
	assert.False(t, s.isDue(at(time.Second), 6, true))
	assert.True(t, s.isDue(at(time.Second+recoveryDelay), 6, true))
	assert.False(t, s.isDue(at(time.Second+recoveryDelay+recoveryInterval-1), 6, true), "the disk or the majority is slow")
	assert.True(t, s.isDue(at(time.Second+recoveryDelay+recoveryInterval), 6, true))
	assert.False(t, s.isDue(at(5*time.Second), 7, true), "another change")
}
