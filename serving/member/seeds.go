package member

import "time"

// Times of the calls to seeds.
const (
	firstSeedInterval  = 30 * time.Millisecond  // between the first calls to each seed: some are far away or down
	joinInterval       = 150 * time.Millisecond // between two calls while nobody is known
	joinPeriod         = 2 * time.Second        // how long seeds are called as often as that, also if others are known
	reseedInterval     = 500 * time.Millisecond // between two calls to seeds that are not known as members, at first
	slowReseedInterval = 5 * time.Second        // the same later
	fastReseedPeriod   = 10 * time.Second       // how long "at first" is
	seedCallTimeout    = 600 * time.Millisecond // a call to a seed that has not ended by then is given up
)

// seedSchedule decides which seed is called when. Until a first member is known they are called in turn; after that
// only seeds that are not among the members, since they may know others.
type seedSchedule struct {
	own       string
	addresses []string
	next      int
	due       time.Time
	since     time.Time
	attempts  int                  // calls since the seeds were set
	calling   map[string]time.Time // until when a call is under way
}

func newSeedSchedule(now time.Time, own string, addresses []string) seedSchedule {
	plan := seedSchedule{own: own, calling: map[string]time.Time{}}
	plan.set(now, addresses)
	return plan
}

// set replaces the seeds.
func (p *seedSchedule) set(now time.Time, addresses []string) {
	p.addresses = nil
	for _, address := range addresses {
		if address != p.own {
			p.addresses = append(p.addresses, address)
		}
	}
	p.due, p.since, p.attempts = now, now, 0
}

// takeDue returns the seed to be called now; empty where none is due.
func (p *seedSchedule) takeDue(now time.Time, alone bool, isMember func(address string) bool) string {
	if now.Before(p.due) || len(p.addresses) == 0 {
		return ""
	}
	p.attempts++
	p.due = now.Add(p.interval(now, alone))
	for range p.addresses {
		p.next = (p.next + 1) % len(p.addresses)
		address := p.addresses[p.next]
		if now.Before(p.calling[address]) || !alone && isMember(address) {
			continue
		}
		p.calling[address] = now.Add(seedCallTimeout)
		return address
	}
	return ""
}

// interval is the time to the next call.
func (p *seedSchedule) interval(now time.Time, alone bool) time.Duration {
	switch {
	case alone && p.attempts < len(p.addresses):
		return firstSeedInterval
	case alone || now.Sub(p.since) < joinPeriod:
		return joinInterval
	case now.Sub(p.since) < fastReseedPeriod:
		return reseedInterval
	default:
		return slowReseedInterval
	}
}

// finish tells that a call to a seed is over.
func (p *seedSchedule) finish(address string) { delete(p.calling, address) }
