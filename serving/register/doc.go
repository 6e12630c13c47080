// Package register implements a replicated register: one record, stored at a majority of replicas without a log and
// without a leader.
//
// It is a CASPaxos register (D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018). A change takes two
// rounds (§2.2): Prepare collects promises from a majority of the voters, and with them the newest record that any of
// them has accepted; the update function is applied to that record; Accept has a majority accept the result. A record
// that a majority has accepted is committed, and every later change builds on it.
//
// # Reconfiguration
//
// The set of voters is part of the record. Its epoch increases by one with each change of the set; the genesis voters,
// one for each seed in the settings, have epoch 0. A proposal that changes the set from S to T is joint: it names S as
// the outgoing voters and has to be accepted by a majority of S and by a majority of T, as in joint consensus (D.
// Ongaro, "Consensus: Bridging Theory and Practice", 2014, §4.3). Until the proposal is known to be committed, every
// process that encounters it needs both majorities, afterwards that of T alone. So each proposal names a set that is
// certainly committed: the outgoing voters if it is joint, else its own. See jointconfig.go.
//
// # Structure
//
// Acceptor votes and stores what it has voted for; there is one in each process with a disk. Proposer makes changes and
// reads. Node combines both and keeps its replica up to date, as a voter or as a learner, which stores the committed
// record without voting. The decisions are free of I/O: acceptorstate.go (transitions of an acceptor), preparetally.go
// and accepttally.go (counting votes), learnedstate.go, update.go, genesis.go and voterplacement.go (which replicas
// vote).
package register
