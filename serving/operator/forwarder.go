package operator

import (
	"hash/fnv"
	"sync"
	"time"

	"rowanlink/serving/state"
)

// returnRetention is how long an endpoint that has come back from where it was sent is kept here.
const returnRetention = 60 * time.Second

// returnWindow is how long it counts as a return if an endpoint calls here although it was sent elsewhere.
const returnWindow = 10 * time.Second

// Forwarder chooses where the heartbeats of endpoints go: to a core member in the endpoint's zone, else in its region,
// so that they cross few links and always reach the same member. It is safe for use by several goroutines.
type Forwarder struct {
	Self    state.Member
	Regions map[string]string // region by zone
	// Members returns the members that are live and ready.
	Members func() []state.Member
	Clock   func() time.Time

	mutex     sync.Mutex
	redirects map[string]redirect // by endpoint
}

// redirect is what was last done with an endpoint.
type redirect struct {
	target   string // control address
	at       time.Time
	returned bool // it came back: where it was sent can't be reached from there
}

// ForwardTo returns the control address for an endpoint's next heartbeats.
func (f *Forwarder) ForwardTo(id, zone string) string {
	chosen := chooseReceiver(f.Self, f.Members(), f.Regions, id, zone)
	if chosen.Name == f.Self.Name || f.hasReturned(id, chosen.ControlAddress) {
		return f.Self.ControlAddress
	}
	return chosen.ControlAddress
}

// hasReturned tells whether an endpoint calls here although it was just sent there, else notes that it is sent.
func (f *Forwarder) hasReturned(id, to string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.Clock()
	f.evictExpired(now)
	last, known := f.redirects[id]
	returned := known && last.target == to
	if returned && last.returned {
		return true
	}
	if f.redirects == nil {
		f.redirects = make(map[string]redirect)
	}
	f.redirects[id] = redirect{target: to, at: now, returned: returned}
	return returned
}

// evictExpired forgets what lies long back.
func (f *Forwarder) evictExpired(now time.Time) {
	for id, last := range f.redirects {
		age := now.Sub(last.at)
		if age > returnRetention || !last.returned && age > returnWindow {
			delete(f.redirects, id)
		}
	}
}

// chooseReceiver takes the member nearest to the zone; among several alike, one that hangs on the endpoint's ID, so
// that all members choose the same and share the work.
func chooseReceiver(self state.Member, members []state.Member, regions map[string]string, id, zone string) state.Member {
	best, bestNear, bestWeight := self, proximity(self, regions, zone), rendezvousWeight(self.Name, id)
	for _, member := range members {
		if member.Role != state.RoleCore || member.State != state.MemberReady || member.ControlAddress == "" {
			continue
		}
		near, share := proximity(member, regions, zone), rendezvousWeight(member.Name, id)
		if near > bestNear || near == bestNear && share > bestWeight {
			best, bestNear, bestWeight = member, near, share
		}
	}
	return best
}

// proximity of a member to a zone: 2 in it, 1 in its region, else 0.
func proximity(member state.Member, regions map[string]string, zone string) int {
	switch {
	case member.Zone == zone:
		return 2
	case member.Region == regions[zone]:
		return 1
	default:
		return 0
	}
}

func rendezvousWeight(member, id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(member))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	return mixBits(hash.Sum64())
}

// mixBits spreads the bits of a hash, whose high ones differ little between similar names (splitmix64's finish).
func mixBits(bits uint64) uint64 {
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}
