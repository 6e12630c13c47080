package gossip

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Times and limits of pushing entries.
const (
	// coalesceDelay is the time from the first change until the messages that carry it are sent. While messages are
	// sent often, the time between two sends grows up to maxCoalesceDelay, see minInterval.
	coalesceDelay    = 20 * time.Millisecond
	maxCoalesceDelay = 100 * time.Millisecond
	// rateWindow is the time constant with which the count of sends decays, see rateAt.
	rateWindow = time.Second
	// zoneFanout and regionFanout are the numbers of members to which a member pushes an entry, in its own zone and in
	// the region's other zones.
	zoneFanout   = 2
	regionFanout = 1
	// maxPushedValue is the maximum size of a pushed value, in bytes. Of an entry with a longer one, only the header is
	// sent (an offer), and the entry on request.
	maxPushedValue = 2048
	// maxPushedEntries is the maximum number of entries that are pushed at once. If there are more, all are sent as
	// offers.
	maxPushedEntries = 32
	// maxDeliveryRetries is the maximum number of retries of one delivery.
	maxDeliveryRetries = 2
)

// origin describes where an entry came from, which determines where it is sent.
type origin struct {
	local  bool     // from this process, so it is also pushed to other regions
	fresh  bool     // newer than the stored entry, so it is pushed within the region
	sender string   // its name; empty: this process
	relay  []string // zones to which the sender asks to forward it
}

// delivery describes where a queued entry has to be sent.
type delivery struct {
	from           string   // name of the member that sent the entry, to which it isn't sent back
	toRegion       bool     // to a few members of the local region
	toOtherRegions bool     // to one member of each other region
	toZones        []string // to a member of each of these zones, directly and by relay
	retries        int
}

// sendQueue holds the deliveries that wait to be sent.
type sendQueue struct {
	deliveries map[entryID]*delivery
	due        time.Time // when the deliveries are to be sent; zero: the queue is empty
	lastSent   time.Time
	sendRate   float64 // see rateAt, as of lastSent
}

// minInterval returns the minimum time between two sends. It grows with the recent send rate, so that a burst of
// changes is sent in few messages that contain only the newest entry of each key.
func (q *sendQueue) minInterval(now time.Time) time.Duration {
	return min(maxCoalesceDelay, time.Duration(q.rateAt(now)*float64(coalesceDelay)))
}

// rateAt returns approximately the number of sends in the last rateWindow: a count that decays exponentially.
func (q *sendQueue) rateAt(now time.Time) float64 {
	return q.sendRate * math.Exp(-float64(now.Sub(q.lastSent))/float64(rateWindow))
}

// recordSent records that all deliveries are being sent, and empties the queue.
func (q *sendQueue) recordSent(now time.Time) {
	q.sendRate = q.rateAt(now) + 1
	q.lastSent = now
	q.due = time.Time{}
	q.deliveries = map[entryID]*delivery{}
}

// schedule returns the queued delivery of an entry. It creates the delivery if there is none yet, and sets the queue's
// due time if the queue was empty.
func (q *sendQueue) schedule(now time.Time, id entryID) *delivery {
	planned, ok := q.deliveries[id]
	if !ok {
		planned = &delivery{}
		q.deliveries[id] = planned
	}
	if q.due.IsZero() {
		q.due = now.Add(coalesceDelay)
		if earliest := q.lastSent.Add(q.minInterval(now)); earliest.After(q.due) {
			q.due = earliest
		}
	}
	return planned
}

// enqueue schedules the delivery of an entry. If a delivery of the same key is already queued, the two are merged, and
// the newest entry is sent.
func (e *Engine) enqueue(now time.Time, entry Entry, source origin) {
	planned := e.queue.schedule(now, entry.Header().id())
	planned.from = source.sender
	if len(source.relay) > 0 {
		planned.toZones = appendMissing(planned.toZones, source.relay)
		planned.retries = maxDeliveryRetries
	}
	planned.toRegion = planned.toRegion || source.fresh
	planned.toOtherRegions = planned.toOtherRegions || source.local && !entry.Table.isEphemeral()
}

// NextSendTime returns when TakeOutgoing will have something to send, or the zero time if nothing is queued.
func (e *Engine) NextSendTime() time.Time { return e.queue.due }

// TakeOutgoing returns the messages that are due, and removes expired entries from the tables. The caller sends the
// messages and calls Retry for each one that was not acknowledged.
func (e *Engine) TakeOutgoing(now time.Time) []Envelope {
	e.sweep(now)
	if e.queue.due.IsZero() || now.Before(e.queue.due) {
		return nil
	}
	deliveries := e.queue.deliveries
	e.queue.recordSent(now)
	batch := e.newBatch(now)
	batch.offerAll = len(deliveries) > maxPushedEntries
	for _, id := range slices.SortedFunc(maps.Keys(deliveries), entryID.compare) {
		if stored, ok := e.tables[id.table].entries[id.key]; ok {
			batch.add(stored.entry, deliveries[id])
		}
	}
	return batch.envelopes()
}

// Retry schedules another delivery of the entries of a message that was not sent or not acknowledged: to a member of
// the receiver's zone, and by relay through a third zone. It doesn't retry ephemeral entries, and retries others at
// most maxDeliveryRetries times. The caller also passes the receiver to MarkUnresponsive, so that another member of the
// zone is selected.
func (e *Engine) Retry(now time.Time, envelope Envelope) {
	if envelope.retries >= maxDeliveryRetries {
		return
	}
	headers := slices.Clone(envelope.Message.Offers)
	for _, entry := range envelope.Message.Entries {
		headers = append(headers, entry.Header())
	}
	for _, header := range headers {
		if header.Table.isEphemeral() {
			continue
		}
		planned := e.queue.schedule(now, header.id())
		planned.toZones = appendMissing(planned.toZones, []string{envelope.To.Zone})
		planned.retries = max(planned.retries, envelope.retries+1)
	}
}

// appendMissing appends the names that are not in the list yet.
func appendMissing(names, more []string) []string {
	for _, name := range more {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
