package site

import "rowanlink/webhook/api"

// partitionedShare is the share of a destination's rate that each of the two members has while a relay and its sender
// have no contact: both may call then.
const partitionedShare = 1.0 / 2

// MayCall reports whether a site's subscriber may be called from here as far as its stream is concerned; asRelay: as
// its relay, whoever owns its range.
func (s *Sites) MayCall(d api.DestinationID) (may, asRelay bool) {
	current := s.routes.Load()
	receiver := s.relay.Load()
	sender := current.senderOf[d]
	switch {
	case current.servedHere[d]:
		return receiver != nil, true
	case receiver != nil && receiver.hasPending(d): // it has left the site, and earlier deliveries end here
		return true, true
	case sender != nil:
		return sender.direct.Load(), false
	}
	return true, false
}

// RateShare returns the share of a destination's rate that this member has; ownerShare is the share by the shard map.
func (s *Sites) RateShare(d api.DestinationID, ownerShare float64) float64 {
	current := s.routes.Load()
	receiver := s.relay.Load()
	sender := current.senderOf[d]
	switch {
	case receiver != nil && (current.servedHere[d] || receiver.hasPending(d)):
		if receiver.receiver.MayBeBypassed() {
			return partitionedShare
		}
		return 1
	case sender != nil && sender.direct.Load() && ownerShare == 1: // else it is shared evenly already
		return partitionedShare
	}
	return ownerShare
}
