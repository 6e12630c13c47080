// Package stream implements the protocol between the member that sends to a site and the member that is the site's
// relay: how deliveries are packed into frames, in which order they are sent and how many may be in flight, what is
// retransmitted after a lost connection, and which results the relay still has to report. Sender and Receiver are
// state machines without I/O, clocks or random numbers: times are arguments.
//
// The caller of a Sender must call TakeBypassing after each Add, Complete, MarkUnreachable, DetachDestination and
// HandleOpened, and NextFrame at the time that NextFrameAt returns. It must record the deliveries of a frame from
// NextFrame in the journal before the first byte of the frame is sent. docs/cluster.md, "Site streams", describes
// the protocol.
package stream
