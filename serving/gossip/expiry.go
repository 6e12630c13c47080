package gossip

import "time"

// Times after which entries are removed, and limits of expired entries.
const (
	// TombstoneRetention is how long a tombstone is stored and repaired.
	TombstoneRetention = 60 * time.Second
	// ephemeralLifetime is how long an entry of an ephemeral table is stored unless a newer one arrives.
	ephemeralLifetime = 10 * time.Second
	// expiredRetention is how long expired entries are retained, so that they are not stored again. maxExpiredEntries
	// is their maximum number.
	expiredRetention  = 20 * time.Minute
	maxExpiredEntries = 4096
	// sweepInterval is the minimum time between two sweeps, which remove expired entries.
	sweepInterval = 5 * time.Second
)

// expiredEntry is an entry that was removed from its table.
type expiredEntry struct {
	entry     Entry
	expiredAt time.Time
}

// expiredEntries retains expired entries, so that a member that has missed a tombstone can't bring a deleted key back.
type expiredEntries struct {
	byID map[entryID]expiredEntry
}

func newExpiredEntries() expiredEntries { return expiredEntries{byID: map[entryID]expiredEntry{}} }

// hasExpired reports whether this version of an entry, or a newer one, is known to have expired.
func (x *expiredEntries) hasExpired(id entryID, version Version) bool {
	expired, ok := x.byID[id]
	return ok && !expired.entry.Version.Less(version)
}

// add adds an expired entry, and removes the oldest one if there are maxExpiredEntries already.
func (x *expiredEntries) add(now time.Time, entry Entry) {
	if len(x.byID) >= maxExpiredEntries {
		x.removeOldest()
	}
	x.byID[entry.Header().id()] = expiredEntry{entry: entry, expiredAt: now}
}

func (x *expiredEntries) removeOldest() {
	var oldestID entryID
	var oldest time.Time
	for id, expired := range x.byID {
		if oldest.IsZero() || expired.expiredAt.Before(oldest) {
			oldestID = id
			oldest = expired.expiredAt
		}
	}
	delete(x.byID, oldestID)
}

// sweep removes the entries that have been retained for expiredRetention.
func (x *expiredEntries) sweep(now time.Time) {
	for id, expired := range x.byID {
		if now.Sub(expired.expiredAt) >= expiredRetention {
			delete(x.byID, id)
		}
	}
}

// Expire removes a key's entry and retains it as expired, so that only a newer entry of the key is stored.
func (e *Engine) Expire(now time.Time, table TableID, key string) {
	if removed, ok := e.tables[table].remove(key); ok {
		e.expired.add(now, removed.entry)
	}
}

// ExpiredVersion returns the version of a key's retained expired entry, if there is one.
func (e *Engine) ExpiredVersion(table TableID, key string) (Version, bool) {
	expired, ok := e.ExpiredEntry(table, key)
	return expired.Version, ok
}

// ExpiredEntry returns the retained expired entry of a key, if there is one.
func (e *Engine) ExpiredEntry(table TableID, key string) (Entry, bool) {
	expired, ok := e.expired.byID[entryID{table: table, key: key}]
	return expired.entry, ok
}

// ExpiredHeaders returns the headers of those of the given entries that have expired here.
func (e *Engine) ExpiredHeaders(entries []Entry) (expired []Header) {
	for _, entry := range entries {
		header := entry.Header()
		if e.expired.hasExpired(header.id(), header.Version) {
			expired = append(expired, header)
		}
	}
	return expired
}

// ExpireTombstone expires a tombstone that has expired at another member, so that both members have equal digests
// again.
func (e *Engine) ExpireTombstone(now time.Time, header Header) {
	if !header.Table.IsValid() {
		return
	}
	stored, ok := e.tables[header.Table].entries[header.Key]
	if ok && stored.isTombstone && !header.Version.Less(stored.entry.Version) {
		e.Expire(now, header.Table, header.Key)
	}
}

// sweep removes tombstones, ephemeral entries, retained expired entries and outstanding requests whose time is over.
func (e *Engine) sweep(now time.Time) {
	if now.Before(e.sweepAt) {
		return
	}
	e.sweepAt = now.Add(sweepInterval)
	for i := range e.tables {
		e.sweepTable(now, TableID(i))
	}
	e.expired.sweep(now)
	for id, outstanding := range e.requested {
		if now.After(outstanding.deadline) {
			delete(e.requested, id)
		}
	}
}

func (e *Engine) sweepTable(now time.Time, id TableID) {
	table := &e.tables[id]
	for key, stored := range table.entries {
		age := now.Sub(stored.storedAt)
		if id.isEphemeral() && age >= ephemeralLifetime {
			table.remove(key)
		}
		if stored.isTombstone && age >= TombstoneRetention {
			e.Expire(now, id, key)
		}
	}
}
