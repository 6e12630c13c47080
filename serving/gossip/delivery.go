package gossip

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Times and numbers of the pushes.
const (
	// coalesceDelay is the time from the first change to the message that carries it, up to maxCoalesceDelay while
	// messages are sent often.
	coalesceDelay    = 20 * time.Millisecond
	maxCoalesceDelay = 100 * time.Millisecond
	// rateWindow is the time constant of the average rate of sending.
	rateWindow = time.Second
	// zoneFanout and regionFanout are the numbers of members of the same zone and of the region's other zones to which
	// a member pushes an entry.
	zoneFanout   = 2
	regionFanout = 1
	// maxPushedValue is the size, in bytes, up to which a value is pushed. A longer one is offered and sent on request.
	maxPushedValue = 2048
	// maxPushedEntries is the number of entries up to which a message carries them. Where there are more at once, all
	// are offered.
	maxPushedEntries = 32
	// maxDeliveryRetries bounds the retries of one delivery.
	maxDeliveryRetries = 2
)

// origin is where an entry came from, which determines where it is delivered to.
type origin struct {
	local bool     // from this process: it is pushed to other regions too
	fresh bool     // newer than what was stored: it is pushed within the region
	from  string   // the sender
	relay []string // zones to which the sender requests to forward it
}

// delivery is where an entry still has to be sent.
type delivery struct {
	from           string // the sender, which doesn't get it back
	toRegion       bool   // to a few members of the local region
	toOtherRegions bool   // to one member of each other region
	toZones        []string
	retries        int
}

// pending holds the entries that wait to be sent.
type pending struct {
	deliveries map[entryID]*delivery
	due        time.Time // zero: nothing is pending
	lastSent   time.Time
	sendRate   float64 // sendings in about the last rateWindow, as of lastSent
}

// minInterval is the least time between two sendings. It grows with the recent rate, so that a burst of changes is sent
// in few messages with only the newest entry of each key.
func (p *pending) minInterval(now time.Time) time.Duration {
	return min(maxCoalesceDelay, time.Duration(p.rateAt(now)*float64(coalesceDelay)))
}

// rateAt returns the number of sendings in about the last rateWindow, an exponentially decaying average.
func (p *pending) rateAt(now time.Time) float64 {
	return p.sendRate * math.Exp(-float64(now.Sub(p.lastSent))/float64(rateWindow))
}

// recordSent records that all deliveries are being sent.
func (p *pending) recordSent(now time.Time) {
	p.sendRate = p.rateAt(now) + 1
	p.lastSent = now
	p.due = time.Time{}
	p.deliveries = map[entryID]*delivery{}
}

// schedule returns the delivery of an entry, and creates it and its due time where there is none yet.
func (p *pending) schedule(now time.Time, id entryID) *delivery {
	planned, ok := p.deliveries[id]
	if !ok {
		planned = &delivery{}
		p.deliveries[id] = planned
	}
	if p.due.IsZero() {
		p.due = now.Add(coalesceDelay)
		if earliest := p.lastSent.Add(p.minInterval(now)); earliest.After(p.due) {
			p.due = earliest
		}
	}
	return planned
}

// enqueue schedules the delivery of an entry. It replaces an older pending entry of the key.
func (e *Engine) enqueue(now time.Time, entry Entry, from origin) {
	planned := e.pending.schedule(now, entry.Header().id())
	planned.from = from.from
	if len(from.relay) > 0 {
		planned.toZones = appendMissing(planned.toZones, from.relay)
		planned.retries = maxDeliveryRetries
	}
	planned.toRegion = planned.toRegion || from.fresh
	planned.toOtherRegions = planned.toOtherRegions || from.local && !entry.Table.isEphemeral()
}

// NextSendTime returns when TakeOutgoing has something to send; zero where nothing is pending.
func (e *Engine) NextSendTime() time.Time { return e.pending.due }

// TakeOutgoing returns the messages that are due and removes expired entries. The caller sends the messages and reports
// each that was not acknowledged by Retry.
func (e *Engine) TakeOutgoing(now time.Time) []Envelope {
	e.sweep(now)
	if e.pending.due.IsZero() || now.Before(e.pending.due) {
		return nil
	}
	deliveries := e.pending.deliveries
	e.pending.recordSent(now)
	batch := e.newBatch(now)
	batch.offerAll = len(deliveries) > maxPushedEntries
	for _, id := range slices.SortedFunc(maps.Keys(deliveries), entryID.compare) {
		if stored, ok := e.tables[id.table].entries[id.key]; ok {
			batch.add(stored.entry, deliveries[id])
		}
	}
	return batch.envelopes()
}

// Retry schedules another delivery of the entries of a message that was not sent or not acknowledged: to another member
// of the receiver's zone and by relay through a third zone. The receiver is reported by MarkUnresponsive.
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
		planned := e.pending.schedule(now, header.id())
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
