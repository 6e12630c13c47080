package placement

import "time"

// Initial estimates of a service, used until calls have been measured.
const (
	initialPrefillRate = 30.0 // prompt tokens a millisecond
	initialBaseLatency = 60 * time.Millisecond
	initialCallMillis  = 30.0 // of a call to a service without an engine
)

const (
	// The prefill rate is measured on prompts with at least largePrompt uncached tokens, the base latency on those with
	// fewer than smallPrompt.
	largePrompt = 2000
	smallPrompt = 1000
	// prefillRateSmoothing is the weight of a new measurement of the prefill rate.
	prefillRateSmoothing = 0.05
	// The base latency is estimated from the low end of the measurements, since anything beyond it is queueing: a
	// measurement below the estimate weighs more than one above it.
	lowerLatencySmoothing  = 0.2
	higherLatencySmoothing = 0.01
)

// responseModel estimates the response times of a service's endpoints.
type responseModel struct {
	prefillRate          float64       // prompt tokens a millisecond
	baseLatency          time.Duration // time to first byte beyond the prefill and the path
	callMillis           float64       // usual length of a call in milliseconds
	uncachedPromptTokens float64       // usual number of prompt tokens to prefill for a call
}

func newResponseModel() responseModel {
	return responseModel{
		prefillRate: initialPrefillRate,
		baseLatency: initialBaseLatency,
		callMillis:  initialCallMillis,
	}
}

// prefillTime returns the time that an endpoint takes to prefill prompt tokens.
func (m *responseModel) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / m.prefillRate * float64(time.Millisecond))
}

// recordFirstByte updates the model by a measured time to first byte. Calls that were sent behind others of this proxy
// are left out, since their time includes queueing.
func (m *responseModel) recordFirstByte(c *call, measured time.Duration) {
	if c.tokensAhead > 0 {
		return
	}
	prefillMillis := float64(measured-m.baseLatency-c.pathLatency) / float64(time.Millisecond)
	if c.uncachedTokens >= largePrompt && prefillMillis > 1 {
		rate := min(max(float64(c.uncachedTokens)/prefillMillis, m.prefillRate/2), m.prefillRate*2)
		m.prefillRate += prefillRateSmoothing * (rate - m.prefillRate)
		return
	}
	if c.uncachedTokens < smallPrompt {
		m.updateBaseLatency(measured - c.pathLatency - m.prefillTime(c.uncachedTokens))
	}
}

// updateBaseLatency updates the base latency by a measurement.
func (m *responseModel) updateBaseLatency(measured time.Duration) {
	weight := higherLatencySmoothing
	if measured < m.baseLatency {
		weight = lowerLatencySmoothing
	}
	m.baseLatency = max(m.baseLatency+time.Duration(weight*float64(measured-m.baseLatency)), 0)
}

// recordUncachedTokens updates the usual number of prompt tokens to prefill.
func (m *responseModel) recordUncachedTokens(tokens int) {
	m.uncachedPromptTokens = smooth(m.uncachedPromptTokens, float64(tokens), callTimeSmoothing)
}
