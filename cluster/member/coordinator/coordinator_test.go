package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster/rebalance"
)

// Guards against a plan that was stopped for its harm and starts again by itself, once another member coordinates that
// had read the same file before.
func TestAdopt_ResumesStoppedPlanOnlyAfterReload(t *testing.T) {
	text := []byte("member \"a\" {}\n")
	c := &Coordinator{progress: &rebalance.Progress{Number: 3, Name: planName, Text: text, StopReason: "late"}}
	assert.Equal(t, uint64(3), c.StoppedPlan())
	assert.NotPanics(t, func() {
		assert.True(t, c.adopt(PlanRequest{Text: text, Fresh: true}, nil))
		assert.True(t, c.adopt(PlanRequest{Text: text, Fresh: true, Resumes: 2}, nil))
	})
	assert.Panics(t, func() { c.adopt(PlanRequest{Text: text, Fresh: true, Resumes: 3}, nil) }, "it is made anew")
}
