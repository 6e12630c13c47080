package register

import "rowanlink/serving/state"

// maxRememberedChanges is the number of changes that a proposal lists, the latest ones. A proposer whose Accept round
// failed looks for its change among them, to find out whether another proposer has committed it.
const maxRememberedChanges = 32

// ChangeID identifies one call of Proposer.Change.
type ChangeID struct {
	Proposer string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Proposal is the value that acceptors accept under a ballot.
type Proposal struct {
	Record state.Record `cbor:"1,keyasint"`
	// OutgoingVoters is the set that Record.Voters replaces, as long as that change isn't known to be committed;
	// otherwise it is empty.
	OutgoingVoters state.ReplicaSet `cbor:"2,keyasint,omitzero"`
	Changes        []ChangeID       `cbor:"3,keyasint,omitempty"` // one for each of the latest revisions, the newest last
}

// AcceptedProposal is a proposal and the ballot under which a replica has accepted it. The zero ballot means that
// nothing was accepted.
type AcceptedProposal struct {
	Ballot   Ballot
	Proposal Proposal
}

// CommittedVoters returns the newest set of voters that the proposal proves to be committed.
func (p *Proposal) CommittedVoters() state.ReplicaSet {
	if p.isJoint() {
		return p.OutgoingVoters
	}
	return p.Record.Voters
}

// isJoint reports whether the proposal changes the voters and isn't known to be committed.
func (p *Proposal) isJoint() bool { return len(p.OutgoingVoters.Replicas) > 0 }

// containsChange reports whether a change is among the latest ones that the proposal includes.
func (p *Proposal) containsChange(id ChangeID) bool {
	for _, change := range p.Changes {
		if change == id {
			return true
		}
	}
	return false
}

// successor returns the proposal of a change that replaces p's record. A changed set of voters gets the next epoch, and
// the proposal is joint. The voters of p must be committed: changes of the voters don't overlap.
func (p *Proposal) successor(record state.Record, id ChangeID, changesVoters bool) Proposal {
	record.Revision = p.Record.Revision + 1
	next := Proposal{Record: record}
	if changesVoters {
		next.Record.Voters.Epoch = p.Record.Voters.Epoch + 1
		next.OutgoingVoters = p.Record.Voters
	}
	remembered := p.Changes
	if len(remembered) >= maxRememberedChanges {
		remembered = remembered[len(remembered)-maxRememberedChanges+1:]
	}
	next.Changes = make([]ChangeID, 0, len(remembered)+1)
	next.Changes = append(next.Changes, remembered...)
	next.Changes = append(next.Changes, id)
	return next
}

// leaveJoint returns a copy of the proposal. If the proposal's own voters are known to be committed, the copy has no
// outgoing voters, so it isn't joint any more.
func (p *Proposal) leaveJoint(committed state.ReplicaSet) Proposal {
	next := *p
	if p.Record.Voters.Epoch <= committed.Epoch {
		next.OutgoingVoters = state.ReplicaSet{}
	}
	return next
}
