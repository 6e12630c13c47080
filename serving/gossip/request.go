package gossip

import "time"

// requestTimeout is how long a requested entry counts as in flight.
const requestTimeout = 500 * time.Millisecond

// outstandingRequest is an offered entry that was requested and hasn't arrived.
type outstandingRequest struct {
	version  Version
	deadline time.Time
}

// RequestMissing returns those of the offered entries that are to be requested, because they are missing here and not
// in flight already, and records the requests.
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

// CollectEntries returns the newest versions of the named entries, as far as they are known.
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

// isMissing reports whether an entry is newer than what is stored here and hasn't expired.
func (e *Engine) isMissing(header Header) bool {
	if e.expired.hasExpired(header.id(), header.Version) {
		return false
	}
	stored, ok := e.tables[header.Table].entries[header.Key]
	return !ok || stored.entry.Version.Less(header.Version)
}
