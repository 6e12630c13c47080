// Package lease implements leases with fencing tokens on resources that only one member may act on at a time
// (Gray and Cheriton, Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency,
// 1989; Burrows, The Chubby lock service for loosely-coupled distributed systems, 2006, sections 2.4 and 2.8).
//
// Table is the replicated state, ExpiryTracker the leading raft node's timers of sessions, QuorumContact its
// proof that it still leads, Holder and Reconciler the member's side, and Fence the check at whatever a lease
// holder acts on. None of them reads a clock: times are arguments, and all times given to one object are from
// the same machine's clock. docs/cluster.md, "Leases", has the safety argument.
package lease
