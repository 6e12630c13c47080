package engine

// scheduledEvent is an event in the queue of a run. Its kind tells what subject and detail are: indexes into the slices
// of the Simulation, unless stated otherwise. A generation that is no longer that of the subject makes it void.
type scheduledEvent struct {
	kind       scheduledKind
	generation uint32
	subject    int32
	detail     int32
}

type scheduledKind uint8

const (
	evArrival         scheduledKind = iota
	evSubmit                        // subject: request
	evIteration                     // subject: dispatcher
	evTimer                         // subject: dispatcher; detail: timer of its policy
	evEndpointUpdate                // subject: dispatcher; detail: number of endpoint changes it knows from now on
	evConnect                       // subject: call
	evCallArrival                   // subject: call
	evCallServed                    // subject: call
	evResponse                      // subject: call
	evCallTimeout                   // subject: call
	evIdleTimeout                   // subject: dispatcher; detail: endpoint
	evFaultStart                    // subject: fault
	evFaultEnd                      // subject: fault
	evFlap                          // subject: fault; detail: flapGoesDown or flapComesUp
	evEndpointRemoval               // subject: endpoint; detail: fault
	evKill                          // subject: dispatcher; detail: fault
	evStart                         // subject: dispatcher
	evHandoffArrival                // subject: handoff, at its receiver
	evHandoffReply                  // subject: handoff, back at its sender
	evHandoffTimeout                // subject: handoff, at its sender
	evCustodyQuery                  // subject: handoff; detail: 0 at its receiver, else the CustodyReply at its sender
	evParkedReview                  // subject: dispatcher
	evParkedExpiry                  // subject: dispatcher; detail: webhook ID
	evLeaseRenewal                  // subject: dispatcher
	evLeaseMessage                  // subject: lease message; detail: leaseRequest or leaseReply
	evExpiryScan                    // at the leader
	evMapUpdate                     // subject: dispatcher; detail: published map
)

// The details of evFlap.
const (
	flapComesUp int32 = iota
	flapGoesDown
)

// The details of evLeaseMessage.
const (
	leaseRequest int32 = iota // at the leader
	leaseReply                // at the dispatcher
)
