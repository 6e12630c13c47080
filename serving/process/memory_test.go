package process

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/settings"
)

func TestCollectorFollowsLimitAndOperator(t *testing.T) {
	before := debug.SetGCPercent(100)
	limit := debug.SetMemoryLimit(-1)
	defer debug.SetGCPercent(before)
	defer debug.SetMemoryLimit(limit)

	t.Setenv(collectSetting, "")
	LimitMemory(settings.Limits{MemoryMB: 200})
	assert.EqualValues(t, 140*megabyte, debug.SetMemoryLimit(-1))
	assert.Equal(t, collectPercent, debug.SetGCPercent(77))

	t.Setenv(collectSetting, "77")
	LimitMemory(settings.Limits{MemoryMB: 200})
	assert.Equal(t, 77, debug.SetGCPercent(100), "as the operator has set it")
}
