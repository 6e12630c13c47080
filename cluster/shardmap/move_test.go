package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/cluster"
)

// mapWithMove returns a map whose only range moves from a to b, by the move with the id 3.
func mapWithMove(step MoveStep) *Map {
	owner := cluster.MemberID("a")
	if step == StepSwitched {
		owner = "b"
	}
	m := New(nil)
	m.Version = 9
	m.Ranges = []Range{{
		ID:     1,
		To:     maxKeyHash,
		Owner:  owner,
		Epoch:  4,
		Status: OwnerServing,
		Move:   Move{ID: 3, From: "a", To: "b", Step: step},
	}}
	return m
}

func TestMap_AdmitTransferDuringHandoffOnly(t *testing.T) {
	for _, s := range []struct {
		step      MoveStep
		admission Admission
		owner     MoveOwner
	}{
		{StepPlanned, AdmissionMapStale, OwnerUndecided},
		{StepWarming, AdmissionMapStale, OwnerUndecided},
		{StepHandoff, AdmissionAccepted, OwnerUndecided},
		{StepSwitched, AdmissionAccepted, OwnerIsTarget},
		{StepNone, AdmissionRedirected, OwnerIsSource},
	} {
		m := mapWithMove(s.step)
		assert.Equal(t, s.admission, m.AdmitTransfer(3, "b"), "step %d", s.step)
		assert.Equal(t, s.owner, m.OwnerByMove(3), "step %d", s.step)
		if s.admission == AdmissionAccepted {
			assert.Equal(t, AdmissionRedirected, m.AdmitTransfer(3, "c"), "another is not the target")
		}
		assert.Equal(t, AdmissionMapStale, m.AdmitTransfer(10, "b"), "of a move planned later nothing is known")
		assert.Equal(t, OwnerUndecided, m.OwnerByMove(10))
	}
}
