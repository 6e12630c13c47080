package experiment

import (
	"math/rand/v2"
	"runtime"
	"slices"

	"gonum.org/v1/gonum/stat"

	"rowanlink/sim/engine"
)

// Comparison compares two policies, paired by seed. Diff is the mean of A's value minus B's. DeliveredDiff is the same of
// the share of webhooks that were delivered before their time was up, which is what callers get.
type Comparison struct {
	Scenario  string    `json:"scenario"`
	A         string    `json:"a"`
	B         string    `json:"b"`
	Seeds     []uint64  `json:"seeds"`
	ValuesA   []float64 `json:"values_a"`
	ValuesB   []float64 `json:"values_b"`
	ViolatedA int       `json:"broken_a"` // runs with a violation
	ViolatedB int       `json:"broken_b"`
	MeanA     float64   `json:"mean_a"`
	MeanB     float64   `json:"mean_b"`
	Diff      float64   `json:"diff"`
	Low       float64   `json:"low"` // of the 95% interval of Diff
	High      float64   `json:"high"`

	DeliveredA    []float64 `json:"delivered_a"`
	DeliveredB    []float64 `json:"delivered_b"`
	DeliveredDiff float64   `json:"delivered_diff"`
	DeliveredLow  float64   `json:"delivered_low"` // of the 95% interval of DeliveredDiff
	DeliveredHigh float64   `json:"delivered_high"`
}

const (
	resamples    = 10_000
	significance = 0.05
)

// Compare runs a scenario under both policies with seeds 1 to n, in parallel. onRun is called after each run.
func Compare(s *engine.Scenario, a, b string, n int, onRun func()) (*Comparison, error) {
	results, errs := make([]*Result, 2*n), make([]error, 2*n) // A and B of each seed
	Parallel(runtime.GOMAXPROCS(0), 2*n, func(i int) {
		defer onRun()
		run, policy := *s, a
		if i%2 == 1 {
			policy = b
		}
		run.Seed = uint64(i/2 + 1)
		results[i], errs[i] = Run(&run, policy, false)
	})
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	c := &Comparison{Scenario: s.Name, A: a, B: b}
	for i := range n {
		c.add(uint64(i+1), results[2*i], results[2*i+1])
	}
	c.MeanA = stat.Mean(c.ValuesA, nil)
	c.MeanB = stat.Mean(c.ValuesB, nil)
	c.Diff, c.Low, c.High = meanDifference(c.ValuesA, c.ValuesB)
	c.DeliveredDiff, c.DeliveredLow, c.DeliveredHigh = meanDifference(c.DeliveredA, c.DeliveredB)
	return c, nil
}

// meanDifference returns the mean of the paired differences a[i]-b[i], and its 95% interval.
func meanDifference(a, b []float64) (mean, low, high float64) {
	differences := make([]float64, len(a))
	for i := range differences {
		differences[i] = a[i] - b[i]
	}
	low, high = bootstrapInterval(differences)
	return stat.Mean(differences, nil), low, high
}

// deliveredShare returns the share of a run's webhooks that were delivered before their time was up.
func deliveredShare(r *Result) float64 {
	return float64(r.InTime+r.Late) / float64(max(r.Offered, 1))
}

func (c *Comparison) add(seed uint64, a, b *Result) {
	c.Seeds = append(c.Seeds, seed)
	c.ValuesA = append(c.ValuesA, a.Value)
	c.ValuesB = append(c.ValuesB, b.Value)
	c.DeliveredA = append(c.DeliveredA, deliveredShare(a))
	c.DeliveredB = append(c.DeliveredB, deliveredShare(b))
	if a.Violated() {
		c.ViolatedA++
	}
	if b.Violated() {
		c.ViolatedB++
	}
}

// bootstrapInterval returns the 95% interval of the mean by the percentile bootstrap (Efron 1979). It is the same each
// time for the same numbers.
func bootstrapInterval(values []float64) (low, high float64) {
	random := rand.New(rand.NewPCG(uint64(len(values)), resamples))
	means, sample := make([]float64, resamples), make([]float64, len(values))
	for i := range means {
		for k := range sample {
			sample[k] = values[random.IntN(len(values))]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	low = stat.Quantile(significance/2, stat.Empirical, means, nil)
	high = stat.Quantile(1-significance/2, stat.Empirical, means, nil)
	return low, high
}
