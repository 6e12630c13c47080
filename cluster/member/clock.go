package member

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"rowanlink/webhook/api"
)

// newLeaseClock returns the monotonic clock that measures lease TTLs. For tests, the environment variable
// ROWAN_CLOCK_RATE makes it run faster or slower than real time, by a factor between 0.5 and 2.
func newLeaseClock() (func() api.Micros, error) {
	rate, start := 1.0, time.Now()
	if text := os.Getenv("ROWAN_CLOCK_RATE"); text != "" {
		var err error
		if rate, err = strconv.ParseFloat(text, 64); err != nil || !(rate > 0.5 && rate < 2) {
			return nil, fmt.Errorf("ROWAN_CLOCK_RATE is %q; it must be a number above 0.5 and below 2", text)
		}
	}
	return func() api.Micros {
		return api.Micros(rate * float64(time.Since(start).Microseconds()))
	}, nil
}
