package gossip

import "time"

// storedEntry is an entry in its table, with the time at which it was stored.
type storedEntry struct {
	entry       Entry
	storedAt    time.Time
	isTombstone bool
}

// entryTable holds the newest entry of each key. For digests, it also holds the sum of all entries' hashes and the sums
// by bucket.
type entryTable struct {
	entries map[string]*storedEntry
	sum     uint64
	buckets [BucketCount]uint32
}

// put stores an entry if it is newer than the stored one of its key, and reports whether it did.
func (t *entryTable) put(now time.Time, entry Entry, isTombstone bool) bool {
	stored, ok := t.entries[entry.Key]
	if ok && !stored.entry.Version.Less(entry.Version) {
		return false
	}
	if ok {
		t.subtractHash(stored.entry.Header())
	}
	t.entries[entry.Key] = &storedEntry{
		entry:       entry,
		storedAt:    now,
		isTombstone: isTombstone,
	}
	t.addHash(entry.Header())
	return true
}

// remove removes and returns the entry of a key.
func (t *entryTable) remove(key string) (*storedEntry, bool) {
	stored, ok := t.entries[key]
	if !ok {
		return nil, false
	}
	t.subtractHash(stored.entry.Header())
	delete(t.entries, key)
	return stored, true
}

func (t *entryTable) addHash(header Header) {
	hash := header.hash()
	t.sum += hash
	t.buckets[bucketOfKey(header.Key)] += uint32(hash)
}

func (t *entryTable) subtractHash(header Header) {
	hash := header.hash()
	t.sum -= hash
	t.buckets[bucketOfKey(header.Key)] -= uint32(hash)
}
