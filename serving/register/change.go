package register

import (
	"slices"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
)

// change is the state of one call of Proposer.Change across its attempts. It does no I/O.
type change struct {
	id     ChangeID
	update Update

	attempts        int    // number of attempts before the present one
	proposed        bool   // an Accept round was begun for some proposal of the change
	highestRevision uint64 // highest revision of the proposals for which an Accept round was begun
}

// decision is the result of applying a change's update to the newest proposal.
type decision struct {
	proposal  Proposal // the proposal of the next Accept round if write is set
	write     bool
	fence     bool  // nothing to change, but the newest proposal has to be accepted again under the present ballot
	rejection error // the update's error
}

// resolve applies the change's update to the newest proposal. It returns the zero decision if the change has taken
// effect already or isn't needed.
func (c *change) resolve(newest *Proposal) decision {
	if newest.containsChange(c.id) {
		return decision{}
	}
	// The remembered changes may no longer reach back to the earlier attempts, so whether one has succeeded is unknown.
	if c.proposed && newest.Record.Revision >= c.highestRevision+maxRememberedChanges {
		return decision{rejection: errcode.RegisterInDoubt.With("too many later changes to know whether it took effect")}
	}
	record, err := c.update(newest.Record)
	switch {
	case errors.Is(err, ErrNoChange):
		return decision{}
	case errors.Is(err, ErrFence):
		return decision{fence: true}
	case err != nil:
		return decision{rejection: err}
	}
	changesVoters := !slices.Equal(record.Voters.Replicas, newest.Record.Voters.Replicas)
	return decision{proposal: newest.successor(record, c.id, changesVoters), write: true}
}

// recordProposal records that an Accept round is about to begin for a proposal of the change. From then on the change
// may take effect even if the attempt fails.
func (c *change) recordProposal(next *Proposal) {
	c.proposed = true
	c.highestRevision = max(c.highestRevision, next.Record.Revision)
}

// abandonmentError returns the error of a change whose context ended, given the error of its last attempt.
func (c *change) abandonmentError(last error) error {
	if c.proposed {
		return errcode.RegisterInDoubt.With("%v", last)
	}
	if errcode.RegisterNotReady.Is(last) {
		return last
	}
	return errcode.RegisterUnavailable.With("%v", last)
}
