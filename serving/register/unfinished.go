package register

// Unfinished tells whether this process's replica has accepted a record that the process doesn't know to be committed,
// and its revision. It is so for a moment during every change. Where it lasts, whoever made the change has gone before
// telling of it; a Read finds out what is in force and finishes what was left half-way.
//
// A change of the voters is unfinished until a proposal without the former set was seen to be committed: before that, a
// majority of the former set is still needed to find the new one, and voters that have been replaced may be gone.
func (n *Node) Unfinished() (revision uint64, unfinished bool) {
	own, loaded := n.acceptor.State()
	if !loaded {
		return 0, false
	}
	revision = own.Proposal.Record.Revision
	latest, _ := n.Latest()
	known, _ := n.proposer.known()
	pending := own.Proposal.setPending() && known.settled < own.Proposal.Record.Replicas.Epoch
	return revision, pending || revision > latest.Revision
}
