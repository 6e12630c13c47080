// Package gossip replicates tables of versioned entries between the members of the system. A new entry is pushed at
// once to a few peers, which push it to others (rumor mongering). Entries that were lost on the way are found by
// comparing digests (anti-entropy). Both follow Demers et al., Epidemic Algorithms for Replicated Database Maintenance,
// 1987. The package does no I/O and reads no clock: the current time is an argument, and messages are returned as
// values for the caller to send.
package gossip

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// TableID identifies a table, which holds one kind of entry. The numbers are part of the wire format.
type TableID uint8

// The replicated tables.
const (
	TableRecord     TableID = iota + 1 // the committed record, under RecordKey
	TableMembers                       // state.Member by name
	TableEndpoints                     // state.Endpoint by ID
	TableLoads                         // state.Load by endpoint ID; ephemeral
	TableSuspicions                    // membership.Suspicion by its key
	TableRoleClaims                    // singleton.Claim by role

	tableCount = int(TableRoleClaims) + 1
)

// RecordKey is the key of the only entry of TableRecord. Its version is the record's revision.
const RecordKey = "record"

// IsValid reports whether the number identifies a table. A number received from another member may be invalid.
func (t TableID) IsValid() bool { return t >= TableRecord && int(t) < tableCount }

// isEphemeral reports whether the table's entries are sent within the region only, expire after ephemeralLifetime, and
// are neither repaired nor retried.
func (t TableID) isEphemeral() bool { return t == TableLoads }

// Version orders the entries of one key, by Major and then Minor. Entries of the same key and version are equal.
type Version struct {
	_     struct{} `cbor:",toarray"`
	Major uint64
	Minor uint64
}

// NewVersion returns the version with the given numbers.
func NewVersion(major, minor uint64) Version { return Version{Major: major, Minor: minor} }

// Less reports whether the version is older than another.
func (v Version) Less(other Version) bool {
	if v.Major != other.Major {
		return v.Major < other.Major
	}
	return v.Minor < other.Minor
}

// Entry is one version of the value of a key in a table.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Table   TableID
	Key     string
	Version Version
	Value   []byte
}

// Header is an entry without its value.
type Header struct {
	_       struct{} `cbor:",toarray"`
	Table   TableID
	Key     string
	Version Version
}

// Header returns the entry without its value.
func (e Entry) Header() Header { return Header{Table: e.Table, Key: e.Key, Version: e.Version} }

// id returns the entryID, which all versions of an entry share.
func (h Header) id() entryID { return entryID{table: h.Table, key: h.Key} }

// entryID identifies an entry independently of its version.
type entryID struct {
	table TableID
	key   string
}

// compare orders entries by table and key.
func (id entryID) compare(other entryID) int {
	return cmp.Or(cmp.Compare(id.table, other.table), cmp.Compare(id.key, other.key))
}

// hash returns the hash that the entry adds to the sums in its table's digests. It depends on the table, the key and
// the version.
func (h Header) hash() uint64 {
	var numbers [17]byte
	numbers[0] = byte(h.Table)
	binary.LittleEndian.PutUint64(numbers[1:], h.Version.Major)
	binary.LittleEndian.PutUint64(numbers[9:], h.Version.Minor)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(numbers[:]) // never fails
	_, _ = digest.WriteString(h.Key)
	return digest.Sum64()
}

// bucketOfKey returns the index of the digest bucket of a key.
func bucketOfKey(key string) int { return int(xxhash.Sum64String(key) % BucketCount) }
