package state

// Observation is what one proxy has observed of an endpoint since its last report.
type Observation struct {
	EndpointID string `cbor:"1,keyasint"`
	// Failures counts the failed calls: no connection, an interrupted response, an error of the endpoint, or a
	// time-out. Requests that the endpoint rejected or the client cancelled are not included.
	Failures int `cbor:"2,keyasint,omitempty"`
	// Unacknowledged means that the packets sent to the endpoint are not even acknowledged by the network stack of its
	// machine.
	Unacknowledged bool `cbor:"3,keyasint,omitempty"`
}
