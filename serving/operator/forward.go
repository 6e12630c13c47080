package operator

import (
	"hash/fnv"
	"sync"
	"time"

	"rowanlink/serving/state"
)

// returnedFor is how long an endpoint that has come back from where it was sent is kept here.
const returnedFor = 60 * time.Second

// sentFor is how long it counts as a return if an endpoint calls here although it was sent elsewhere.
const sentFor = 10 * time.Second

// Forwarder chooses where the heartbeats of endpoints go: to a core member in the endpoint's zone, else in its region,
// so that they cross few links and always reach the same member. It is safe for use by several goroutines.
type Forwarder struct {
	Self    state.Member
	Regions map[string]string // region by zone
	// Members returns the members that are live and ready.
	Members func() []state.Member
	Clock   func() time.Time

	mutex sync.Mutex
	sent  map[string]sending // by endpoint
}

// sending is what was last done with an endpoint.
type sending struct {
	to       string // control address
	at       time.Time
	returned bool // it came back: where it was sent can't be reached from there
}

// Forward returns the control address for an endpoint's next heartbeats.
func (f *Forwarder) Forward(id, zone string) string {
	chosen := chooseReceiver(f.Self, f.Members(), f.Regions, id, zone)
	if chosen.Name == f.Self.Name || f.cameBack(id, chosen.ControlAddress) {
		return f.Self.ControlAddress
	}
	return chosen.ControlAddress
}

// cameBack tells whether an endpoint calls here although it was just sent there, else notes that it is sent.
func (f *Forwarder) cameBack(id, to string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.Clock()
	f.drop(now)
	last, known := f.sent[id]
	returned := known && last.to == to
	if returned && last.returned {
		return true
	}
	if f.sent == nil {
		f.sent = make(map[string]sending)
	}
	f.sent[id] = sending{to: to, at: now, returned: returned}
	return returned
}

// drop forgets what lies long back.
func (f *Forwarder) drop(now time.Time) {
	for id, last := range f.sent {
		age := now.Sub(last.at)
		if age > returnedFor || !last.returned && age > sentFor {
			delete(f.sent, id)
		}
	}
}

// chooseReceiver takes the member nearest to the zone; among several alike, one that hangs on the endpoint's ID, so
// that all members choose the same and share the work.
func chooseReceiver(self state.Member, members []state.Member, regions map[string]string, id, zone string) state.Member {
	best, bestNear, bestWeight := self, nearness(self, regions, zone), weight(self.Name, id)
	for _, member := range members {
		if member.Role != state.RoleCore || member.State != state.MemberReady || member.ControlAddress == "" {
			continue
		}
		near, share := nearness(member, regions, zone), weight(member.Name, id)
		if near > bestNear || near == bestNear && share > bestWeight {
			best, bestNear, bestWeight = member, near, share
		}
	}
	return best
}

// nearness of a member to a zone: 2 in it, 1 in its region, else 0.
func nearness(member state.Member, regions map[string]string, zone string) int {
	switch {
	case member.Zone == zone:
		return 2
	case member.Region == regions[zone]:
		return 1
	default:
		return 0
	}
}

func weight(member, id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(member))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	return mix(hash.Sum64())
}

// mix spreads the bits of a hash, whose high ones differ little between similar names (splitmix64's finish).
func mix(bits uint64) uint64 {
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}
