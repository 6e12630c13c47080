package placement

import (
	"math"
	"time"
)

const (
	// decayTimeConstant is the time in which the weight of a measured queueing delay falls to 1/e.
	decayTimeConstant = 2 * time.Second
	// priorWeight is the weight of the assumed value, as a number of measurements.
	priorWeight = 2.0
	// callTimeSmoothing is the weight of a new measurement in the moving averages of call times and prompt lengths.
	callTimeSmoothing = 1.0 / 8
)

// decayingMean is a mean of measured durations in which older ones weigh exponentially less. Without new measurements
// it decays to an assumed value, so that an endpoint that was avoided as slow is tried again.
type decayingMean struct {
	sum       float64 // of the durations, each by its weight
	weight    float64 // of all measurements
	updatedAt time.Time
}

// meanAt returns the mean with an assumed value of zero.
func (d *decayingMean) meanAt(now time.Time) time.Duration { return d.meanWithPrior(now, 0) }

// meanWithPrior returns the mean with an assumed value that weighs as much as priorWeight new measurements.
func (d *decayingMean) meanWithPrior(now time.Time, assumed time.Duration) time.Duration {
	if d.weight == 0 {
		return assumed
	}
	factor := d.decayFactor(now)
	return time.Duration((d.sum*factor + priorWeight*float64(assumed)) / (d.weight*factor + priorWeight))
}

// add adds a measurement.
func (d *decayingMean) add(now time.Time, measured time.Duration) {
	factor := d.decayFactor(now)
	d.sum = d.sum*factor + float64(measured)
	d.weight = d.weight*factor + 1
	d.updatedAt = now
}

// decayFactor returns the factor by which weights have decayed since the last measurement.
func (d *decayingMean) decayFactor(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(d.updatedAt)) / float64(decayTimeConstant))
}

// smooth updates an exponential moving average. The first value replaces a mean of zero.
func smooth(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}
