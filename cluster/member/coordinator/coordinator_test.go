package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster/rebalance"
)

// Guards against a stopped plan that resumes by itself when another member becomes the coordinator: that member has
// read the unchanged file before the stop. The assertion of a panic shows that adopt goes on to compute the steps, for
// which this test has no shard map.
func TestAdopt_ResumesStoppedPlanOnlyAfterReload(t *testing.T) {
	text := []byte("member \"a\" {}\n")
	c := &Coordinator{progress: &rebalance.Progress{Number: 3, Name: planName, Text: text, StopReason: "late"}}
	assert.Equal(t, uint64(3), c.StoppedPlan())
	assert.NotPanics(t, func() {
		assert.True(t, c.adopt(PlanRequest{Text: text, Reloaded: true}, nil))
		assert.True(t, c.adopt(PlanRequest{Text: text, Reloaded: true, ResumesPlan: 2}, nil))
	})
	assert.Panics(t, func() { c.adopt(PlanRequest{Text: text, Reloaded: true, ResumesPlan: 3}, nil) }, "it computes the steps")
}
