package site

import (
	"slices"

	"rowanlink/cluster/relay"
	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// parkedBySender lists the webhooks that are parked here for sites, in the order of acceptance: for all sites in one
// iteration of the event loop, since each iteration scans all pending webhooks.
func (s *Sites) parkedBySender(r *routes) map[*siteSender][]eventloop.Parked {
	for _, sender := range r.senders {
		sender.beginListing()
	}
	parked, _ := s.loop.ParkedWebhooks(func(w *inflight.Webhook) bool {
		sender := s.senderOf(w, r)
		return sender != nil && sender.site.Relay != s.self
	})
	bySender := map[*siteSender][]eventloop.Parked{}
	for _, w := range parked {
		if sender := s.senderOf(w.Webhook, r); sender != nil {
			bySender[sender] = append(bySender[sender], w)
		}
	}
	return bySender
}

// senderOf returns the sender that has a webhook or should have it, or nil. A webhook whose destination has moved to
// another site gets its result from the relay that may have it.
func (s *Sites) senderOf(w *inflight.Webhook, r *routes) *siteSender {
	if record, sent := s.sentLog.get(w.RequestID); sent {
		i := slices.IndexFunc(r.senders, func(sender *siteSender) bool { return record.isFor(sender.site) })
		if i >= 0 {
			return r.senders[i]
		}
	}
	return r.senderOf[w.Destination]
}

// newItem returns a webhook as the stream has it.
func (s *siteSender) newItem(w eventloop.Parked) *stream.Item {
	request, _, isAnnouncement := w.RequestID.Subscriber()
	item := &stream.Item{
		ID:             s.messageID(string(request)),
		RequestID:      string(request),
		IsAnnouncement: isAnnouncement,
		EventType:      w.EventType,
		Tenant:         w.Tenant,
		Token:          string(w.Token),
		TTL:            w.Deadline,
		Attempts:       w.Attempts,
		FirstAttemptAt: w.MayHaveRunAt,
		Zone:           w.Zone,
		Body:           w.Body,
		Destinations:   []api.DestinationID{w.Destination},
	}
	eventType := s.sites.eventType(w.EventType)
	if eventType.Ordered {
		item.Key = w.OrderingKey
	}
	if eventType.Semantics == api.Deduplicated {
		item.TokenWindow = eventType.DedupWindow
	}
	return item
}

// orderingScope is what webhooks are ordered within: a key of one destination.
type orderingScope struct {
	destination api.DestinationID
	key         api.OrderingKey
}

// announcementPart has what the webhooks of an announcement must have in common to share an item.
type announcementPart struct {
	id             stream.MessageID
	ttl            api.Micros
	attempts       int
	firstAttemptAt api.Micros
	zone           api.ZoneID
}

func partOf(i *stream.Item) announcementPart {
	return announcementPart{
		id:             i.ID,
		ttl:            i.TTL,
		attempts:       i.Attempts,
		firstAttemptAt: i.FirstAttemptAt,
		zone:           i.Zone,
	}
}

// itemBatch collects the items to be added to the stream, with the subscribers of an announcement in one item.
type itemBatch struct {
	byPart map[announcementPart]*stream.Item
	items  []*stream.Item // in the order of acceptance
}

// add adds an item for one subscriber, or adds the subscriber to an unordered item that has all else in common. It
// returns the item that has the subscriber.
func (b *itemBatch) add(item *stream.Item) *stream.Item {
	part := partOf(item)
	if shared := b.byPart[part]; shared != nil && shared.Key == 0 {
		shared.Destinations = append(shared.Destinations, item.Destinations...)
		return shared
	}
	b.byPart[part] = item
	b.items = append(b.items, item)
	return item
}

// feedStream adds the parked webhooks that are not in the stream yet. It adds none if it finds one that was sent and
// that the stream does not know: the stream is restarted then.
func (s *siteSender) feedStream(sender *relay.Sender, parked []eventloop.Parked) {
	withheld := map[orderingScope]bool{}
	batch := itemBatch{byPart: map[announcementPart]*stream.Item{}}
	for _, w := range parked {
		_, wasSent := s.sites.sentLog.get(w.RequestID)
		item := s.newItem(w)
		scope := orderingScope{destination: w.Destination, key: item.Key}
		if s.isTracked(w.RequestID) {
			continue
		}
		// Another member may own the range, and call the destination while the relay does.
		isElsewhere := !wasSent && !s.sites.isRangeOwner(w.Destination)
		// Another member may have an earlier webhook of the key.
		isInDoubt := w.InDoubt && !wasSent
		if isElsewhere || isInDoubt || withheld[scope] {
			withheld[scope] = withheld[scope] || item.Key != 0
			continue
		}
		if w.InDoubt { // sent in an earlier generation
			s.needsRestart.Store(true)
			return
		}
		s.track(batch.add(item), w)
	}
	for _, item := range batch.items {
		sender.Add(*item, s.sites.eventType(item.EventType).LatencyTarget)
	}
}
