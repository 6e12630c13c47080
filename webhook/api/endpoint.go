package api

// EndpointStatus is an endpoint's status according to the endpoint list. It says nothing about the endpoint's health.
type EndpointStatus uint8

// The statuses of an endpoint.
const (
	EndpointActive EndpointStatus = iota
	EndpointDraining
	EndpointRemoved
)

// EndpointEntry is one entry of an endpoint list.
type EndpointEntry struct {
	Endpoint    EndpointID
	Destination DestinationID
	Kind        DestinationKindID
	Zone        ZoneID
	Status      EndpointStatus
	// Rate is how many calls per second the destination accepts from all dispatchers together, if the list contains it.
	Rate float64
}

// LoadReport is an endpoint's report on its own rate limit, sent with an answer. It is approximate and slightly out of
// date.
type LoadReport struct {
	Endpoint EndpointID
	Headroom float64 // fraction of the limit that is unused
	Limit    float64 // calls per second allowed to all dispatchers together; 0: not reported
}

// DestinationState is what one dispatcher has learned about a destination. It is transferred to the dispatcher that
// calls the destination next. Times are by the exporting dispatcher's clock until the transfer converts them.
type DestinationState struct {
	Destination    DestinationID `cbor:"1,keyasint"`
	ObservedAt     Micros        `cbor:"2,keyasint"`
	Window         float64       `cbor:"3,keyasint"` // maximum number of concurrent calls
	WaitUntil      Micros        `cbor:"4,keyasint"` // end of the delay that the destination requested
	Unhealthy      bool          `cbor:"5,keyasint"`
	NextCanaryAt   Micros        `cbor:"6,keyasint"`  // earliest time of the next call while the destination is unhealthy
	SlowStartSince Micros        `cbor:"7,keyasint"`  // first success after an outage, or Never
	MeanLatency    float64       `cbor:"8,keyasint"`  // µs
	FailureRate    float64       `cbor:"9,keyasint"`  // fraction of recent calls that failed
	TimeoutRate    float64       `cbor:"10,keyasint"` // fraction of recent calls that timed out
}
