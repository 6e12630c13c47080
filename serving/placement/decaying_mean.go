package placement

import (
	"math"
	"time"
)

// Smoothing of measured times.
const (
	// decayTimeConstant is the time in which what was seen of an endpoint's queue loses most of its weight.
	decayTimeConstant = 2 * time.Second
	// priorWeight is the weight, in measurements, of the assumption that there is no queue.
	priorWeight       = 2.0
	callTimeSmoothing = 1.0 / 8
)

// decayingMean is a mean of measured times in which the older weigh less. It fades to nothing while no new one is seen, so
// that what was avoided is tried again.
type decayingMean struct {
	sum       float64 // of the times, each by its weight
	weight    float64
	updatedAt time.Time
}

// meanAt is the mean now, where the assumption is that there is no queue.
func (d *decayingMean) meanAt(now time.Time) time.Duration { return d.meanWithPrior(now, 0) }

// meanWithPrior is the mean now, with an assumption that weighs as much as priorWeight measurements.
func (d *decayingMean) meanWithPrior(now time.Time, assumed time.Duration) time.Duration {
	if d.weight == 0 {
		return assumed
	}
	faded := d.decayFactor(now)
	return time.Duration((d.sum*faded + priorWeight*float64(assumed)) / (d.weight*faded + priorWeight))
}

// add takes a measured time in.
func (d *decayingMean) add(now time.Time, seen time.Duration) {
	faded := d.decayFactor(now)
	d.sum = d.sum*faded + float64(seen)
	d.weight = d.weight*faded + 1
	d.updatedAt = now
}

// decayFactor is what a weight of one has become since the last measurement.
func (d *decayingMean) decayFactor(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(d.updatedAt)) / float64(decayTimeConstant))
}

// smooth smooths a figure; the first one stands for itself.
func smooth(mean, seen, weight float64) float64 {
	if mean == 0 {
		return seen
	}
	return mean + weight*(seen-mean)
}
