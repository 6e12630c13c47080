package rollout

import (
	"time"

	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// Order is an operator's order to move a service's traffic to a software version.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration // the time from the order in which the roll-out is to end
}

// Begin returns an update that begins the ordered roll-out. The update returns register.ErrNoChange if the service's newest
// roll-out has the same target and is in progress, was promoted, or was rolled back and is recent.
//
// isRecent gets the OrderRevision of a roll-out and reports whether it was ordered so short a time ago that the new order
// may be the same one, sent again. checkService returns an error if the configuration doesn't have the service; the update
// then returns this error.
func Begin(order Order, isRecent func(orderRevision uint64) bool, checkService func(state.Configuration) error) register.Update {
	return func(record state.Record) (state.Record, error) {
		known, found := record.Rollout(order.Service)
		if found && known.Target == order.Target && !mayBeginAgain(&known, isRecent) {
			return record, register.ErrNoChange
		}
		if err := checkService(record.Configuration); err != nil {
			return record, err
		}
		if found && known.State == state.RolloutInProgress {
			known.Retire(known.Target)
		}
		next := state.Rollout{
			Service:        order.Service,
			Target:         order.Target,
			State:          state.RolloutInProgress,
			Step:           state.RolloutCanary,
			DurationMillis: order.Duration.Milliseconds(),
			OrderRevision:  record.Revision + 1,
			Revision:       record.Revision + 1,
		}
		next.Retired = withoutVersion(known.Retired, order.Target)
		record.SetRollout(next)
		return record, nil
	}
}

// mayBeginAgain reports whether an order with the same target as the newest roll-out is a new order, not a repeat of the
// one that began it.
func mayBeginAgain(known *state.Rollout, isRecent func(orderRevision uint64) bool) bool {
	return known.State == state.RolloutRolledBack && !isRecent(known.OrderRevision)
}

// withoutVersion returns a copy of the versions without one of them.
func withoutVersion(versions []string, version string) (others []string) {
	for _, known := range versions {
		if known != version {
			others = append(others, known)
		}
	}
	return others
}

// Transition is a proposed change of a roll-out in progress.
type Transition struct {
	Service  string
	Revision uint64        // revision of the roll-out that the change is based on
	Elapsed  time.Duration // since the order
	Decision Decision
	// Replaced are the software versions that a promotion retires.
	Replaced []string
}

// Apply is the register.Update of the transition. It returns register.ErrNoChange if the roll-out has changed since
// Revision or the action isn't possible in its state and step.
func (t Transition) Apply(record state.Record) (state.Record, error) {
	next, found := record.Rollout(t.Service)
	if !found || next.State != state.RolloutInProgress || next.Revision != t.Revision {
		return record, register.ErrNoChange
	}
	switch t.Decision.Action {
	case Advance:
		if next.Step == state.RolloutFull {
			return record, register.ErrNoChange
		}
		next.Step++
	case Promote:
		if next.Step != state.RolloutFull {
			return record, register.ErrNoChange
		}
		next.State = state.RolloutPromoted
		for _, version := range t.Replaced {
			next.Retire(version)
		}
		next.Retired = withoutVersion(next.Retired, next.Target)
	case RollBack:
		next.State = state.RolloutRolledBack
		next.Retire(next.Target)
	default:
		return record, register.ErrNoChange
	}
	next.Verdict = t.Decision.Verdict
	next.Revision = record.Revision + 1
	next.ElapsedMillis = max(next.ElapsedMillis, t.Elapsed.Milliseconds())
	record.SetRollout(next)
	return record, nil
}
