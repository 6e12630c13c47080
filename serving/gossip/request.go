package gossip

import "time"

// requestTimeout is how long a requested entry counts as in flight. After that it may be requested again.
const requestTimeout = 500 * time.Millisecond

// outstandingRequest is the request of an offered entry that hasn't arrived yet.
type outstandingRequest struct {
	version  Version
	deadline time.Time
}

// RequestMissing returns the offered entries that the caller should request, because they are missing here and not yet
// in flight. It records them as requested.
func (e *Engine) RequestMissing(now time.Time, offers []Header) (missing []Header) {
	for _, offer := range offers {
		if !offer.Table.IsValid() || !e.isMissing(offer) {
			continue
		}
		outstanding, ok := e.requested[offer.id()]
		if ok && now.Before(outstanding.deadline) && !outstanding.version.Less(offer.Version) {
			continue
		}
		e.requested[offer.id()] = outstandingRequest{
			version:  offer.Version,
			deadline: now.Add(requestTimeout),
		}
		missing = append(missing, offer)
	}
	return missing
}

// CollectEntries returns the stored versions of the given entries, and omits entries that aren't stored.
func (e *Engine) CollectEntries(headers []Header) (entries []Entry) {
	for _, header := range headers {
		if !header.Table.IsValid() {
			continue
		}
		if stored, ok := e.tables[header.Table].entries[header.Key]; ok {
			entries = append(entries, stored.entry)
		}
	}
	return entries
}

// isMissing reports whether an entry is newer than the stored one, or not stored, and hasn't expired here.
func (e *Engine) isMissing(header Header) bool {
	if e.expired.hasExpired(header.id(), header.Version) {
		return false
	}
	stored, ok := e.tables[header.Table].entries[header.Key]
	return !ok || stored.entry.Version.Less(header.Version)
}
