package gossip

import "time"

// Spans after which entries leave their tables.
const (
	// TombstoneRetention is how long an entry that says that its key is gone is kept and repaired.
	TombstoneRetention = 60 * time.Second
	// ephemeralSpan is how long an entry of an ephemeral table is kept without a newer one.
	ephemeralSpan = 10 * time.Second
	// graveSpan is how long versions of expired entries are remembered, so that they are not taken in again.
	graveSpan = 20 * time.Minute
	// graveLimit bounds the memory for them.
	graveLimit = 4096
	// sweepInterval is the time between two looks for what has expired.
	sweepInterval = 5 * time.Second
)

// held is an entry in its table.
type held struct {
	entry     Entry
	since     time.Time
	tombstone bool
}

// entryTable holds the newest entry of each key and the sums of their hashes.
type entryTable struct {
	entries map[string]*held
	sum     uint64
	buckets [BucketCount]uint32
}

// put takes in an entry that is newer than the one known.
func (t *entryTable) put(now time.Time, entry Entry, tombstone bool) bool {
	known, ok := t.entries[entry.Key]
	if ok && !known.entry.Version.Less(entry.Version) {
		return false
	}
	if ok {
		t.count(known.entry.Header(), false)
	}
	t.entries[entry.Key] = &held{entry: entry, since: now, tombstone: tombstone}
	t.count(entry.Header(), true)
	return true
}

// remove takes an entry out of the table.
func (t *entryTable) remove(key string) (*held, bool) {
	known, ok := t.entries[key]
	if !ok {
		return nil, false
	}
	t.count(known.entry.Header(), false)
	delete(t.entries, key)
	return known, true
}

// count adds an entry to the digests or takes it out.
func (t *entryTable) count(heading Header, add bool) {
	hash := heading.hash()
	bucket := &t.buckets[bucketOf(heading.Key)]
	if add {
		t.sum += hash
		*bucket += uint32(hash)
		return
	}
	t.sum -= hash
	*bucket -= uint32(hash)
}

// grave is what is left of an entry that has expired.
type grave struct {
	entry Entry
	since time.Time
}

// graves remembers expired entries, so that a member that missed their end cannot bring them back.
type graves struct {
	byID map[entryID]grave
}

func newGraves() graves { return graves{byID: map[entryID]grave{}} }

// covers tells whether an entry of this version is known to have expired.
func (g *graves) covers(id entryID, version Version) bool {
	found, ok := g.byID[id]
	return ok && !found.entry.Version.Less(version)
}

// add remembers an expired entry.
func (g *graves) add(now time.Time, entry Entry) {
	if len(g.byID) >= graveLimit {
		g.dropOldest()
	}
	g.byID[entry.Header().id()] = grave{entry: entry, since: now}
}

func (g *graves) dropOldest() {
	var oldest entryID
	var since time.Time
	for id, found := range g.byID {
		if since.IsZero() || found.since.Before(since) {
			oldest, since = id, found.since
		}
	}
	delete(g.byID, oldest)
}

// sweep forgets what has been remembered long enough.
func (g *graves) sweep(now time.Time) {
	for id, found := range g.byID {
		if now.Sub(found.since) >= graveSpan {
			delete(g.byID, id)
		}
	}
}

// Forget takes an entry out and refuses it from others for a long time, as long as none is newer.
func (e *Engine) Forget(now time.Time, table TableID, key string) {
	if removed, ok := e.tables[table].remove(key); ok {
		e.graves.add(now, removed.entry)
	}
}

// sweep expires tombstones and ephemeral entries.
func (e *Engine) sweep(now time.Time) {
	if now.Before(e.sweepAt) {
		return
	}
	e.sweepAt = now.Add(sweepInterval)
	for i := range e.tables {
		ephemeral := TableID(i).isEphemeral()
		for key, found := range e.tables[i].entries {
			age := now.Sub(found.since)
			if ephemeral && age >= ephemeralSpan {
				e.tables[i].remove(key)
			}
			if found.tombstone && age >= TombstoneRetention {
				e.Forget(now, TableID(i), key)
			}
		}
	}
	e.graves.sweep(now)
	for id, asked := range e.requested {
		if now.After(asked.until) {
			delete(e.requested, id)
		}
	}
}

// ExpiredVersion returns the version under which a key left its table, as long as that is remembered.
func (e *Engine) ExpiredVersion(table TableID, key string) (Version, bool) {
	found, ok := e.graves.byID[entryID{table: table, key: key}]
	return found.entry.Version, ok
}
