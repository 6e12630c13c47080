package invariant

import (
	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"rowanlink/webhook/api"
)

// latencyStep is the resolution of latency histograms in microseconds. They range up to a day, with two digits.
const latencyStep = 100

const maxLatency = 24 * 3600 * int64(api.Second)

func newLatency() *hdr.Histogram { return hdr.New(1, maxLatency/latencyStep, 2) }

func recordLatency(h *hdr.Histogram, latency api.Micros) {
	_ = h.RecordValue(max(int64(latency)/latencyStep, 1)) // fails only beyond a day, where no run gets
}

func latencyAt(h *hdr.Histogram, percentile float64) api.Micros {
	return api.Micros(h.ValueAtQuantile(percentile)) * latencyStep
}
