package experiment

import (
	"math/rand/v2"
	"runtime"
	"slices"

	"gonum.org/v1/gonum/stat"

	"rowanlink/sim/engine"
)

// Comparison is two policies on the same runs. Diff is A's value less B's, seed by seed.
type Comparison struct {
	Scenario  string    `json:"scenario"`
	A         string    `json:"a"`
	B         string    `json:"b"`
	Seeds     []uint64  `json:"seeds"`
	ValuesA   []float64 `json:"values_a"`
	ValuesB   []float64 `json:"values_b"`
	ViolatedA int       `json:"broken_a"` // runs in which a rule was
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

// Compare plays both policies with seeds 1 to n, side by side on all cores.
func Compare(s *engine.Scenario, a, b string, n int, step func()) (*Comparison, error) {
	c := &Comparison{Scenario: s.Name, A: a, B: b, ValuesA: make([]float64, n), ValuesB: make([]float64, n)}
	broken, failed := make([]bool, 2*n), make([]error, 2*n)
	Parallel(runtime.GOMAXPROCS(0), 2*n, func(i int) {
		defer step()
		run, policy, to := *s, a, c.ValuesA
		if i%2 == 1 {
			policy, to = b, c.ValuesB
		}
		run.Seed = uint64(i/2 + 1)
		r, err := Run(&run, policy, false)
		if failed[i] = err; err == nil {
			to[i/2], broken[i] = r.Value, r.Violated()
		}
	})
	for i, err := range failed {
		if err != nil {
			return nil, err
		}
		if broken[i] && i%2 == 0 {
			c.ViolatedA++
		} else if broken[i] {
			c.ViolatedB++
		}
	}
	diffs := make([]float64, n)
	for i := range diffs {
		diffs[i] = c.ValuesA[i] - c.ValuesB[i]
		c.Seeds = append(c.Seeds, uint64(i+1))
	}
	c.MeanA, c.MeanB, c.Diff = stat.Mean(c.ValuesA, nil), stat.Mean(c.ValuesB, nil), stat.Mean(diffs, nil)
	c.Low, c.High = bootstrapInterval(diffs)
	return c, nil
}

// bootstrapInterval is the bootstrap's for the mean: the same each time for the same numbers.
func bootstrapInterval(of []float64) (low, high float64) {
	chance := rand.New(rand.NewPCG(uint64(len(of)), resamples))
	means, drawn := make([]float64, resamples), make([]float64, len(of))
	for i := range means {
		for k := range drawn {
			drawn[k] = of[chance.IntN(len(of))]
		}
		means[i] = stat.Mean(drawn, nil)
	}
	slices.Sort(means)
	return stat.Quantile(
			significance/2,
			stat.Empirical,
			means,
			nil,
		), stat.Quantile(
			1-significance/2,
			stat.Empirical,
			means,
			nil,
		)
}
