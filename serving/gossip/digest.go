package gossip

import (
	"cmp"
	"slices"
)

// BucketCount is the number of buckets into which the keys of a table are divided for comparison.
const BucketCount = 32

// repairedTables lists the tables that anti-entropy compares, in the order of their checksums in a Summary.
var repairedTables = [...]TableID{TableRecord, TableMembers, TableEndpoints, TableSuspicions, TableRoleClaims}

// Summary holds one checksum for each of repairedTables. Equal tables have equal checksums.
type Summary []uint32

// Summary returns the checksums of the local tables.
func (e *Engine) Summary() Summary {
	summary := make(Summary, len(repairedTables))
	for i, table := range repairedTables {
		sum := e.tables[table].sum
		summary[i] = uint32(sum>>32) ^ uint32(sum)
	}
	return summary
}

// DifferingTables returns the tables whose checksums differ from those in another member's summary.
func (e *Engine) DifferingTables(theirs Summary) (tables []TableID) {
	ours := e.Summary()
	for i, table := range repairedTables {
		if i < len(theirs) && theirs[i] != ours[i] {
			tables = append(tables, table)
		}
	}
	return tables
}

// TableDigest holds the checksums of a table's buckets.
type TableDigest struct {
	_     struct{} `cbor:",toarray"`
	Table TableID
	Sums  []uint32
}

// Digest returns the bucket checksums of the given tables, or of all repaired tables if none is given.
func (e *Engine) Digest(tables []TableID) (digest []TableDigest) {
	if len(tables) == 0 {
		tables = repairedTables[:]
	}
	for _, table := range tables {
		if table.IsValid() && !table.isEphemeral() {
			digest = append(digest, TableDigest{Table: table, Sums: slices.Clone(e.tables[table].buckets[:])})
		}
	}
	return digest
}

// BucketContents lists the entries of one bucket of a table.
type BucketContents struct {
	_       struct{} `cbor:",toarray"`
	Table   TableID
	Bucket  int
	Headers []Header `cbor:"Headings"`
}

// ListDifferingBuckets returns the local contents of the buckets whose checksums differ from another member's digests.
func (e *Engine) ListDifferingBuckets(theirs []TableDigest) (listings []BucketContents) {
	for _, digest := range theirs {
		if !digest.Table.IsValid() || digest.Table.isEphemeral() || len(digest.Sums) != BucketCount {
			continue
		}
		local := &e.tables[digest.Table]
		var listingOf [BucketCount]int // by bucket: its index in listings plus one
		for bucket, sum := range digest.Sums {
			if local.buckets[bucket] != sum {
				listings = append(listings, BucketContents{Table: digest.Table, Bucket: bucket})
				listingOf[bucket] = len(listings)
			}
		}
		for key, stored := range local.entries {
			if index := listingOf[bucketOfKey(key)]; index > 0 {
				listing := &listings[index-1]
				listing.Headers = append(listing.Headers, stored.entry.Header())
			}
		}
	}
	for _, listing := range listings {
		slices.SortFunc(listing.Headers, func(a, b Header) int { return cmp.Compare(a.Key, b.Key) })
	}
	return listings
}

// Comparison is the result of comparing buckets with another member.
type Comparison struct {
	Send    []Entry  // entries that are missing or older at the other member
	Missing []Header // entries that are missing or older here
	Expired []Header // entries that have expired here but not at the other member
}

// CompareBuckets compares another member's differing buckets with the local ones.
func (e *Engine) CompareBuckets(theirs []BucketContents) (comparison Comparison) {
	for _, listing := range theirs {
		if !listing.Table.IsValid() || listing.Table.isEphemeral() {
			continue
		}
		known := make(map[string]Version, len(listing.Headers))
		for _, header := range listing.Headers {
			if header.Table != listing.Table {
				continue
			}
			known[header.Key] = header.Version
			switch {
			case e.expired.hasExpired(header.id(), header.Version):
				comparison.Expired = append(comparison.Expired, header)
			case e.isMissing(header):
				comparison.Missing = append(comparison.Missing, header)
			}
		}
		comparison.Send = append(comparison.Send, e.entriesNewerThan(listing.Table, listing.Bucket, known)...)
	}
	return comparison
}

// entriesNewerThan returns the entries of a bucket that another member lacks or has in older versions, given the
// versions that it has. This includes tombstones that have expired here, for keys of which the other member still has
// an older version.
func (e *Engine) entriesNewerThan(table TableID, bucket int, known map[string]Version) (entries []Entry) {
	for key, stored := range e.tables[table].entries {
		if bucketOfKey(key) != bucket {
			continue
		}
		if version, ok := known[key]; !ok || version.Less(stored.entry.Version) {
			entries = append(entries, stored.entry)
		}
	}
	for key, version := range known {
		expired, ok := e.expired.byID[entryID{table: table, key: key}]
		if ok && version.Less(expired.entry.Version) && e.options.IsTombstone(expired.entry) {
			entries = append(entries, expired.entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}
