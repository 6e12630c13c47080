package api

// EndpointStatus is the state of an endpoint in the endpoint list. It is independent of the endpoint's health.
type EndpointStatus uint8

// Statuses in an endpoint list.
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
	Rate        float64 // calls per second that the destination accepts from all dispatchers, if the list states it
}

// LoadReport is what an endpoint reports of its own limit with an answer. It is approximate and slightly out of date.
type LoadReport struct {
	Endpoint EndpointID
	Headroom float64 // share of the limit that is left
	Limit    float64 // calls per second allowed to all dispatchers; 0: not reported
}

// DestinationState is what one dispatcher has learned of a destination, as it is handed to the dispatcher that calls
// the destination next. Times are of the exporting dispatcher's clock until the transfer converts them.
type DestinationState struct {
	Destination    DestinationID `cbor:"1,keyasint"`
	ObservedAt     Micros        `cbor:"2,keyasint"`
	Window         float64       `cbor:"3,keyasint"` // concurrent calls at most
	WaitUntil      Micros        `cbor:"4,keyasint"` // end of the delay that the destination asked for
	Unhealthy      bool          `cbor:"5,keyasint"`
	NextCanaryAt   Micros        `cbor:"6,keyasint"` // unhealthy: no call before then
	SlowStartSince Micros        `cbor:"7,keyasint"` // first success after an outage, or Never
	MeanLatency    float64       `cbor:"8,keyasint"` // µs
	FailureRate    float64       `cbor:"9,keyasint"` // share of recent calls that failed
	TimeoutRate    float64       `cbor:"10,keyasint"`
}
