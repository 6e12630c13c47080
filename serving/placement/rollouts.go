package placement

import (
	"time"

	"rowanlink/internal/mwcrand"
	"rowanlink/serving/state"
)

// While a roll-out is in progress, the endpoints of its target version are a service of their own to the picker, so that
// neither the owners of prefixes nor the subsets of the versions in force change. A request goes there by a draw with the
// share of the roll-out's step, if the proxy has a lease for the roll-out and its breaker is closed; if it finds no endpoint
// there, it goes to the versions in force.

// rollouts is what a picker knows of roll-outs.
type rollouts struct {
	incarnation uint64
	random      *mwcrand.Source
	known       map[string]state.Rollout      // the newest of each service, by name
	inProgress  map[string]*rolloutInProgress // by name of the service
	versions    map[string]versionTimes       // by name of the service
}

// rolloutInProgress is a roll-out that is under way.
type rolloutInProgress struct {
	info       state.Rollout
	target     *service // the endpoints of the target
	leaseUntil time.Time
	breaker    rolloutBreaker
	draws      splitSequence
	observed   rolloutObservations
	loadProbes []*endpoint // in the load step, those to be loaded, in their order
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
			draws:    splitSequence{position: p.rollouts.random.Float64()},
			observed: newRolloutObservations(),
		}
		p.rollouts.inProgress[info.Service] = r
	}
	if r.info.Step != info.Step {
		r.breaker.reset()
	}
	r.info = info
}

// newTarget returns the service of a roll-out's target. It begins with what is known of the versions in force.
func (p *Picker) newTarget(info *state.Rollout) *service {
	target := newService(info.Service)
	target.config = serviceConfig(p.routing, info.Service)
	target.updateConnectionLimit(p.proxyCount)
	if inForce := p.services[info.Service]; inForce != nil {
		target.responseModel = inForce.responseModel
	}
	p.services[targetKey(info)] = target
	return target
}

// targetKey is the key of a target among the picker's services. Names of services have no zero byte.
func targetKey(info *state.Rollout) string { return info.Service + "\x00" + info.Target }

// groupOf returns the service that an endpoint belongs to: that of the target of a roll-out in progress, or the one of
// its name.
func (p *Picker) groupOf(info *state.Endpoint) *service {
	r := p.rollouts.inProgress[info.Service]
	if r != nil && info.SoftwareVersion == r.info.Target {
		return r.target
	}
	return p.ensureService(info.Service)
}

// moveTo makes the endpoint one of another service.
func (e *endpoint) moveTo(to *service) {
	if e.service == to {
		return
	}
	e.service.ownersChanged = true
	to.ownersChanged = true
	e.service = to
}
