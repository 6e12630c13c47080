package state

// EndpointState is where an endpoint stands in its life.
type EndpointState uint8

// The states, in the order in which an endpoint passes through them.
const (
	EndpointAccepting EndpointState = iota // takes requests
	EndpointDraining                       // finishes what it has; no new request may be sent
	EndpointDeparted                       // has signed off or is known to have ended
)

// Model is a model that an endpoint serves.
type Model struct {
	Name     string   `cbor:"1,keyasint"`
	Version  int      `cbor:"2,keyasint,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
}

// Endpoint is what one incarnation of a server of requests has said of itself, as it is passed between the
// system's processes. A new incarnation has a new ID.
type Endpoint struct {
	ID              string        `cbor:"1,keyasint"`
	Service         string        `cbor:"2,keyasint"`
	Address         string        `cbor:"3,keyasint"` // host:port for requests
	Zone            string        `cbor:"4,keyasint"`
	SoftwareVersion string        `cbor:"5,keyasint,omitempty"` // of its software
	Slots           int           `cbor:"6,keyasint"`           // requests that it works on at once
	State           EndpointState `cbor:"7,keyasint"`

	// Sequence is the endpoint's own count of its calls; a lower one is older news.
	Sequence uint64 `cbor:"8,keyasint"`
	// Silent: the process that receives its heartbeats has had none for several intervals. A hint, not a death.
	Unresponsive bool `cbor:"9,keyasint,omitempty"`
	// Failing: several proxies have told the receiver that calls of the endpoint fail, more than those of others.
	Failing bool `cbor:"14,keyasint,omitempty"`
	// WarmupLeftMillis is how much longer it was slow from its start when Sequence was sent. Whoever receives the
	// entry counts from then: a delay on the way makes the span too long, never too short.
	WarmupLeftMillis int64 `cbor:"10,keyasint,omitempty"`
	// RemovalInMillis, when not zero: it is taken away that long after Sequence was sent.
	RemovalInMillis int64 `cbor:"11,keyasint,omitempty"`
	// Receiver is the name of the member that receives its heartbeats and judges its silence.
	Receiver string  `cbor:"12,keyasint,omitempty"`
	Models   []Model `cbor:"13,keyasint,omitempty"`
}

// Load is an endpoint's report on itself, some hundred milliseconds old when it is read.
type Load struct {
	EndpointID  string `cbor:"1,keyasint"`
	Queued      int    `cbor:"2,keyasint,omitempty"`
	Running     int    `cbor:"3,keyasint,omitempty"`
	CacheUsed   int    `cbor:"4,keyasint,omitempty"` // tokens of memory that can't give way
	CacheTotal  int    `cbor:"5,keyasint,omitempty"` // tokens of memory
	Measurement uint64 `cbor:"6,keyasint"`           // rises with each reading under one reader's epoch
}
