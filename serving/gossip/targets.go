package gossip

import (
	"slices"
	"time"
)

// batch gathers the entries that go out at one moment, by receiver.
type batch struct {
	engine   *Engine
	now      time.Time
	inside   []Peer   // the few members of the own region that get what is spread inside it
	regions  []Peer   // one member of each other region
	doubtful []string // zones that may be cut off from the own one
	offerAll bool     // so many entries that all are offered first
	messages map[string]*Envelope
	order    []string
}

// newBatch draws the receivers of this moment.
func (e *Engine) newBatch(now time.Time) *batch {
	e.neighbours.update(now, e.options, e.peers)
	b := &batch{engine: e, now: now, messages: map[string]*Envelope{}, doubtful: e.zonesInDoubt(now)}
	b.inside = b.drawInside()
	for _, region := range e.neighbours.regions {
		candidates := b.reachable(e.neighbours.elsewhere[region], neighboursPerCopy)
		b.regions = append(b.regions, b.drawFew(candidates, 1)...)
	}
	return b
}

// reachable returns the highest ranking peers that are not being avoided.
func (b *batch) reachable(ranked []Peer, most int) (found []Peer) {
	for _, peer := range ranked {
		if len(found) == most {
			break
		}
		if !b.engine.IsAvoided(b.now, peer.Name) {
			found = append(found, peer)
		}
	}
	return found
}

// first returns the highest ranking peer that is not being avoided and fits.
func (b *batch) first(fits func(Peer) bool) (Peer, bool) {
	for _, peer := range b.engine.neighbours.order {
		if fits(peer) && !b.engine.IsAvoided(b.now, peer.Name) {
			return peer, true
		}
	}
	return Peer{}, false
}

// zonesInDoubt returns the zones of which no member has answered since one has failed.
func (e *Engine) zonesInDoubt(now time.Time) (zones []string) {
	for zone, since := range e.doubtful {
		if now.Sub(since) < doubtSpan && zone != e.options.Zone {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// drawInside takes a few of the region's peers: most of the own zone, since bytes between zones have a price, and
// none of a zone that may be cut off.
func (b *batch) drawInside() []Peer {
	const fanOut = zoneFanOut + regionFanOut
	far := b.engine.neighbours.far
	if len(b.doubtful) > 0 {
		inDoubt := func(peer Peer) bool { return slices.Contains(b.doubtful, peer.Zone) }
		far = slices.DeleteFunc(slices.Clone(far), inDoubt)
	}
	near := b.reachable(b.engine.neighbours.near, fanOut*neighboursPerCopy)
	far = b.reachable(far, fanOut*neighboursPerCopy)
	nearCount := min(len(near), zoneFanOut)
	farCount := min(len(far), fanOut-nearCount)
	nearCount = min(len(near), fanOut-farCount)
	return slices.Concat(b.drawFew(near, nearCount), b.drawFew(far, farCount))
}

// drawFew draws some of the highest ranking peers.
func (b *batch) drawFew(ranked []Peer, count int) []Peer {
	drawn := slices.Clone(ranked[:min(len(ranked), count*neighboursPerCopy)])
	b.engine.options.Random.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(len(drawn), count)]
}

// add plans the copies of one entry.
func (b *batch) add(entry Entry, planned *delivery) {
	if planned.inside {
		for _, peer := range b.inside {
			b.send(peer, entry, planned, nil)
		}
	}
	if planned.regions {
		for _, peer := range b.regions {
			b.send(peer, entry, planned, nil)
		}
		for _, zone := range b.doubtful {
			b.relay(zone, entry, planned)
		}
	}
	for _, zone := range planned.zones {
		b.sendInto(zone, entry, planned)
	}
}

// sendInto sends an entry to a member of the zone and, where an earlier copy was lost, by way of another zone.
func (b *batch) sendInto(zone string, entry Entry, planned *delivery) {
	inZone := func(peer Peer) bool { return peer.Zone == zone }
	if peer, found := b.first(inZone); found {
		b.send(peer, entry, planned, nil)
	}
	if planned.retries < deliveryRetries {
		b.relay(zone, entry, planned)
	}
}

// relay asks a member of a third zone to pass the entry on.
func (b *batch) relay(zone string, entry Entry, planned *delivery) {
	isThird := func(peer Peer) bool { return peer.Zone != zone && peer.Zone != b.engine.options.Zone }
	if peer, found := b.first(isThird); found {
		b.send(peer, entry, planned, []string{zone})
	}
}

// send puts the entry into the message to a peer, unless the peer has sent it.
func (b *batch) send(peer Peer, entry Entry, planned *delivery, relay []string) {
	if peer.Name == planned.from && len(relay) == 0 {
		return
	}
	key := peer.Name
	for _, zone := range relay {
		key += "\x00" + zone
	}
	envelope, ok := b.messages[key]
	if !ok {
		envelope = &Envelope{To: peer, Message: Message{From: b.engine.options.Name, Relay: relay}}
		b.messages[key] = envelope
		b.order = append(b.order, key)
	}
	envelope.retries = max(envelope.retries, planned.retries)
	if b.offerAll || len(entry.Value) > offerAbove {
		envelope.Message.Offers = append(envelope.Message.Offers, entry.Header())
		return
	}
	envelope.Message.Entries = append(envelope.Message.Entries, entry)
}

// envelopes returns the messages in the order in which they were begun.
func (b *batch) envelopes() []Envelope {
	result := make([]Envelope, 0, len(b.order))
	for _, key := range b.order {
		result = append(result, *b.messages[key])
	}
	return result
}
