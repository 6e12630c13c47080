package member

import "time"

// Times of the calls to seeds. The intervals are the times between two calls.
const (
	// firstSeedInterval applies until each seed was called once. It is short because some seeds may be far away or down.
	firstSeedInterval = 30 * time.Millisecond
	// joinInterval applies while no other member is known, and during joinPeriod after the seeds were set in any case.
	joinInterval = 150 * time.Millisecond
	joinPeriod   = 2 * time.Second
	// reseedInterval applies after that, until fastReseedPeriod after the seeds were set, and slowReseedInterval from then
	// on. Only seeds that aren't among the members are called.
	reseedInterval     = 500 * time.Millisecond
	slowReseedInterval = 5 * time.Second
	fastReseedPeriod   = 10 * time.Second
	// seedCallTimeout is how long after a call to a seed the seed isn't called again unless that call has ended.
	seedCallTimeout = 600 * time.Millisecond
)

// seedSchedule decides which seed is called when. Until another member is known, all seeds are called round-robin. After
// that only seeds that aren't among the live members are called, since they may know members that the local one doesn't.
type seedSchedule struct {
	ownAddress string
	addresses  []string             // of the seeds, without ownAddress
	lastIndex  int                  // in addresses, of the seed that was considered last
	dueAt      time.Time            // of the next call
	setAt      time.Time            // when the seeds were set
	attempts   int                  // since setAt
	inFlight   map[string]time.Time // by address: when the call in flight counts as ended
}

func newSeedSchedule(now time.Time, ownAddress string, addresses []string) seedSchedule {
	schedule := seedSchedule{ownAddress: ownAddress, inFlight: map[string]time.Time{}}
	schedule.set(now, addresses)
	return schedule
}

// set replaces the seeds.
func (s *seedSchedule) set(now time.Time, addresses []string) {
	s.addresses = nil
	for _, address := range addresses {
		if address != s.ownAddress {
			s.addresses = append(s.addresses, address)
		}
	}
	s.dueAt = now
	s.setAt = now
	s.attempts = 0
}

// takeDue returns the address of the seed to call now, and schedules the next call; empty if no call is due. The local
// member is alone if it knows no other live member.
func (s *seedSchedule) takeDue(now time.Time, alone bool, isMember func(address string) bool) string {
	if now.Before(s.dueAt) || len(s.addresses) == 0 {
		return ""
	}
	s.attempts++
	s.dueAt = now.Add(s.interval(now, alone))
	for range s.addresses {
		s.lastIndex = (s.lastIndex + 1) % len(s.addresses)
		address := s.addresses[s.lastIndex]
		if now.Before(s.inFlight[address]) || !alone && isMember(address) {
			continue
		}
		s.inFlight[address] = now.Add(seedCallTimeout)
		return address
	}
	return ""
}

// interval returns the time until the next call.
func (s *seedSchedule) interval(now time.Time, alone bool) time.Duration {
	switch {
	case alone && s.attempts < len(s.addresses):
		return firstSeedInterval
	case alone || now.Sub(s.setAt) < joinPeriod:
		return joinInterval
	case now.Sub(s.setAt) < fastReseedPeriod:
		return reseedInterval
	default:
		return slowReseedInterval
	}
}

// finish records that a call to a seed has ended.
func (s *seedSchedule) finish(address string) { delete(s.inFlight, address) }
