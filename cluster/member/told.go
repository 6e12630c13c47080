package member

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/webhook/api"
)

// memberAddresses and logs are where the others hear, as this member reaches them.
func memberAddresses(f config.File) map[cluster.MemberID]string {
	all := map[cluster.MemberID]string{}
	for _, m := range f.Members {
		all[m.ID] = m.Address
	}
	return all
}

func raftAddresses(f config.File) map[cluster.MemberID]string {
	all := map[cluster.MemberID]string{}
	for _, m := range f.Members {
		if m.RaftAddress != "" {
			all[m.ID] = m.RaftAddress
		}
	}
	return all
}

func raftNodes(f config.File) (all []cluster.MemberID) {
	for _, m := range f.Members {
		if m.RaftAddress != "" {
			all = append(all, m.ID)
		}
	}
	return all
}

// newLeaseClock is the clock that terms are counted by: it never runs back. A rate other than 1 is for tests.
func newLeaseClock() (func() api.Micros, error) {
	rate, start := 1.0, time.Now()
	if text := os.Getenv("ROWAN_CLOCK_RATE"); text != "" {
		var err error
		if rate, err = strconv.ParseFloat(text, 64); err != nil || !(rate > 0.5 && rate < 2) {
			return nil, fmt.Errorf("ROWAN_CLOCK_RATE is %q: a number from 0.5 to 2", text)
		}
	}
	return func() api.Micros {
		return api.Micros(rate * float64(time.Since(start).Microseconds()))
	}, nil
}

// MaxConnections is how many connections a member hears at the most, in a fleet of so many: guards against keepers
// that refuse a large fleet's renewals and asks, each of which holds one, and against no bound at all.
func MaxConnections(members int) int { return max(minConnections, connectionsPerMember*members) }

const minConnections, connectionsPerMember = 256, 8
