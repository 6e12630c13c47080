package placement

import (
	"math"
	"time"
)

// Smoothing of measured times.
const (
	// decaySpan is the time in which what was seen of an endpoint's queue loses most of its weight.
	decaySpan = 2 * time.Second
	// decayPrior is the weight, in measurements, of the assumption that there is no queue.
	decayPrior = 2.0
	tookBlend  = 1.0 / 8
)

// decay is a mean of measured times in which the older weigh less. It fades to nothing while no new one is seen, so
// that what was avoided is tried again.
type decay struct {
	sum    float64 // of the times, each by its weight
	weight float64
	seenAt time.Time
}

// at is the mean now, where the assumption is that there is no queue.
func (d *decay) at(now time.Time) time.Duration { return d.over(now, 0) }

// over is the mean now, with an assumption that weighs as much as decayPrior measurements.
func (d *decay) over(now time.Time, assumed time.Duration) time.Duration {
	if d.weight == 0 {
		return assumed
	}
	faded := d.faded(now)
	return time.Duration((d.sum*faded + decayPrior*float64(assumed)) / (d.weight*faded + decayPrior))
}

// see takes a measured time in.
func (d *decay) see(now time.Time, seen time.Duration) {
	faded := d.faded(now)
	d.sum = d.sum*faded + float64(seen)
	d.weight = d.weight*faded + 1
	d.seenAt = now
}

// faded is what a weight of one has become since the last measurement.
func (d *decay) faded(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(d.seenAt)) / float64(decaySpan))
}

// blend smooths a figure; the first one stands for itself.
func blend(mean, seen, weight float64) float64 {
	if mean == 0 {
		return seen
	}
	return mean + weight*(seen-mean)
}
