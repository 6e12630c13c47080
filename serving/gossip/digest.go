package gossip

import (
	"slices"
	"time"
)

// BucketCount is the number of parts into which a table is divided for comparison.
const BucketCount = 32

// repaired lists the tables that are compared, in the order of their sums in a Summary.
var repaired = [...]TableID{TableRecord, TableMembers, TableEndpoints, TableSuspicions, TableRoleClaims}

// Summary holds one sum for each repaired table. Equal tables have equal sums.
type Summary []uint32

// Summary sums up what is known.
func (e *Engine) Summary() Summary {
	summary := make(Summary, len(repaired))
	for i, table := range repaired {
		sum := e.tables[table].sum
		summary[i] = uint32(sum>>32) ^ uint32(sum)
	}
	return summary
}

// DifferingTables returns the tables whose sums differ from those of another member.
func (e *Engine) DifferingTables(theirs Summary) (tables []TableID) {
	ours := e.Summary()
	for i, table := range repaired {
		if i < len(theirs) && theirs[i] != ours[i] {
			tables = append(tables, table)
		}
	}
	return tables
}

// TableDigest holds the sums of a table's buckets.
type TableDigest struct {
	_     struct{} `cbor:",toarray"`
	Table TableID
	Sums  []uint32
}

// Digest returns the sums of all buckets of the tables; of all repaired tables where none is named.
func (e *Engine) Digest(tables []TableID) (digest []TableDigest) {
	if len(tables) == 0 {
		tables = repaired[:]
	}
	for _, table := range tables {
		if table.IsValid() && !table.isEphemeral() {
			digest = append(digest, TableDigest{Table: table, Sums: slices.Clone(e.tables[table].buckets[:])})
		}
	}
	return digest
}

// BucketContents names a bucket and all that it holds.
type BucketContents struct {
	_        struct{} `cbor:",toarray"`
	Table    TableID
	Bucket   int
	Headings []Header
}

// ListDifferingBuckets returns the own contents of the buckets that differ from another member's digest.
func (e *Engine) ListDifferingBuckets(theirs []TableDigest) (listings []BucketContents) {
	for _, digest := range theirs {
		if !digest.Table.IsValid() || digest.Table.isEphemeral() || len(digest.Sums) != BucketCount {
			continue
		}
		own := &e.tables[digest.Table]
		var differing [BucketCount]int // index of the listing plus one
		for bucket, sum := range digest.Sums {
			if own.buckets[bucket] != sum {
				listings = append(listings, BucketContents{Table: digest.Table, Bucket: bucket})
				differing[bucket] = len(listings)
			}
		}
		for key, found := range own.entries {
			if index := differing[bucketOf(key)]; index > 0 {
				listing := &listings[index-1]
				listing.Headings = append(listing.Headings, found.entry.Header())
			}
		}
	}
	return listings
}

// Comparison is what comes out of another member's listings.
type Comparison struct {
	Send    []Entry  // the other member lacks them or has older ones
	Missing []Header // the other member has newer ones
	Expired []Header // the other member still has what has expired here
}

// CompareBuckets takes another member's listings.
func (e *Engine) CompareBuckets(theirs []BucketContents) (found Comparison) {
	for _, listing := range theirs {
		if !listing.Table.IsValid() || listing.Table.isEphemeral() {
			continue
		}
		known := make(map[string]Version, len(listing.Headings))
		for _, heading := range listing.Headings {
			if heading.Table != listing.Table {
				continue
			}
			known[heading.Key] = heading.Version
			switch {
			case e.graves.covers(heading.id(), heading.Version):
				found.Expired = append(found.Expired, heading)
			case e.lacks(heading):
				found.Missing = append(found.Missing, heading)
			}
		}
		found.Send = append(found.Send, e.newerThan(listing.Table, listing.Bucket, known)...)
	}
	return found
}

// ExpiredHeaders returns those of the entries that have expired here.
func (e *Engine) ExpiredHeaders(entries []Entry) (expired []Header) {
	for _, entry := range entries {
		if heading := entry.Header(); e.graves.covers(heading.id(), heading.Version) {
			expired = append(expired, heading)
		}
	}
	return expired
}

// ExpireTombstone forgets a tombstone that has expired at another member, so that the two know the same again.
func (e *Engine) ExpireTombstone(now time.Time, heading Header) {
	if !heading.Table.IsValid() {
		return
	}
	found, ok := e.tables[heading.Table].entries[heading.Key]
	if ok && found.tombstone && !heading.Version.Less(found.entry.Version) {
		e.Forget(now, heading.Table, heading.Key)
	}
}

// newerThan returns the entries of a bucket that are newer than the versions given or not among them. An entry
// that has expired here is sent to a member that still has an older one.
func (e *Engine) newerThan(table TableID, bucket int, known map[string]Version) (entries []Entry) {
	for key, found := range e.tables[table].entries {
		if bucketOf(key) != bucket {
			continue
		}
		if version, ok := known[key]; !ok || version.Less(found.entry.Version) {
			entries = append(entries, found.entry)
		}
	}
	for key, version := range known {
		expired, ok := e.graves.byID[entryID{table: table, key: key}]
		if ok && version.Less(expired.entry.Version) && e.options.IsTombstone(expired.entry) {
			entries = append(entries, expired.entry)
		}
	}
	return entries
}
