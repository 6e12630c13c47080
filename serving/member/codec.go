package member

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rowanlink/serving/duty"
	"rowanlink/serving/membership"
	"rowanlink/serving/spread"
	"rowanlink/serving/state"
)

// memberEntry is a member's word on itself as it is spread.
func memberEntry(member state.Member) (spread.Entry, error) {
	version := spread.NewVersion(member.Incarnation, member.Sequence)
	return encode(spread.TableMembers, member.Name, version, member)
}

// suspicionEntry is a watcher's word as it is spread.
func suspicionEntry(word membership.Suspicion) (spread.Entry, error) {
	version := spread.NewVersion(word.WatcherIncarnation, word.Count)
	return encode(spread.TableSuspicions, word.Key(), version, word)
}

// claimEntry is the word of a duty's holder as it is spread.
func claimEntry(claim duty.Claim) (spread.Entry, error) {
	return encode(spread.TableDuties, claim.Duty, spread.NewVersion(claim.Epoch, 0), claim)
}

func encode(table spread.Table, key string, version spread.Version, value any) (spread.Entry, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return spread.Entry{}, errors.Wrapf(err, "encode entry %q", key)
	}
	return spread.Entry{Table: table, Key: key, Version: version, Value: data}, nil
}

// decode reads the value of an entry.
func decode[Value any](entry spread.Entry) (value Value, err error) {
	err = cbor.Unmarshal(entry.Value, &value)
	return value, errors.Wrapf(err, "decode entry %q", entry.Key)
}

// endpointEnd is the part of a state.Endpoint that tells whether it has ended.
type endpointEnd struct {
	State state.EndpointState `cbor:"7,keyasint"`
}

// isTombstone tells whether an entry says that its key is gone.
func isTombstone(entry spread.Entry) bool {
	switch entry.Table {
	case spread.TableMembers:
		member, err := decode[state.Member](entry)
		return err == nil && member.State == state.MemberLeft
	case spread.TableEndpoints:
		endpoint, err := decode[endpointEnd](entry)
		return err == nil && endpoint.State == state.Gone
	case spread.TableSuspicions:
		word, err := decode[membership.Suspicion](entry)
		return err == nil && word.Withdrawn
	default:
		return false
	}
}
