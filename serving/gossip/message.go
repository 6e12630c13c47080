package gossip

// Message is what one member pushes to another.
type Message struct {
	From    string   `cbor:"1,keyasint"`
	Entries []Entry  `cbor:"2,keyasint,omitempty"`
	Offers  []Header `cbor:"3,keyasint,omitempty"` // entries without their values, which the receiver may request
	// Relay lists zones that the receiver is to forward the entries to, since the sender may not be able to reach them.
	Relay []string `cbor:"4,keyasint,omitempty"`
	// Durable requests that the receiver responds only once the entries would survive a loss of its power. Members of
	// a version without this field respond once they have stored them in memory.
	Durable bool `cbor:"5,keyasint,omitempty"`
	// Await names entries. The receiver responds only once its process has applied these versions or newer ones: an
	// agent, once its proxy has. Members of a version without this field respond once they have stored Entries.
	Await []Header `cbor:"6,keyasint,omitempty"`
	// Final tells that the sender sends the entries to all members that need them at once: the receiver doesn't push them
	// on. Members of a version without this field do.
	Final bool `cbor:"7,keyasint,omitempty"`
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      Peer
	Message Message
	retries int
}
