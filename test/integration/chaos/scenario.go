// Package chaos runs random scenarios against a cluster of real members: faults of a list, at moments of a list, under a
// random load, with all checks at the end. All choices come from a seed; what follows from them depends on the machine
// too, so that a seed that fails has to be repeated several times.
package chaos

import (
	"math/rand/v2"
	"time"

	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

var (
	destinations = []api.DestinationID{1, 2, 3, 4}
	eventTypes   = []string{"status", "paid", "charge"}
)

// logTriggers are texts of members' logs on which a fault starts: each step of a lease, a move and a stream. If none is
// logged in time, or for "", the fault starts all the same.
var logTriggers = []string{
	"", "",
	"raft leadership gained", "session established", "session expired", "lease granted", "lease no longer held",
	"move planned", "move warming", "move handing off", "range lease released", "range ownership switched", "move cleared",
	"ranges failed over", "pending webhooks handed off", "webhook in doubt", "in-doubt webhook resolved", "stream",
}

// scenario is a cluster with the random choices for it.
type scenario struct {
	*harness.Cluster
	*rand.Rand
	leaseTTL       time.Duration
	affected       map[*harness.Member]bool // members that have a fault in this round
	requireNoError func(error)
}

// randomDuration returns how long a fault lasts: half a lease TTL to three.
func (s *scenario) randomDuration() time.Duration {
	return s.leaseTTL/2 + time.Duration(s.Float64()*2.5*float64(s.leaseTTL))
}

// randomMember returns a member without a fault, and marks it as affected.
func (s *scenario) randomMember() *harness.Member {
	for {
		m := s.Members[s.IntN(len(s.Members))]
		if !s.affected[m] {
			s.affected[m] = true
			return m
		}
	}
}

// randomPair returns two different members.
func (s *scenario) randomPair() (a, b *harness.Member) {
	order := s.Perm(len(s.Members))
	return s.Members[order[0]], s.Members[order[1]]
}

// leaderOrRandom returns the raft leader and marks it as affected, or a random member if there is no leader without a
// fault.
func (s *scenario) leaderOrRandom() *harness.Member {
	if m := s.Leader(); m != nil && !s.affected[m] {
		s.affected[m] = true
		return m
	}
	return s.randomMember()
}

func (s *scenario) randomDestination() api.DestinationID {
	return destinations[s.IntN(len(destinations))]
}

// randomLoad returns a load of event types in turn, in which one destination has more than the others.
func (s *scenario) randomLoad() platform.Load {
	members := s.Names()
	hot := s.IntN(len(destinations))
	return platform.Load{
		Members:   members,
		PerSecond: 40 + 100*s.Float64(),
		Clients:   6,
		Next: func(n int) platform.Webhook {
			d := destinations[n/3%len(destinations)]
			if n%2 == 0 {
				d = destinations[hot]
			}
			return platform.Webhook{Type: eventTypes[n%len(eventTypes)], Destination: d, Body: "a webhook's body"}
		},
	}
}
