package register

import (
	"slices"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

// Update computes the record that follows another one. It returns ErrNoChange where the record already is as wanted,
// or another error to refuse. It may be called several times and must not alter what the record's slices hold.
// Revision and Replicas.Epoch are set by the register.
type Update func(state.Record) (state.Record, error)

// ErrNoChange is what an update returns where nothing has to change; Change then succeeds.
var ErrNoChange = errors.New("no change")

// ErrFence is what an update returns where nothing has to change, and nothing that was proposed before may change it
// later. Change then writes the record once more under its own ballot, which shuts out whatever a minority has
// accepted, and succeeds. Orders need it that carry no version: a begin that was given up must not follow its end.
var ErrFence = errors.New("no change, and none of earlier proposals")

// ReplaceConfiguration puts a configuration in force that builds on version basedOn (0: on none). The refusals are
// errcode.VersionConflict and errcode.VersionNotAbove. A configuration that already is or was in force, byte for byte,
// is no change; where the history is too short to tell, the error is errcode.RegisterInDoubt: what was acknowledged once
// is never refused.
func ReplaceConfiguration(basedOn uint64, configuration state.Configuration) Update {
	order := state.AppliedUpdate{Version: configuration.Version, Digest: configuration.Digest}
	return func(record state.Record) (state.Record, error) {
		current := &record.Configuration
		if current.Version == configuration.Version && current.Digest == configuration.Digest {
			return record, ErrNoChange // an amendment may have made it
		}
		if err := checkBase(&record, basedOn, order); err != nil {
			return record, err
		}
		return withConfiguration(record, configuration, order), nil
	}
}

// AmendConfiguration puts the configuration in force that amend makes of version basedOn, as ReplaceConfiguration does.
// The order is known again by its number and its own digest, not by the document that came of it. What amend refuses
// with, the change is refused with. Amend may be called several times.
func AmendConfiguration(basedOn uint64, order state.AppliedUpdate,
	amend func(state.Configuration) (state.Configuration, error)) Update {
	return func(record state.Record) (state.Record, error) {
		if err := checkBase(&record, basedOn, order); err != nil {
			return record, err
		}
		configuration, err := amend(record.Configuration)
		if err != nil {
			return record, err
		}
		return withConfiguration(record, configuration, order), nil
	}
}

// checkBase tells why an order on version basedOn can't be carried out: ErrNoChange where it was before.
func checkBase(record *state.Record, basedOn uint64, order state.AppliedUpdate) error {
	current := record.Configuration.Version
	switch {
	case record.WasApplied(order.Version, order.Digest):
		return ErrNoChange
	case basedOn != current && order.Version <= record.TruncatedVersion:
		return errcode.RegisterInDoubt.With("version %d may have been in force long ago", order.Version)
	case basedOn != current:
		return errcode.VersionConflict.With("version %d is current, not %d", current, basedOn)
	case order.Version <= current:
		return errcode.VersionNotAbove.With("%d is not above %d", order.Version, current)
	}
	return nil
}

// withConfiguration is the record with the configuration that an order has put in force.
func withConfiguration(record state.Record, configuration state.Configuration, order state.AppliedUpdate) state.Record {
	record.Configuration = configuration
	record.History = append(slices.Clone(record.History), order)
	if excess := len(record.History) - state.MaxHistory; excess > 0 {
		record.TruncatedVersion = record.History[excess-1].Version
		record.History = record.History[excess:]
	}
	return record
}

// SetEvacuation begins or ends the evacuation of a zone. Where the record is as wanted, it is fenced.
func SetEvacuation(zone string, active bool) Update {
	return func(record state.Record) (state.Record, error) {
		if record.Evacuated(zone) == active {
			return record, ErrFence
		}
		order := state.Evacuation{Zone: zone, Active: active, Revision: record.Revision + 1}
		orders := slices.Clone(record.Evacuations)
		position := slices.IndexFunc(orders, func(e state.Evacuation) bool { return e.Zone == zone })
		if position < 0 {
			record.Evacuations = append(orders, order)
			return record, nil
		}
		orders[position] = order
		record.Evacuations = orders
		return record, nil
	}
}

// confirmOnly is the update that only makes sure that what is newest is committed.
func confirmOnly(record state.Record) (state.Record, error) { return record, ErrNoChange }
