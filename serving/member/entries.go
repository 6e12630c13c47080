package member

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

// memberEntry returns a member as a gossip entry.
func memberEntry(member state.Member) (gossip.Entry, error) {
	version := gossip.NewVersion(member.Incarnation, member.Sequence)
	return encode(gossip.TableMembers, member.Name, version, member)
}

// suspicionEntry returns a suspicion as a gossip entry.
func suspicionEntry(suspicion membership.Suspicion) (gossip.Entry, error) {
	version := gossip.NewVersion(suspicion.WatcherIncarnation, suspicion.Revision)
	return encode(gossip.TableSuspicions, suspicion.Key(), version, suspicion)
}

// claimEntry returns a claim of a singleton role as a gossip entry.
func claimEntry(claim singleton.Claim) (gossip.Entry, error) {
	return encode(gossip.TableRoleClaims, claim.Role, gossip.NewVersion(claim.Epoch, 0), claim)
}

// encode returns an entry with the CBOR encoding of a value.
func encode(table gossip.TableID, key string, version gossip.Version, value any) (gossip.Entry, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return gossip.Entry{}, errors.Wrapf(err, "encode entry %q", key)
	}
	return gossip.Entry{Table: table, Key: key, Version: version, Value: data}, nil
}

// decode returns the decoded value of an entry.
func decode[Value any](entry gossip.Entry) (value Value, err error) {
	err = cbor.Unmarshal(entry.Value, &value)
	return value, errors.Wrapf(err, "decode entry %q", entry.Key)
}

// endpointState decodes only the State field of an encoded state.Endpoint, with that field's key. It shows whether the
// endpoint has departed.
type endpointState struct {
	State state.EndpointState `cbor:"7,keyasint"`
}

// isTombstone reports whether an entry is a tombstone, which marks its key as deleted: a member that has left, an endpoint
// that has departed, or a suspicion that was withdrawn.
func isTombstone(entry gossip.Entry) bool {
	switch entry.Table {
	case gossip.TableMembers:
		member, err := decode[state.Member](entry)
		return err == nil && member.State == state.MemberLeft
	case gossip.TableEndpoints:
		endpoint, err := decode[endpointState](entry)
		return err == nil && endpoint.State == state.EndpointDeparted
	case gossip.TableSuspicions:
		suspicion, err := decode[membership.Suspicion](entry)
		return err == nil && suspicion.Withdrawn
	default:
		return false
	}
}
