package member

import "time"

// Intervals of the calls to seeds.
const (
	firstSeedInterval  = 30 * time.Millisecond  // between the first calls to each seed, since some may be far away or down
	joinInterval       = 150 * time.Millisecond // between two calls while no other member is known
	joinPeriod         = 2 * time.Second        // how long after the start joinInterval applies even if other members are known
	reseedInterval     = 500 * time.Millisecond // between two calls to seeds that are not among the members
	slowReseedInterval = 5 * time.Second        // the same after fastReseedPeriod
	fastReseedPeriod   = 10 * time.Second       // since the seeds were set
	seedCallTimeout    = 600 * time.Millisecond // after which a seed may be called again
)

// seedSchedule decides which seed is called when: round-robin until another member is known, and then only seeds that
// are not among the members, since they may know other members.
type seedSchedule struct {
	own       string
	addresses []string
	next      int
	due       time.Time
	since     time.Time
	attempts  int                  // since the seeds were set
	inFlight  map[string]time.Time // by address: when the call in flight counts as ended
}

func newSeedSchedule(now time.Time, own string, addresses []string) seedSchedule {
	schedule := seedSchedule{own: own, inFlight: map[string]time.Time{}}
	schedule.set(now, addresses)
	return schedule
}

// set replaces the seeds.
func (s *seedSchedule) set(now time.Time, addresses []string) {
	s.addresses = nil
	for _, address := range addresses {
		if address != s.own {
			s.addresses = append(s.addresses, address)
		}
	}
	s.due = now
	s.since = now
	s.attempts = 0
}

// takeDue returns the address of the seed to call now; empty where none is due.
func (s *seedSchedule) takeDue(now time.Time, alone bool, isMember func(address string) bool) string {
	if now.Before(s.due) || len(s.addresses) == 0 {
		return ""
	}
	s.attempts++
	s.due = now.Add(s.interval(now, alone))
	for range s.addresses {
		s.next = (s.next + 1) % len(s.addresses)
		address := s.addresses[s.next]
		if now.Before(s.inFlight[address]) || !alone && isMember(address) {
			continue
		}
		s.inFlight[address] = now.Add(seedCallTimeout)
		return address
	}
	return ""
}

// interval returns the time to the next call.
func (s *seedSchedule) interval(now time.Time, alone bool) time.Duration {
	switch {
	case alone && s.attempts < len(s.addresses):
		return firstSeedInterval
	case alone || now.Sub(s.since) < joinPeriod:
		return joinInterval
	case now.Sub(s.since) < fastReseedPeriod:
		return reseedInterval
	default:
		return slowReseedInterval
	}
}

// finish records that a call to a seed has ended.
func (s *seedSchedule) finish(address string) { delete(s.inFlight, address) }
