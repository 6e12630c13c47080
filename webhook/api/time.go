package api

import "time"

// Micros is a time or a duration in whole microseconds. Times count from an arbitrary origin and never decrease.
type Micros int64

// Second is one second.
const Second Micros = 1_000_000

// Never is the value of the time of an event that has not happened.
const Never Micros = -1

// Seconds returns the duration in seconds.
func (t Micros) Seconds() float64 { return float64(t) / float64(Second) }

// Duration returns the duration as a time.Duration.
func (t Micros) Duration() time.Duration { return time.Duration(t) * time.Microsecond }
