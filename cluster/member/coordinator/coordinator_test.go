package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster/rebalance"
)

// A plan that was stopped does not resume by itself when another member becomes the coordinator, whose unchanged file
// was read before the stop.
func TestAdopt_ResumesStoppedPlanOnlyAfterReload(t *testing.T) {
	text := []byte("member \"a\" {}\n")
	c := &Coordinator{progress: &rebalance.Progress{Number: 3, Name: planName, Text: text, StopReason: "late"}}
	assert.Equal(t, uint64(3), c.StoppedPlan())
	assert.NotPanics(t, func() {
		assert.True(t, c.adopt(PlanRequest{Text: text, Fresh: true}, nil))
		assert.True(t, c.adopt(PlanRequest{Text: text, Fresh: true, Resumes: 2}, nil))
	})
	assert.Panics(t, func() { c.adopt(PlanRequest{Text: text, Fresh: true, Resumes: 3}, nil) }, "the steps are computed")
}
