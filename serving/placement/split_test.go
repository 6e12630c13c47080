package placement

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/routing"
)

// TestDrawService_SharesOfFewRequests: over 300 requests at one proxy, and over 300 at many proxies with five each, a
// part's share is within a few hundredths of its weight; independent draws would miss that now and then.
func TestDrawService_SharesOfFewRequests(t *testing.T) {
	const requests = 300
	for _, test := range []struct {
		name    string
		proxies int
		weight  int // of 100
		off     float64
	}{
		{"one proxy, a tenth", 1, 10, 0.01},
		{"one proxy, a half", 1, 50, 0.01},
		{"60 proxies, a tenth", 60, 10, 0.04},
		{"60 proxies, a half", 60, 50, 0.06},
	} {
		route := &routing.Route{Name: "split", Services: []routing.WeightedService{
			{Service: "large", Weight: 100 - test.weight}, {Service: "small", Weight: test.weight}}}
		worst := 0.0
		for seed := range uint64(100) {
			small := 0
			for proxy := range test.proxies {
				p := New(Options{Seed: seed*1000 + uint64(proxy)})
				for range requests / test.proxies {
					if p.drawService(route) == "small" {
						small++
					}
				}
			}
			worst = max(worst, math.Abs(float64(small)/requests-float64(test.weight)/100))
		}
		t.Logf("%s: off by %.3f at most", test.name, worst)
		assert.Less(t, worst, test.off, test.name)
	}
}

func TestDrawService_NoWeight(t *testing.T) {
	p := New(Options{})
	assert.Empty(t, p.drawService(&routing.Route{}))
	single := &routing.Route{Services: []routing.WeightedService{{Service: "a", Weight: 1}}}
	assert.Equal(t, "a", p.drawService(single))
	assert.Empty(t, p.splits, "only split routes have a sequence")
}
