package register

import (
	"slices"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

// Update computes the record that follows the given one (the change function of CASPaxos §2.2). It returns ErrNoChange
// if the record already is as wanted, or another error to reject the change. It may be called several times, and must
// not modify the slices of the given record. The register sets Revision and Voters.Epoch.
type Update func(state.Record) (state.Record, error)

// ErrNoChange is returned by an Update if the record already is as wanted. Change then succeeds.
var ErrNoChange = errors.New("no change")

// ErrFence is returned by an Update if the record already is as wanted and no unfinished earlier proposal may change it
// later. Change then has the record accepted again under its own ballot, so that proposals that only a minority has
// accepted can't be committed any more, and succeeds. Updates without a base version need it: otherwise an abandoned
// begin of an evacuation could take effect after the end of that evacuation.
var ErrFence = errors.New("no change, and earlier proposals must not take effect")

// ReplaceConfiguration returns an update that replaces the configuration of version basedOn (0: none yet).
//
// The update is rejected with errcode.VersionConflict if another version than basedOn is current, and with
// errcode.VersionNotAbove if the new version isn't above the current one. A configuration that is or was in force, byte
// for byte, is no change. If the record's history is too short to tell, the error is errcode.ChangeForgotten, which
// leaves open whether the update was applied: an update that was acknowledged must never be reported as rejected.
func ReplaceConfiguration(basedOn uint64, configuration state.Configuration) Update {
	applied := state.AppliedUpdate{Version: configuration.Version, Digest: configuration.Digest}
	return func(record state.Record) (state.Record, error) {
		current := &record.Configuration
		if current.Version == configuration.Version && current.Digest == configuration.Digest {
			// An amendment may have produced this configuration; the history then has the amendment's digest instead.
			return record, ErrNoChange
		}
		if err := checkBase(&record, basedOn, applied); err != nil {
			return record, err
		}
		return withConfiguration(record, configuration, applied), nil
	}
}

// AmendConfiguration returns an update that replaces the configuration of version basedOn by the result of amend. A
// repeated amendment is recognized by the version and digest in applied, not by those of the resulting document. The
// update returns the same errors as that of ReplaceConfiguration, and those of amend, which may be called several
// times.
func AmendConfiguration(
	basedOn uint64,
	applied state.AppliedUpdate,
	amend func(state.Configuration) (state.Configuration, error),
) Update {
	return func(record state.Record) (state.Record, error) {
		if err := checkBase(&record, basedOn, applied); err != nil {
			return record, err
		}
		configuration, err := amend(record.Configuration)
		if err != nil {
			return record, err
		}
		return withConfiguration(record, configuration, applied), nil
	}
}

// checkBase returns nil if an update based on a version can be applied to the record, ErrNoChange if it was applied
// before, and otherwise why it is rejected.
func checkBase(record *state.Record, basedOn uint64, applied state.AppliedUpdate) error {
	current := record.Configuration.Version
	switch {
	case record.WasApplied(applied.Version, applied.Digest):
		return ErrNoChange
	case basedOn != current && record.MayBeForgotten(applied.Version):
		return errcode.ChangeForgotten.With("version %d; the history begins after version %d",
			applied.Version, max(record.ForgottenVersion, record.TruncatedVersion))
	case basedOn != current:
		return errcode.VersionConflict.With("version %d is current, not %d", current, basedOn)
	case applied.Version <= current:
		return errcode.VersionNotAbove.With("%d is not above %d", applied.Version, current)
	}
	return nil
}

// withConfiguration returns the record with a new configuration, and with the update that produced it added to the
// history.
func withConfiguration(
	record state.Record, configuration state.Configuration, applied state.AppliedUpdate,
) state.Record {
	record.Configuration = configuration
	record.AddToHistory(applied)
	return record
}

// SetEvacuation returns an update that begins or ends the evacuation of a zone. It returns ErrFence if the zone already
// is in that state.
func SetEvacuation(zone string, active bool) Update {
	return func(record state.Record) (state.Record, error) {
		if record.Evacuated(zone) == active {
			return record, ErrFence
		}
		evacuation := state.Evacuation{Zone: zone, Active: active, Revision: record.Revision + 1}
		evacuations := slices.Clone(record.Evacuations)
		position := slices.IndexFunc(evacuations, func(e state.Evacuation) bool { return e.Zone == zone })
		if position < 0 {
			record.Evacuations = append(evacuations, evacuation)
			return record, nil
		}
		evacuations[position] = evacuation
		record.Evacuations = evacuations
		return record, nil
	}
}

// confirmOnly is an update that changes nothing: a change with it only ensures that the newest record is committed.
func confirmOnly(record state.Record) (state.Record, error) { return record, ErrNoChange }
