// Package stream is the protocol between a site's sender and its relay: how deliveries are packed into frames, in
// which order and how many may be in flight, what is retransmitted after a lost connection, and which results the
// relay still has to report. It is a state machine without I/O, clock or random numbers; times are arguments.
//
// The caller of a Sender calls TakeBypassing after each Add, Complete, MarkUnreachable, DetachDestination and
// HandleOpened, and NextFrame when NextFrameAt says so. What NextFrame returns has to be recorded in the journal
// before its first byte is sent. docs/cluster.md, "Site streams", describes the protocol.
package stream
