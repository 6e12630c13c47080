// Package register keeps one replicated record at a majority of replicas, with neither a log nor a leader.
//
// It is a CASPaxos register (D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018). A change takes
// two rounds: Prepare gathers a majority's promises and the newest record that any of them has accepted; the update
// is applied to that record; Accept puts the result to a majority. A record accepted by a majority is committed: every
// later change builds on it.
//
// The set of replicas is part of the record. A record that changes the set from S to T names S as its former set and
// must be accepted by a majority of S and by a majority of T. Until it is known to be committed, everyone who meets it
// needs both majorities; after that, T's alone. Every proposal therefore tells a set that is surely established: its
// own where it names no former set, else the former one. See electorate.go.
//
// Acceptor (one per process with a disk) votes, Proposer runs changes and reads, Node joins both with the membership
// of the register. Decisions are free of I/O: step.go, tally.go, knowledge.go, updates.go,
// genesis.go, seats.go.
package register
