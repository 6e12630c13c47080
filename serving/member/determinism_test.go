package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSimulation_IsDeterministic runs the same faults several times with the same seed and expects the same messages.
// Otherwise a failing sequence of faults could be neither reproduced nor shrunk.
func TestSimulation_IsDeterministic(t *testing.T) {
	type outcome struct{ messages, calls int }
	run := func() (outcomes []outcome) {
		r := newFaultRun(t, 5, 13)
		r.jitter = 200 * time.Millisecond
		for i := range 6 {
			r.powerOffNode(2 * i)
			r.blockBoth(path{"c", "b"})
			r.run(700 * time.Millisecond)
			r.restart(r.nodes[2*i])
			r.putNewest()
			outcomes = append(outcomes, outcome{messages: r.messageNumber, calls: r.calls})
		}
		return outcomes
	}
	first := run()
	for range 4 {
		assert.Equal(t, first, run())
	}
}
