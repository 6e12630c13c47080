package placement

import (
	"time"

	"rowanlink/serving/state"
)

// newVersionHold is how long after its first endpoint was seen a version is held: unless a roll-out has it as its
// target, its endpoints get no requests while there are others. The operator's order of a roll-out to it may still be
// on its way.
const newVersionHold = 10 * time.Second

// versionTimes holds when each software version of a service was first seen.
type versionTimes struct {
	// firstSeen is zero for the versions that existed when the process started, or when it first saw the service.
	firstSeen map[string]time.Time
	// allHeld: all accepting endpoints are of held versions, so these get requests after all.
	allHeld bool
}

// recordVersions records when the versions of the endpoints were first seen, and which services have only held
// versions.
func (p *Picker) recordVersions(now time.Time, all []state.Endpoint) {
	starting := now.Sub(p.options.StartedAt) < discoverySpan
	newServices := map[string]bool{}
	hasUnheld := map[string]bool{}
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
			hasUnheld[info.Service] = true
		}
	}
	for name, times := range p.rollouts.versions {
		times.allHeld = !hasUnheld[name]
		p.rollouts.versions[name] = times
	}
}

// isHeld reports whether an endpoint's version is held, see newVersionHold.
func (p *Picker) isHeld(now time.Time, info *state.Endpoint) bool {
	if known, found := p.rollouts.known[info.Service]; found && known.Target == info.SoftwareVersion {
		return false
	}
	firstSeen := p.rollouts.versions[info.Service].firstSeen[info.SoftwareVersion]
	return !firstSeen.IsZero() && now.Sub(firstSeen) < newVersionHold
}

// withholdsVersion reports whether an endpoint gets no requests because of its version: the version is retired, or it
// is held and there are others.
func (p *Picker) withholdsVersion(now time.Time, info *state.Endpoint) bool {
	if known, found := p.rollouts.known[info.Service]; found && known.IsRetired(info.SoftwareVersion) {
		return true
	}
	return p.isHeld(now, info) && !p.rollouts.versions[info.Service].allHeld
}

// pinnedVersion returns the only software version that the request may go to; empty: any. Streams of a service that has
// had a roll-out are resumed on the same version only.
func (p *Picker) pinnedVersion(request *Request, service string) string {
	if _, hadRollout := p.rollouts.known[service]; !hadRollout || !request.Resumed {
		return ""
	}
	return request.Version
}
