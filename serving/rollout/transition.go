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
	Duration time.Duration // from the order in which it is to be done
}

// Begin returns an update that begins the ordered roll-out. An order that is being carried out, or was, is no change.
//
// isRecent reports whether a roll-out that was rolled back had been ordered so short a time ago that the order may be the
// same one, sent again. It gets the roll-out's OrderRevision. checkService returns why the configuration has no such
// service; the update is rejected with that error.
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

// mayBeginAgain reports whether an order for the target of an earlier roll-out is a new one.
func mayBeginAgain(known *state.Rollout, isRecent func(orderRevision uint64) bool) bool {
	return known.State == state.RolloutRolledBack && !isRecent(known.OrderRevision)
}

// withoutVersion returns a copy of the list without a version.
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
	Revision uint64 // of the roll-out that the change is based on
	Elapsed  time.Duration
	Decision Decision
	// Replaced are the software versions that a promotion retires.
	Replaced []string
}

// Apply is the register.Update of the transition. If the roll-out was changed since Revision, it is no change.
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
