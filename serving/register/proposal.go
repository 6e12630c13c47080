package register

import "rowanlink/serving/state"

// maxRememberedChanges is how many of the newest changes a proposal names, so that whoever made one can tell later that
// it took effect.
const maxRememberedChanges = 32

// ChangeID identifies one call of Proposer.Change.
type ChangeID struct {
	Proposer string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Proposal is what is put to the vote under a ballot.
type Proposal struct {
	Record state.Record `cbor:"1,keyasint"`
	// OutgoingVoters is the set of replicas before Record.Replicas while it is not yet known that the change of the set is
	// committed; empty otherwise.
	OutgoingVoters state.ReplicaSet `cbor:"2,keyasint,omitzero"`
	Changes        []ChangeID       `cbor:"3,keyasint,omitempty"` // the newest last, one for each of the last revisions
}

// CommittedVoters returns a set of replicas that is certainly committed, judging by the proposal alone.
func (p *Proposal) CommittedVoters() state.ReplicaSet {
	if p.isJoint() {
		return p.OutgoingVoters
	}
	return p.Record.Voters
}

// isJoint tells whether the proposal changes the set of replicas and it isn't known to be committed.
func (p *Proposal) isJoint() bool { return len(p.OutgoingVoters.Replicas) > 0 }

// containsChange tells whether the proposal holds the effect of a change that was made lately.
func (p *Proposal) containsChange(id ChangeID) bool {
	for _, change := range p.Changes {
		if change == id {
			return true
		}
	}
	return false
}

// successor returns the proposal that the change makes of p by giving it another record. A changed set of replicas
// gets the next epoch. p's own set must be established.
func (p *Proposal) successor(record state.Record, id ChangeID, setChanged bool) Proposal {
	record.Revision = p.Record.Revision + 1
	next := Proposal{Record: record}
	if setChanged {
		next.Record.Voters.Epoch = p.Record.Voters.Epoch + 1
		next.OutgoingVoters = p.Record.Voters
	}
	kept := p.Changes
	if len(kept) >= maxRememberedChanges {
		kept = kept[len(kept)-maxRememberedChanges+1:]
	}
	next.Changes = append(append(make([]ChangeID, 0, len(kept)+1), kept...), id)
	return next
}

// leaveJoint returns the proposal without the former set where its own set is known to be established.
func (p *Proposal) leaveJoint(established state.ReplicaSet) Proposal {
	settled := *p
	if p.Record.Voters.Epoch <= established.Epoch {
		settled.OutgoingVoters = state.ReplicaSet{}
	}
	return settled
}

// AcceptedProposal is a proposal and the ballot under which it was accepted. The zero ballot stands for "nothing accepted".
type AcceptedProposal struct {
	Ballot   Ballot
	Proposal Proposal
}
