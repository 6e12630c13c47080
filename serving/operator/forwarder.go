package operator

import (
	"hash/fnv"
	"sync"
	"time"

	"rowanlink/serving/state"
)

const (
	// returnRetention is how long an endpoint that couldn't reach the member it was redirected to stays at this member,
	// before it is redirected again.
	returnRetention = 60 * time.Second
	// returnWindow is the time after a redirect within which another heartbeat at this member means that the endpoint
	// couldn't reach the target of the redirect.
	returnWindow = 10 * time.Second
)

// Forwarder chooses the core member that receives an endpoint's heartbeats: one in the endpoint's zone, else one in its
// region, so that heartbeats stay within the zone or region where possible, and an endpoint's heartbeats always reach
// the same member. It is safe for concurrent use.
type Forwarder struct {
	Self    state.Member
	Regions map[string]string // region by zone
	// Members returns the live members.
	Members func() []state.Member
	Clock   func() time.Time

	mutex     sync.Mutex
	redirects map[string]redirect // by endpoint ID
}

// redirect is the last redirect of an endpoint.
type redirect struct {
	target   string    // control address
	at       time.Time // of the redirect or, once the endpoint has returned, of its return
	returned bool      // the endpoint came back to this member, so it can't reach the target
}

// ForwardTo returns the control address to which an endpoint should send its next heartbeats: that of the chosen
// member, or this member's own if the endpoint can't reach the chosen one.
func (f *Forwarder) ForwardTo(id, zone string) string {
	chosen := chooseReceiver(f.Self, f.Members(), f.Regions, id, zone)
	if chosen.Name == f.Self.Name || f.hasReturned(id, chosen.ControlAddress) {
		return f.Self.ControlAddress
	}
	return chosen.ControlAddress
}

// hasReturned reports whether an endpoint came back to this member after a redirect to the target, which it therefore
// can't reach. If there was no such redirect, the caller sends one now, and hasReturned records it.
func (f *Forwarder) hasReturned(id, target string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.Clock()
	f.evictExpired(now)
	last, found := f.redirects[id]
	returned := found && last.target == target
	if returned && last.returned {
		return true
	}
	if f.redirects == nil {
		f.redirects = make(map[string]redirect)
	}
	f.redirects[id] = redirect{target: target, at: now, returned: returned}
	return returned
}

// evictExpired removes the redirects that are older than returnWindow, or returnRetention once the endpoint has
// returned.
func (f *Forwarder) evictExpired(now time.Time) {
	for id, last := range f.redirects {
		retention := returnWindow
		if last.returned {
			retention = returnRetention
		}
		if now.Sub(last.at) > retention {
			delete(f.redirects, id)
		}
	}
}

// chooseReceiver returns the ready core member nearest to the zone. Among equally near ones it chooses by rendezvous
// hashing of the endpoint's ID (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998), so
// that all members choose the same one for an endpoint and share the load.
func chooseReceiver(self state.Member, members []state.Member, regions map[string]string, id, zone string) state.Member {
	best := self
	bestProximity := proximity(self, regions, zone)
	bestWeight := rendezvousWeight(self.Name, id)
	for _, member := range members {
		if member.Role != state.RoleCore || member.State != state.MemberReady || member.ControlAddress == "" {
			continue
		}
		near, weight := proximity(member, regions, zone), rendezvousWeight(member.Name, id)
		if near > bestProximity || near == bestProximity && weight > bestWeight {
			best = member
			bestProximity = near
			bestWeight = weight
		}
	}
	return best
}

// Proximity of a member to a zone, from far to near.
const (
	inOtherRegion = iota
	inSameRegion
	inSameZone
)

func proximity(member state.Member, regions map[string]string, zone string) int {
	switch {
	case member.Zone == zone:
		return inSameZone
	case member.Region == regions[zone]:
		return inSameRegion
	default:
		return inOtherRegion
	}
}

// rendezvousWeight returns the pseudo-random weight of a member for an endpoint.
func rendezvousWeight(member, id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(member)) // a hash's Write returns no error
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	return mixBits(hash.Sum64())
}

// mixBits is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators",
// 2014). It follows FNV-1a because the high bits of FNV-1a differ little between similar names.
func mixBits(bits uint64) uint64 {
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}
