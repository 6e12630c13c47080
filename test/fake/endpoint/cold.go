package endpoint

import (
	"sync"
	"time"
)

const (
	// coldSlowness is how many times longer all takes at a cold endpoint.
	coldSlowness = 3
	// fallsAt is how many times its rate a cold endpoint bears in a second before it falls over.
	fallsAt = 3
	// fallSlack is what it bears beyond that.
	fallSlack = 10
)

// cold tells how an endpoint bears requests after its start.
type cold struct {
	options Cold

	mutex    sync.Mutex
	until    time.Time
	arrivals []time.Time // of the last second
}

func newCold(started time.Time, options Cold) *cold {
	return &cold{options: options, until: started.Add(options.Span)}
}

// left is how much longer the endpoint is cold.
func (c *cold) left(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(c.until.Sub(now), 0)
}

// slowness is the factor on all times.
func (c *cold) slowness(now time.Time) float64 {
	if c.left(now) > 0 {
		return coldSlowness
	}
	return 1
}

// arrive takes a request in; false: the endpoint has fallen over and is cold anew.
func (c *cold) arrive(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !now.Before(c.until) || c.options.Rate <= 0 {
		return true
	}
	for len(c.arrivals) > 0 && now.Sub(c.arrivals[0]) > time.Second {
		c.arrivals = c.arrivals[1:]
	}
	c.arrivals = append(c.arrivals, now)
	if float64(len(c.arrivals)) <= fallsAt*c.options.Rate+fallSlack {
		return true
	}
	c.until = now.Add(c.options.Span)
	return false
}
