package placement

import (
	"time"

	"rowanlink/serving/state"
)

// newVersionHold is how long the endpoints of a version that no roll-out names get nothing, if there are others: an order
// for it may be on its way.
const newVersionHold = 10 * time.Second

// versionTimes has the time when each software version of a service was first seen; the zero time for those that were
// there when the process started, or when it first saw the service.
type versionTimes struct {
	firstSeen map[string]time.Time
	// unestablished: all endpoints that accept requests are of versions that are held, so these get requests.
	unestablished bool
}

// noteVersions notes when the versions of the endpoints were first seen.
func (p *Picker) noteVersions(now time.Time, all []state.Endpoint) {
	starting := now.Sub(p.options.StartedAt) < discoverySpan
	newServices := map[string]bool{}
	established := map[string]bool{}
	for index := range all {
		info := &all[index]
		times, found := p.rollouts.versions[info.Service]
		if !found {
			newServices[info.Service] = true
			times.firstSeen = map[string]time.Time{}
			p.rollouts.versions[info.Service] = times
		}
		if _, seen := times.firstSeen[info.SoftwareVersion]; !seen {
			times.firstSeen[info.SoftwareVersion] = now
			if starting || newServices[info.Service] {
				times.firstSeen[info.SoftwareVersion] = time.Time{}
			}
		}
		if info.State == state.EndpointAccepting && !p.isHeld(now, info) {
			established[info.Service] = true
		}
	}
	for name, times := range p.rollouts.versions {
		times.unestablished = !established[name]
		p.rollouts.versions[name] = times
	}
}

// isHeld reports whether an endpoint's version is so new that an order for it may not have arrived yet.
func (p *Picker) isHeld(now time.Time, info *state.Endpoint) bool {
	if known, found := p.rollouts.known[info.Service]; found && known.Target == info.SoftwareVersion {
		return false
	}
	firstSeen := p.rollouts.versions[info.Service].firstSeen[info.SoftwareVersion]
	return !firstSeen.IsZero() && now.Sub(firstSeen) < newVersionHold
}

// withholdsVersion reports whether endpoints of a version get nothing.
func (p *Picker) withholdsVersion(now time.Time, info *state.Endpoint) bool {
	if known, found := p.rollouts.known[info.Service]; found && known.IsRetired(info.SoftwareVersion) {
		return true
	}
	return p.isHeld(now, info) && !p.rollouts.versions[info.Service].unestablished
}

// pinnedVersion returns the software version that the request must go to; empty: any.
func (p *Picker) pinnedVersion(request *Request, service string) string {
	if _, hadRollout := p.rollouts.known[service]; !hadRollout || !request.Resumed {
		return ""
	}
	return request.Version
}
