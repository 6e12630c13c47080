package stream

// SetGeneration has the sender's first run in its epoch be this one: for a sender that is made anew in an epoch in
// which another one has sent, such as one of a process before. No must be above all of those, and at least 1.
func (s *Sender) SetGeneration(no uint64) { s.run.Number = no }

// InFlight is how many deliveries may be at the relay.
func (s *Sender) InFlight() int { return s.outs }
