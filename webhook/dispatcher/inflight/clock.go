package inflight

import (
	"time"

	"rowanlink/webhook/api"
)

var started = time.Now()

// Now returns the time of the process's only clock: it starts from the wall clock and never runs back.
func Now() api.Micros {
	return api.Micros(started.UnixMicro() + time.Since(started).Microseconds())
}

// Duration converts a duration of the process's clock to the standard library's.
func Duration(t api.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
