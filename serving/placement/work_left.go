package placement

import "time"

// workModel estimates how long a service's calls take, to tell whether a response can still be complete before its
// deadline. Without new measurements the estimates decay to zero: a service that was slow would otherwise never be tried
// again by requests with less time than it took.
type workModel struct {
	calls decayingMean // duration of successful calls, without the path
	// firstByteDeviation is by how much times to first byte differ from the expected ones.
	firstByteDeviation decayingMean
	outputToken        decayingMean // time from the first byte to the end of a response, for each token of its limit
	// outputs holds that time by route, whatever the limit.
	outputs map[string]*decayingMean
}

// recordCall updates the model by a successful call that has ended.
func (m *workModel) recordCall(now time.Time, c *call) {
	m.calls.add(now, now.Sub(c.sentAt)-c.pathLatency)
	if !c.gotFirstByte || c.outputTokens <= 0 {
		return
	}
	output := now.Sub(c.firstByteAt)
	m.outputToken.add(now, output/time.Duration(c.outputTokens))
	if m.outputs == nil {
		m.outputs = map[string]*decayingMean{}
	}
	if m.outputs[c.route] == nil {
		m.outputs[c.route] = &decayingMean{}
	}
	m.outputs[c.route].add(now, output)
}

// callTime returns the usual duration of a call, without the path. It is zero while none was measured.
func (m *workModel) callTime(now time.Time) time.Duration { return m.calls.meanAt(now) }

// outputTime returns the expected time from the first byte of a response with a limit of tokens to its end: no longer than
// responses of the route usually take, since clients may set a limit far above what they get. It is zero while none was
// measured.
func (m *workModel) outputTime(now time.Time, route string, tokens int) time.Duration {
	usual := m.outputs[route]
	if usual == nil {
		return 0
	}
	return min(time.Duration(tokens)*m.outputToken.meanAt(now), usual.meanAt(now))
}

// shortestCallTime returns the expected duration of the request's call, from the time it is sent to the end of the
// response, at an endpoint that is near, idle and has all shared blocks of the prompt cached. No endpoint is expected to
// take less.
func (s *candidateSearch) shortestCallTime() time.Duration {
	if !s.service.hasEngine() {
		return sameZoneLatency + s.service.callTime(s.now)
	}
	prefill := s.service.prefillTime(max(s.promptTokens-s.sharedTokens, 1))
	return sameZoneLatency + s.service.baseLatency + prefill + s.service.outputTime(s.now, s.request.Route.Name, s.request.MaxOutputTokens)
}
