package experiment

import (
	"math/rand/v2"
	"runtime"
	"slices"

	"gonum.org/v1/gonum/stat"

	"rowanlink/sim/engine"
)

// Comparison compares two policies, paired by seed. Diff is the mean of A's value minus B's.
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
	differences := make([]float64, n)
	for i := range differences {
		c.add(uint64(i+1), results[2*i], results[2*i+1])
		differences[i] = c.ValuesA[i] - c.ValuesB[i]
	}
	c.MeanA = stat.Mean(c.ValuesA, nil)
	c.MeanB = stat.Mean(c.ValuesB, nil)
	c.Diff = stat.Mean(differences, nil)
	c.Low, c.High = bootstrapInterval(differences)
	return c, nil
}

func (c *Comparison) add(seed uint64, a, b *Result) {
	c.Seeds = append(c.Seeds, seed)
	c.ValuesA = append(c.ValuesA, a.Value)
	c.ValuesB = append(c.ValuesB, b.Value)
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
