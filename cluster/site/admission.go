package site

import "rowanlink/webhook/api"

// partitionedShare is the share of a destination's rate that the relay and its sender each use while they have no
// contact, since both may call the destination then.
const partitionedShare = 1.0 / 2

// MayCall reports whether the stream of the destination's site, if it belongs to one, allows that this member calls the
// destination. asRelay is set if this member may call as the site's relay, which doesn't depend on the range's owner.
func (s *Sites) MayCall(d api.DestinationID) (may, asRelay bool) {
	current := s.routes.Load()
	receiver := s.relay.Load()
	sender := current.senderByDestination[d]
	switch {
	case current.relayedHere[d]:
		return receiver != nil, true
	case receiver != nil && receiver.hasPending(d): // it has left the site, but earlier deliveries are finished here
		return true, true
	case sender != nil:
		return sender.direct.Load(), false
	}
	return true, false
}

// RateShare returns the share of a destination's rate that this member may use. ownerShare is the share that it has by
// the shard map.
func (s *Sites) RateShare(d api.DestinationID, ownerShare float64) float64 {
	current := s.routes.Load()
	receiver := s.relay.Load()
	sender := current.senderByDestination[d]
	switch {
	case receiver != nil && (current.relayedHere[d] || receiver.hasPending(d)):
		if receiver.receiver.MayBeBypassed() {
			return partitionedShare
		}
		return 1
	case sender != nil && sender.direct.Load() && ownerShare == 1: // otherwise the shard map shares it evenly already
		return partitionedShare
	}
	return ownerShare
}
