package process

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/settings"
)

func TestLimitMemory(t *testing.T) {
	previousPercent := debug.SetGCPercent(100)
	previousLimit := debug.SetMemoryLimit(-1)
	defer debug.SetGCPercent(previousPercent)
	defer debug.SetMemoryLimit(previousLimit)

	t.Setenv(gcPercentVariable, "")
	LimitMemory(settings.Limits{MemoryMB: 200})
	assert.EqualValues(t, 140*megabyte, debug.SetMemoryLimit(-1))
	assert.Equal(t, gcPercent, debug.SetGCPercent(77))

	t.Setenv(gcPercentVariable, "77")
	LimitMemory(settings.Limits{MemoryMB: 200})
	assert.Equal(t, 77, debug.SetGCPercent(100), "as set by the operator")
}
