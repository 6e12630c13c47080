package register

// UncommittedRevision tells whether this process's replica has accepted a record that the process doesn't know to be committed,
// and its revision. It is so for a moment during every change. Where it lasts, whoever made the change has gone before
// telling of it; a Read finds out what is in force and finishes what was left half-way. A change of the voters is told
// only once it is settled, see Proposer.commit, and so is unfinished until then.
func (n *Node) UncommittedRevision() (revision uint64, unfinished bool) {
	own, loaded := n.acceptor.State()
	if !loaded {
		return 0, false
	}
	revision = own.Proposal.Record.Revision
	latest, _ := n.Latest()
	return revision, revision > latest.Revision
}
