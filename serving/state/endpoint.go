package state

// EndpointState is the state of an endpoint in its life cycle.
type EndpointState uint8

// The states of an endpoint, in the order in which it passes through them.
const (
	EndpointAccepting EndpointState = iota // takes requests
	EndpointDraining                       // finishes its requests and must not get new ones
	EndpointDeparted                       // has signed off or is known to have ended
)

// Model is a model that an endpoint serves.
type Model struct {
	Name     string   `cbor:"1,keyasint"`
	Version  int      `cbor:"2,keyasint,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
}

// Endpoint is what one incarnation of an endpoint has reported about itself, as the system's processes exchange it.
// Each incarnation should have an ID of its own; Registration tells those apart that haven't.
type Endpoint struct {
	ID              string        `cbor:"1,keyasint"`
	Service         string        `cbor:"2,keyasint"`
	Address         string        `cbor:"3,keyasint"` // host:port for requests
	Zone            string        `cbor:"4,keyasint"`
	SoftwareVersion string        `cbor:"5,keyasint,omitempty"`
	Slots           int           `cbor:"6,keyasint"` // concurrent requests
	State           EndpointState `cbor:"7,keyasint"`

	// Sequence counts the endpoint's own reports; an entry with a lower one is older.
	Sequence uint64 `cbor:"8,keyasint"`
	// Unresponsive means that several heartbeats in a row are missing at the receiver. It is a hint: the endpoint may
	// still be running.
	Unresponsive bool `cbor:"9,keyasint,omitempty"`
	// Failing means that several proxies have reported failed calls to the receiver, more than for other endpoints.
	Failing bool `cbor:"14,keyasint,omitempty"`
	// WarmupLeftMillis is how much longer the endpoint needed to warm up when Sequence was sent. Each process that
	// receives the entry counts from the receipt, so that delays make the time too long, never too short.
	WarmupLeftMillis int64 `cbor:"10,keyasint,omitempty"`
	// RemovalInMillis, if not zero, is the time from the sending of Sequence until the endpoint is removed.
	RemovalInMillis int64 `cbor:"11,keyasint,omitempty"`
	// Receiver is the name of the member that receives the heartbeats and decides on Unresponsive.
	Receiver string  `cbor:"12,keyasint,omitempty"`
	Models   []Model `cbor:"13,keyasint,omitempty"`
	// Registration counts the processes that have registered under the ID after an earlier one had departed.
	Registration uint64 `cbor:"15,keyasint,omitempty"`
	// LastSequence is the last known Sequence before the endpoint deregistered; zero for all others.
	// Members of earlier versions tell a successor by it.
	LastSequence uint64 `cbor:"16,keyasint,omitempty"`
}

// Load is an endpoint's own report of its load, some hundred milliseconds old when it is read.
type Load struct {
	EndpointID  string `cbor:"1,keyasint"`
	Queued      int    `cbor:"2,keyasint,omitempty"` // requests
	Running     int    `cbor:"3,keyasint,omitempty"` // requests
	CacheUsed   int    `cbor:"4,keyasint,omitempty"` // tokens of the KV cache that can't be evicted
	CacheTotal  int    `cbor:"5,keyasint,omitempty"` // tokens of the KV cache
	Measurement uint64 `cbor:"6,keyasint"`           // increases with each measurement under one reader's epoch
}
