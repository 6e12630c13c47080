package gossip

import (
	"slices"
	"time"
)

// batch assembles the messages that are sent at the same time. Entries for the same receiver and with the same Relay
// share one message.
type batch struct {
	engine        *Engine
	now           time.Time
	regionTargets []Peer               // the members of the local region that receive its entries
	remoteTargets []Peer               // one member of each other region
	suspectZones  []string             // zones that may be unreachable from the local zone
	offerAll      bool                 // all entries are offered instead of being pushed
	messages      map[string]*Envelope // by receiver and Relay, see send
	order         []string             // the keys of messages in the order of their creation
}

// newBatch returns an empty batch and selects its receivers.
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

// topRanked returns the first of the ranked peers that are not avoided, at most limit.
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

// firstMatching returns the first peer in the ranking that matches and is not avoided.
func (b *batch) firstMatching(matches func(Peer) bool) (Peer, bool) {
	for _, peer := range b.engine.ranking.ranked {
		if matches(peer) && !b.engine.IsAvoided(b.now, peer.Name) {
			return peer, true
		}
	}
	return Peer{}, false
}

// selectRegionTargets selects a few of the region's peers: most from the local zone, because traffic between zones
// incurs costs, and none from a suspect zone.
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

// sample selects count peers at random from the first count*candidatesPerTarget ranked ones.
func (b *batch) sample(ranked []Peer, count int) []Peer {
	shuffled := slices.Clone(ranked[:min(len(ranked), count*candidatesPerTarget)])
	b.engine.options.Random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(len(shuffled), count)]
}

// add adds an entry to the messages to all receivers of its delivery.
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

// sendToZone sends an entry directly to a member of a zone and, unless the delivery's retries are used up, also by
// relay through a third zone.
func (b *batch) sendToZone(zone string, entry Entry, planned *delivery) {
	inZone := func(peer Peer) bool { return peer.Zone == zone }
	if peer, found := b.firstMatching(inZone); found {
		b.send(peer, entry, planned, nil)
	}
	if planned.retries < maxDeliveryRetries {
		b.relay(zone, entry, planned)
	}
}

// relay adds an entry to the message to a member of a third zone, which forwards it to the given zone.
func (b *batch) relay(zone string, entry Entry, planned *delivery) {
	isThird := func(peer Peer) bool { return peer.Zone != zone && peer.Zone != b.engine.options.Zone }
	if peer, found := b.firstMatching(isThird); found {
		b.send(peer, entry, planned, []string{zone})
	}
}

// send adds an entry, or an offer of it, to the message to a peer. An entry isn't returned to the peer that it came
// from, unless that peer is asked to relay it.
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
