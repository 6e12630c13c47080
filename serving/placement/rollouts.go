package placement

import (
	"time"

	"rowanlink/internal/mwcrand"
	"rowanlink/serving/state"
)

// A roll-out replaces the versions in force of a service's software, which serve its requests, by a target version. An
// operator orders it; it proceeds in steps (state.RolloutStep), which determine the target's share of the requests.
// While it is in progress, the picker treats the target's endpoints as a separate service, so that the prefix owners
// and subsets of the versions in force don't change. A request is sent to the target by a draw with the step's share,
// if this proxy has a valid lease for the roll-out and its circuit breaker is closed. A request for which the target
// has no eligible endpoint goes to the versions in force.

// rollouts is a picker's state of all roll-outs.
type rollouts struct {
	incarnation uint64
	random      *mwcrand.Source
	known       map[string]state.Rollout      // the newest roll-out of each service, by the service's name
	inProgress  map[string]*rolloutInProgress // by the service's name
	versions    map[string]versionTimes       // by the service's name
}

// rolloutInProgress is a picker's state of a roll-out in progress.
type rolloutInProgress struct {
	info       state.Rollout
	target     *service // with the target's endpoints only
	leaseUntil time.Time
	breaker    rolloutBreaker
	draws      lowDiscrepancySequence
	observed   rolloutObservations
	loadProbes []*endpoint // in the load step, the endpoints to put load on, one after the other
}

func newRollouts(seed uint64) rollouts {
	random := mwcrand.New(seed + 1)
	return rollouts{
		incarnation: seed | 1,
		random:      random,
		known:       map[string]state.Rollout{},
		inProgress:  map[string]*rolloutInProgress{},
		versions:    map[string]versionTimes{},
	}
}

// applyRollouts applies the roll-outs of a record and new leases.
func (p *Picker) applyRollouts(now time.Time, record *state.Record, leases []state.RolloutLease) {
	if record != nil {
		for _, info := range record.Rollouts {
			p.applyRollout(info)
		}
	}
	for _, r := range p.rollouts.inProgress {
		for _, lease := range leases {
			if lease.OrderRevision == r.info.OrderRevision {
				r.leaseUntil = now.Add(time.Duration(lease.Millis) * time.Millisecond)
			}
		}
	}
}

// applyRollout applies the newest state of a service's roll-out.
func (p *Picker) applyRollout(info state.Rollout) {
	p.rollouts.known[info.Service] = info
	r := p.rollouts.inProgress[info.Service]
	if r != nil && (r.info.OrderRevision != info.OrderRevision || info.State != state.RolloutInProgress) {
		delete(p.services, targetKey(&r.info))
		delete(p.rollouts.inProgress, info.Service)
		r = nil
	}
	if info.State != state.RolloutInProgress {
		return
	}
	if r == nil {
		r = &rolloutInProgress{
			target:   p.newTarget(&info),
			draws:    lowDiscrepancySequence{position: p.rollouts.random.Float64()},
			observed: newRolloutObservations(),
		}
		p.rollouts.inProgress[info.Service] = r
	}
	if r.info.Step != info.Step {
		r.breaker.reset()
	}
	r.info = info
}

// newTarget returns the service of a roll-out's target. Its response model starts as a copy of that of the versions in
// force.
func (p *Picker) newTarget(info *state.Rollout) *service {
	target := newService(info.Service)
	target.config = serviceConfig(p.routing, info.Service)
	target.updateConnectionLimit(p.proxyCount)
	if baseline := p.services[info.Service]; baseline != nil {
		target.responseModel = baseline.responseModel
	}
	p.services[targetKey(info)] = target
	return target
}

// targetKey is the key of a target among the picker's services. Names of services have no zero byte.
func targetKey(info *state.Rollout) string { return info.Service + "\x00" + info.Target }

// serviceOf returns the service that an endpoint belongs to: the target of a roll-out in progress if the endpoint has
// its version, otherwise the service with the name that the endpoint reports.
func (p *Picker) serviceOf(info *state.Endpoint) *service {
	r := p.rollouts.inProgress[info.Service]
	if r != nil && info.SoftwareVersion == r.info.Target {
		return r.target
	}
	return p.ensureService(info.Service)
}

// moveTo moves the endpoint to a service, which may be its present one.
func (e *endpoint) moveTo(to *service) {
	if e.service == to {
		return
	}
	e.service.ownersChanged = true
	to.ownersChanged = true
	e.service = to
}
