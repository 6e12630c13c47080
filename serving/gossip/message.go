package gossip

// Message is what one member pushes to another.
type Message struct {
	From    string   `cbor:"1,keyasint"`
	Entries []Entry  `cbor:"2,keyasint,omitempty"`
	Offers  []Header `cbor:"3,keyasint,omitempty"` // entries without their values, which the receiver may request
	// Relay lists zones to which the receiver forwards the entries, because the sender may be unable to reach them.
	Relay []string `cbor:"4,keyasint,omitempty"`
	// Durable requests that the receiver responds only when the entries would survive a power loss at the receiver.
	// Members of a version without this field respond when they have stored the entries in memory.
	Durable bool `cbor:"5,keyasint,omitempty"`
	// Await lists entries that the receiver's process must have applied, in these versions or newer ones, before it
	// responds. On an agent, its proxy must have applied them. Members of a version without this field respond when
	// they have stored Entries.
	Await []Header `cbor:"6,keyasint,omitempty"`
	// NoForward means that the sender itself sends the entries to all members that need them, so that the receiver
	// forwards them only as Relay requests. Members of a version without this field forward them as usual.
	NoForward bool `cbor:"7,keyasint,omitempty"`
}

// Envelope is a message with its receiver and the number of retries that led to it.
type Envelope struct {
	To      Peer
	Message Message
	retries int
}
