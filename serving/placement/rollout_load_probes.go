package placement

import (
	"math"
	"time"

	"rowanlink/serving/state"
)

const (
	// loadProbes is the number of the target's endpoints that are loaded in the load step, one after the other, up to
	// loadProbeShare of their slots, by requests with short prompts. With a single one, its own fault couldn't be told
	// from one of the version.
	loadProbes     = 2
	loadProbeShare = 0.6
	// loadProbeCalls bounds the calls that load one endpoint, in multiples of that load.
	loadProbeCalls = 2
)

// selectLoadProbes selects the endpoints to be loaded, the last ones of the region with the most endpoints.
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
	count := min(loadProbes, len(largest)/minCanaries)
	for _, e := range largest[len(largest)-count:] {
		e.isLoadProbe = true
		r.loadProbes = append(r.loadProbes, e)
	}
}

// isLoaded reports whether a load probe has as many requests as it is to get, by its own report, or this proxy's share of
// them (reports are some hundred milliseconds old), or whether it got its share of all that may load it.
func (p *Picker) isLoaded(now time.Time, e *endpoint) bool {
	limit := loadProbeShare * e.slots()
	proxies := float64(max(p.proxyCount, 1))
	if float64(e.inFlight) >= math.Ceil(limit/proxies) || float64(e.loadProbeCalls) >= math.Ceil(loadProbeCalls*limit/proxies) {
		return true
	}
	isKnown := !e.loadReportedAt.IsZero() && now.Sub(e.loadReportedAt) <= loadReportTTL
	return isKnown && float64(e.loadReport.Running+e.loadReport.Queued) >= limit
}

// drawLoadProbe returns the endpoint that is to be loaded by a request, nil for none.
func (p *Picker) drawLoadProbe(now time.Time, r *rolloutInProgress, request *Request) *endpoint {
	if request.Waited || r.target.hasEngine() && request.PromptTokens > smallPrompt {
		return nil
	}
	for _, e := range r.loadProbes {
		if !p.isLoaded(now, e) && e.health.failureRate == 0 {
			return e
		}
	}
	return nil
}
