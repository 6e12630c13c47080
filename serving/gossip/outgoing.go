package gossip

import (
	"math"
	"slices"
	"time"
)

// Times and numbers of the pushes.
const (
	coalesce        = 20 * time.Millisecond // from the first change to the message that carries it
	coalesceMost    = 100 * time.Millisecond
	rateSpan        = time.Second     // over which the rate of the messages is averaged
	zoneFanOut      = 2               // members of the own zone that a member passes an entry to
	regionFanOut    = 1               // members of the region's other zones
	offerAbove      = 2048            // bytes; a longer value is offered first and sent when it is wanted
	offerAllAbove   = 32              // entries; where more go out at once all are offered first
	avoidSpan       = 2 * time.Second // a peer that did not answer is avoided so long
	doubtSpan       = 3 * time.Second // a zone is in doubt so long after a failure
	requestSpan     = 500 * time.Millisecond
	deliveryRetries = 2
)

// Message is what one member sends to another.
type Message struct {
	From    string   `cbor:"1,keyasint"`
	Entries []Entry  `cbor:"2,keyasint,omitempty"`
	Offers  []Header `cbor:"3,keyasint,omitempty"` // entries with long values, sent if the receiver wants them
	// Relay asks the receiver to pass the entries on into these zones, which the sender cannot reach.
	Relay []string `cbor:"4,keyasint,omitempty"`
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      Peer
	Message Message
	retries int
}

// origin is where an entry came from and so where it has to go.
type origin struct {
	own   bool     // of this process: it goes to other regions too
	fresh bool     // not known before: it goes to other members of the region
	from  string   // the sender
	relay []string // zones that the sender cannot reach
}

// delivery is what is still to be done for an entry.
type delivery struct {
	from    string   // member that has sent it
	inside  bool     // to a few members of the own region
	regions bool     // to one member of each other region
	zones   []string // to a member of each of these zones
	retries int
}

// pending holds the entries that wait to be sent.
type pending struct {
	entries map[entryID]*delivery
	due     time.Time // zero: nothing waits
	last    time.Time // when something was sent last
	recent  float64   // how often something was sent in about the last rateSpan, up to last
}

// gap is the least time between two sendings: the more often something was sent of late the longer, so that a storm
// of changes is sent in few messages that hold only the newest entry of each key.
func (p *pending) gap(now time.Time) time.Duration {
	return min(coalesceMost, time.Duration(p.rate(now)*float64(coalesce)))
}

// rate is how often something was sent in about the last rateSpan.
func (p *pending) rate(now time.Time) float64 {
	return p.recent * math.Exp(-float64(now.Sub(p.last))/float64(rateSpan))
}

// sent notes that everything is being sent.
func (p *pending) sent(now time.Time) {
	p.recent = p.rate(now) + 1
	p.last, p.due = now, time.Time{}
	p.entries = map[entryID]*delivery{}
}

// request is a long value that was asked for and is on its way.
type request struct {
	version Version
	until   time.Time
}

// enqueue plans an entry's way on. A newer entry of the key takes the place of one that waits.
func (e *Engine) enqueue(now time.Time, entry Entry, from origin) {
	planned := e.pending.at(now, entry.Header().id())
	planned.from = from.from
	if len(from.relay) > 0 {
		planned.zones = mergeNames(planned.zones, from.relay)
		planned.retries = deliveryRetries
	}
	planned.inside = planned.inside || from.fresh
	planned.regions = planned.regions || from.own && !entry.Table.isEphemeral()
}

// at returns the plan of an entry and sees to it that the plans are carried out soon.
func (p *pending) at(now time.Time, id entryID) *delivery {
	planned, ok := p.entries[id]
	if !ok {
		planned = &delivery{}
		p.entries[id] = planned
	}
	if p.due.IsZero() {
		p.due = now.Add(coalesce)
		if earliest := p.last.Add(p.gap(now)); earliest.After(p.due) {
			p.due = earliest
		}
	}
	return planned
}

// NextSendTime is when Outgoing has something to send; zero where nothing waits.
func (e *Engine) NextSendTime() time.Time { return e.pending.due }

// TakeOutgoing returns the messages that are due.
func (e *Engine) TakeOutgoing(now time.Time) []Envelope {
	e.sweep(now)
	if e.pending.due.IsZero() || now.Before(e.pending.due) {
		return nil
	}
	waiting := e.pending.entries
	e.pending.sent(now)
	batch := e.newBatch(now)
	batch.offerAll = len(waiting) > offerAllAbove
	for id, planned := range waiting {
		if found, ok := e.tables[id.table].entries[id.key]; ok {
			batch.add(found.entry, planned)
		}
	}
	return batch.envelopes()
}

// Retry plans another way for the entries of a message that was not sent or not acknowledged: to another member of
// the zone and by way of a third zone. See Unresponsive for the member that did not answer.
func (e *Engine) Retry(now time.Time, envelope Envelope) {
	if envelope.retries >= deliveryRetries {
		return
	}
	headings := slices.Clone(envelope.Message.Offers)
	for _, entry := range envelope.Message.Entries {
		headings = append(headings, entry.Header())
	}
	for _, heading := range headings {
		if heading.Table.isEphemeral() {
			continue
		}
		planned := e.pending.at(now, heading.id())
		planned.zones = mergeNames(planned.zones, []string{envelope.To.Zone})
		planned.retries = max(planned.retries, envelope.retries+1)
	}
}

// MarkUnresponsive has a peer avoided for a while.
func (e *Engine) MarkUnresponsive(now time.Time, name string) {
	e.failing[name] = now.Add(avoidSpan)
	if zone, ok := e.zoneOf(name); ok {
		e.doubtful[zone] = now
	}
}

// IsAvoided tells whether a peer is being avoided.
func (e *Engine) IsAvoided(now time.Time, name string) bool { return now.Before(e.failing[name]) }

// MarkResponsive tells that a peer has answered a call. It is no longer avoided, and its zone can be reached.
func (e *Engine) MarkResponsive(name string) {
	delete(e.failing, name)
	if zone, ok := e.zoneOf(name); ok {
		delete(e.doubtful, zone)
	}
}

// zoneOf is the zone of a peer.
func (e *Engine) zoneOf(name string) (zone string, known bool) {
	peer, known := e.byName[name]
	return peer.Zone, known
}

// RequestMissing returns which of the offered entries are to be sent, and notes that they are on their way.
func (e *Engine) RequestMissing(now time.Time, offers []Header) (wanted []Header) {
	for _, offer := range offers {
		if !offer.Table.IsValid() || !e.lacks(offer) {
			continue
		}
		asked, ok := e.requested[offer.id()]
		if ok && now.Before(asked.until) && !asked.version.Less(offer.Version) {
			continue
		}
		e.requested[offer.id()] = request{version: offer.Version, until: now.Add(requestSpan)}
		wanted = append(wanted, offer)
	}
	return wanted
}

// CollectEntries returns the entries of the headings, in the version now known.
func (e *Engine) CollectEntries(headings []Header) (entries []Entry) {
	for _, heading := range headings {
		if !heading.Table.IsValid() {
			continue
		}
		if found, ok := e.tables[heading.Table].entries[heading.Key]; ok {
			entries = append(entries, found.entry)
		}
	}
	return entries
}

// lacks tells whether an entry of the heading would be news.
func (e *Engine) lacks(heading Header) bool {
	if e.graves.covers(heading.id(), heading.Version) {
		return false
	}
	found, ok := e.tables[heading.Table].entries[heading.Key]
	return !ok || found.entry.Version.Less(heading.Version)
}

// mergeNames adds the names that are not there yet.
func mergeNames(names, more []string) []string {
	for _, name := range more {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
