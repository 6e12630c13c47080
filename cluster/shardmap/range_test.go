package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRange_SourceReleasesOnceNothingIsOutstanding(t *testing.T) {
	r := mapWithMove(StepHandoff).Ranges[0]
	assert.True(t, r.ShouldRelease("a", 0, 0))
	assert.False(t, r.ShouldRelease("a", 1, 0), "a call is in flight")
	assert.False(t, r.ShouldRelease("a", 0, 1), "a webhook is outstanding")
	assert.True(t, r.ShouldAcquire("b"))
	assert.False(t, r.ShouldAcquire("a") || r.ShouldRelease("b", 0, 0))
	r = mapWithMove(StepWarming).Ranges[0]
	assert.True(t, r.ShouldAcquire("a"))
	assert.False(t, r.ShouldAcquire("b") || r.ShouldRelease("a", 0, 0))
	assert.True(t, r.ShouldRelease("c", 0, 5), "not its owner: outstanding webhooks are forwarded all the same")
	assert.False(t, r.ShouldRelease("c", 1, 0))
}
