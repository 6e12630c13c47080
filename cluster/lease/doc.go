// Package lease implements leases with fencing tokens on resources that only one member may act on at a time (Gray
// and Cheriton, Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency, 1989; Burrows,
// The Chubby lock service for loosely-coupled distributed systems, 2006, sections 2.4 and 2.8).
//
// Table is the replicated state. ExpiryTracker holds the session timers of the leading raft node, and QuorumContact
// is that node's evidence that it still leads. Holder and Reconciler are the member's side. Fence checks the fencing
// token in each process that lease holders act on. None of them reads a clock: times are arguments, and all times
// given to one object are from the same machine's clock. docs/cluster.md, "Leases", has the safety argument.
package lease
