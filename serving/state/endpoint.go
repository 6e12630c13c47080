package state

// EndpointState is the state of an endpoint in its life cycle.
type EndpointState uint8

// The states of an endpoint, in the order in which it passes through them.
const (
	EndpointAccepting EndpointState = iota // takes requests
	EndpointDraining                       // finishes its requests and must not get new ones
	EndpointDeparted                       // has deregistered or is known to have terminated
)

// Model is a model that an endpoint serves.
type Model struct {
	Name     string   `cbor:"1,keyasint"`
	Version  int      `cbor:"2,keyasint,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
}

// Endpoint is what one incarnation of an endpoint has reported about itself, in the form that the system's processes
// exchange. Each incarnation should have its own ID; Registration distinguishes incarnations that share one.
type Endpoint struct {
	ID              string        `cbor:"1,keyasint"`
	Service         string        `cbor:"2,keyasint"`
	Address         string        `cbor:"3,keyasint"` // host:port for requests
	Zone            string        `cbor:"4,keyasint"`
	SoftwareVersion string        `cbor:"5,keyasint,omitempty"`
	Slots           int           `cbor:"6,keyasint"` // concurrent requests
	State           EndpointState `cbor:"7,keyasint"`

	// Sequence counts the endpoint's own reports. An entry with a lower Sequence is older.
	Sequence uint64 `cbor:"8,keyasint"`
	// Unresponsive means that the receiver has missed several heartbeats in a row. It is only a hint: the endpoint may
	// still be running.
	Unresponsive bool `cbor:"9,keyasint,omitempty"`
	// Failing means that several proxies have reported to the receiver that calls to the endpoint failed, and more of
	// them than for other endpoints.
	Failing bool `cbor:"14,keyasint,omitempty"`
	// WarmupLeftMillis is the remaining warm-up time of the endpoint when it sent Sequence. Each process that receives
	// the entry counts from the receipt, so that transmission delays make the time too long, never too short.
	WarmupLeftMillis int64 `cbor:"10,keyasint,omitempty"`
	// RemovalInMillis, if not zero, is the time from the sending of Sequence to the removal of the endpoint.
	RemovalInMillis int64 `cbor:"11,keyasint,omitempty"`
	// Receiver is the name of the member that receives the heartbeats and decides on Unresponsive.
	Receiver string  `cbor:"12,keyasint,omitempty"`
	Models   []Model `cbor:"13,keyasint,omitempty"`
	// Registration counts the processes that have registered under the ID after an earlier one had departed.
	Registration uint64 `cbor:"15,keyasint,omitempty"`
	// LastSequence is the last Sequence that was known before the endpoint deregistered. It is zero for an endpoint
	// that hasn't deregistered. Members of earlier versions use it to recognize a successor with the same ID.
	LastSequence uint64 `cbor:"16,keyasint,omitempty"`
}

// Load is an endpoint's own report of its load. It is some hundred milliseconds old when it is read.
type Load struct {
	EndpointID  string `cbor:"1,keyasint"`
	Queued      int    `cbor:"2,keyasint,omitempty"` // requests
	Running     int    `cbor:"3,keyasint,omitempty"` // requests
	CacheUsed   int    `cbor:"4,keyasint,omitempty"` // tokens of the KV cache that can't be evicted
	CacheTotal  int    `cbor:"5,keyasint,omitempty"` // tokens of the KV cache
	Measurement uint64 `cbor:"6,keyasint"`           // increases with each measurement within the epoch of one reader
}
