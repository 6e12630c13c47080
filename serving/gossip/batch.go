package gossip

import (
	"slices"
	"time"
)

// batch assembles the messages that are sent at one moment, one for each receiver and relay.
type batch struct {
	engine        *Engine
	now           time.Time
	regionTargets []Peer   // the members of the local region that get its entries
	remoteTargets []Peer   // one member of each other region
	suspectZones  []string // zones that may be unreachable from the local one
	offerAll      bool     // entries are offered rather than pushed
	messages      map[string]*Envelope
	order         []string
}

// newBatch selects the receivers of a batch.
func (e *Engine) newBatch(now time.Time) *batch {
	e.ranking.update(now, e.options, e.peers)
	b := &batch{
		engine:       e,
		now:          now,
		messages:     map[string]*Envelope{},
		suspectZones: e.currentSuspectZones(now),
	}
	b.regionTargets = b.selectRegionTargets()
	for _, region := range e.ranking.regions {
		candidates := b.topRanked(e.ranking.otherRegions[region], candidatesPerTarget)
		b.remoteTargets = append(b.remoteTargets, b.sample(candidates, 1)...)
	}
	return b
}

// topRanked returns the first peers in the ranking that are not avoided, limit at most.
func (b *batch) topRanked(ranked []Peer, limit int) (found []Peer) {
	for _, peer := range ranked {
		if len(found) == limit {
			break
		}
		if !b.engine.IsAvoided(b.now, peer.Name) {
			found = append(found, peer)
		}
	}
	return found
}

// firstMatching returns the first peer in the ranking that is not avoided and matches.
func (b *batch) firstMatching(matches func(Peer) bool) (Peer, bool) {
	for _, peer := range b.engine.ranking.ranked {
		if matches(peer) && !b.engine.IsAvoided(b.now, peer.Name) {
			return peer, true
		}
	}
	return Peer{}, false
}

// selectRegionTargets selects a few of the region's peers: most of the local zone, since traffic between zones costs,
// and none of a suspect zone.
func (b *batch) selectRegionTargets() []Peer {
	const fanout = zoneFanout + regionFanout
	otherZones := b.engine.ranking.otherZones
	if len(b.suspectZones) > 0 {
		isSuspect := func(peer Peer) bool { return slices.Contains(b.suspectZones, peer.Zone) }
		otherZones = slices.DeleteFunc(slices.Clone(otherZones), isSuspect)
	}
	sameZone := b.topRanked(b.engine.ranking.sameZone, fanout*candidatesPerTarget)
	otherZones = b.topRanked(otherZones, fanout*candidatesPerTarget)
	sameZoneCount := min(len(sameZone), zoneFanout)
	otherZonesCount := min(len(otherZones), fanout-sameZoneCount)
	sameZoneCount = min(len(sameZone), fanout-otherZonesCount)
	return slices.Concat(b.sample(sameZone, sameZoneCount), b.sample(otherZones, otherZonesCount))
}

// sample selects count of the first count*candidatesPerTarget ranked peers at random.
func (b *batch) sample(ranked []Peer, count int) []Peer {
	shuffled := slices.Clone(ranked[:min(len(ranked), count*candidatesPerTarget)])
	b.engine.options.Random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(len(shuffled), count)]
}

// add adds an entry to the messages to its receivers.
func (b *batch) add(entry Entry, planned *delivery) {
	if planned.toRegion {
		for _, peer := range b.regionTargets {
			b.send(peer, entry, planned, nil)
		}
	}
	if planned.toOtherRegions {
		for _, peer := range b.remoteTargets {
			b.send(peer, entry, planned, nil)
		}
		for _, zone := range b.suspectZones {
			b.relay(zone, entry, planned)
		}
	}
	for _, zone := range planned.toZones {
		b.sendToZone(zone, entry, planned)
	}
}

// sendToZone sends an entry to a member of the zone and, unless its retries are used up, by relay through a third zone.
func (b *batch) sendToZone(zone string, entry Entry, planned *delivery) {
	inZone := func(peer Peer) bool { return peer.Zone == zone }
	if peer, found := b.firstMatching(inZone); found {
		b.send(peer, entry, planned, nil)
	}
	if planned.retries < maxDeliveryRetries {
		b.relay(zone, entry, planned)
	}
}

// relay sends an entry to a member of a third zone, which forwards it to the zone.
func (b *batch) relay(zone string, entry Entry, planned *delivery) {
	isThird := func(peer Peer) bool { return peer.Zone != zone && peer.Zone != b.engine.options.Zone }
	if peer, found := b.firstMatching(isThird); found {
		b.send(peer, entry, planned, []string{zone})
	}
}

// send adds an entry or its offer to the message to a peer, unless the entry came from that peer.
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
	if b.offerAll || len(entry.Value) > maxPushedValue {
		envelope.Message.Offers = append(envelope.Message.Offers, entry.Header())
		return
	}
	envelope.Message.Entries = append(envelope.Message.Entries, entry)
}

// envelopes returns the messages in the order in which they were created.
func (b *batch) envelopes() []Envelope {
	result := make([]Envelope, 0, len(b.order))
	for _, key := range b.order {
		result = append(result, *b.messages[key])
	}
	return result
}
