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
