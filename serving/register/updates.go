package register

import (
	"slices"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/result"
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
// result.VersionConflict and result.VersionNotAbove. A configuration that already is or was in force, byte for byte,
// is no change; where the history is too short to tell, the error is result.RegisterUnclear: what was acknowledged once
// is never refused.
func ReplaceConfiguration(basedOn uint64, configuration state.Configuration) Update {
	return func(record state.Record) (state.Record, error) {
		current := record.Configuration.Version
		switch {
		case record.WasAccepted(configuration.Version, configuration.Digest):
			return record, ErrNoChange
		case basedOn != current && configuration.Version <= record.ForgottenVersion:
			return record, result.RegisterUnclear.With("version %d may have been in force long ago", configuration.Version)
		case basedOn != current:
			return record, result.VersionConflict.With("version %d is current, not %d", current, basedOn)
		case configuration.Version <= current:
			return record, result.VersionNotAbove.With("%d is not above %d", configuration.Version, current)
		}
		record.Configuration = configuration
		accepted := state.Accepted{Version: configuration.Version, Digest: configuration.Digest}
		record.History = append(slices.Clone(record.History), accepted)
		if excess := len(record.History) - state.HistoryLimit; excess > 0 {
			record.ForgottenVersion = record.History[excess-1].Version
			record.History = record.History[excess:]
		}
		return record, nil
	}
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

// unchanged is the update that only makes sure that what is newest is committed.
func unchanged(record state.Record) (state.Record, error) { return record, ErrNoChange }
