package placement

import (
	"math"
	"time"

	"rowanlink/serving/state"
)

const (
	// In the load step, requests with short prompts put load on loadProbeCount of the target's endpoints, one after the
	// other, until loadProbeUtilization of an endpoint's slots are taken. This shows faults of the version that only occur
	// under load. With a single endpoint, its own fault couldn't be told from a fault of the version.
	loadProbeCount       = 2
	loadProbeUtilization = 0.6
	// maxLoadProbeFactor bounds the calls that all proxies together send to one load probe, as a multiple of the calls
	// that make up that load.
	maxLoadProbeFactor = 2
)

// selectLoadProbes selects the load probes: the last endpoints of the region with the most endpoints, since the first
// ones are the canaries. A region with fewer than minCanaries endpoints has none.
func (r *rolloutInProgress) selectLoadProbes(regions map[string][]*endpoint) {
	if r.info.Step != state.RolloutLoad {
		return
	}
	var largest []*endpoint
	for _, candidates := range regions {
		larger := len(candidates) > len(largest)
		if larger || len(candidates) == len(largest) && len(largest) > 0 && candidates[0].region < largest[0].region {
			largest = candidates
		}
	}
	count := min(loadProbeCount, len(largest)/minCanaries)
	for _, e := range largest[len(largest)-count:] {
		e.isLoadProbe = true
		r.loadProbes = append(r.loadProbes, e)
	}
}

// hasEnoughLoad reports whether this proxy sends no more calls to a load probe for now. This is so if the probe's load
// report shows the intended load, if this proxy has its share of that load in flight (reports are some hundred
// milliseconds old), or if this proxy has sent its share of all the calls that the probe may get.
func (p *Picker) hasEnoughLoad(now time.Time, e *endpoint) bool {
	limit := loadProbeUtilization * e.slots()
	proxies := float64(max(p.proxyCount, 1))
	if float64(e.inFlight) >= math.Ceil(limit/proxies) || float64(e.loadProbeCalls) >= math.Ceil(maxLoadProbeFactor*limit/proxies) {
		return true
	}
	isKnown := !e.loadReportedAt.IsZero() && now.Sub(e.loadReportedAt) <= loadReportTTL
	return isKnown && float64(e.loadReport.Running+e.loadReport.Queued) >= limit
}

// loadProbeFor returns the load probe that a request is sent to; nil: none. A probe at which calls of this proxy have
// failed gets no more of them.
func (p *Picker) loadProbeFor(now time.Time, r *rolloutInProgress, request *Request) *endpoint {
	if request.Waited || r.target.hasEngine() && request.PromptTokens > smallPrompt {
		return nil
	}
	for _, e := range r.loadProbes {
		if !p.hasEnoughLoad(now, e) && e.health.failureRate == 0 {
			return e
		}
	}
	return nil
}
