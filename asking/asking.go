// Package asking decides when a dispatcher asks discovery for its list again. It does no I/O, has no clock.
//
// One dispatcher that asks four times a second is harmless. Where discovery serves fewer than all of a fleet
// ask for, those asks are what keeps it from serving any: a refused ask costs it, too.
package asking

import (
	"cmp"

	"rowanlink/control"
	"rowanlink/gateway"
	"rowanlink/internal/mwc"
)

// longestBy is the longest wait, over the period of a watch's lines. The protocol takes what discovery has to
// tell as told after three periods: the longest wait and a connect that hangs for half of one come before.
const longestBy = 2

// Asking is one dispatcher's.
type Asking struct {
	longest float64 // m of the schedule, in seconds
	chance  *mwc.Source
	failed  int // asks in a row that brought nothing
}

// New draws by a dispatcher's seed; linePeriod is how often a watch says something.
func New(seed uint64, linePeriod gateway.Micros) *Asking {
	return &Asking{longest: longestBy * cmp.Or(linePeriod, gateway.Second).Seconds(), chance: mwc.New(seed)}
}

// Heard notes that an ask brought a list: the next wait is the schedule's first again.
func (a *Asking) Heard() { a.failed = 0 }

// Next is how long to wait before the next ask, in µs: the design's schedule, as for a webhook's retries. It
// covers refusals, a discovery that is down, and a watch that ends for all at once. It could harm where
// discovery is well and one watch breaks: its dispatcher hears up to a second late.
func (a *Asking) Next() gateway.Micros {
	a.failed++
	return control.Wait(a.longest, a.failed-1, a.chance.Float())
}
