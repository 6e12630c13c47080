package site

import (
	"slices"

	"rowanlink/cluster/relay"
	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// parkedBySender returns the webhooks that are parked at this member for each sender, in the order of acceptance. It
// lists those of all sites at once, since each listing scans all pending webhooks in the event loop.
func (s *Sites) parkedBySender(r *routes) map[*siteSender][]eventloop.Parked {
	for _, sender := range r.senders {
		sender.beginListing()
	}
	parked, _ := s.loop.ParkedWebhooks(func(w *inflight.Webhook) bool {
		sender := s.senderOfWebhook(w, r)
		return sender != nil && sender.site.Relay != s.self
	})
	bySender := map[*siteSender][]eventloop.Parked{}
	for _, w := range parked {
		if sender := s.senderOfWebhook(w.Webhook, r); sender != nil {
			bySender[sender] = append(bySender[sender], w)
		}
	}
	return bySender
}

// senderOfWebhook returns the sender that is responsible for a webhook, or nil. If the webhook was sent to a relay, it
// is the sender for that relay, even if the destination has moved to another site since: the result comes from that
// relay.
func (s *Sites) senderOfWebhook(w *inflight.Webhook, r *routes) *siteSender {
	if record, sent := s.sentLog.get(w.RequestID); sent {
		i := slices.IndexFunc(r.senders, func(sender *siteSender) bool { return record.isFor(sender.site) })
		if i >= 0 {
			return r.senders[i]
		}
	}
	return r.senderByDestination[w.Destination]
}

// newItem returns the stream item for a webhook.
func (s *siteSender) newItem(w eventloop.Parked) *stream.Item {
	request, _, isAnnouncement := w.RequestID.Subscriber()
	item := &stream.Item{
		ID:             s.messageID(string(request)),
		RequestID:      string(request),
		IsAnnouncement: isAnnouncement,
		EventType:      w.EventType,
		Tenant:         w.Tenant,
		Token:          string(w.Token),
		Deadline:       w.Deadline,
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

// orderingScope identifies the webhooks that must be delivered in order: those with the same key and destination.
type orderingScope struct {
	destination api.DestinationID
	key         api.OrderingKey
}

// announcementPart holds the values that webhooks of an announcement must have in common to share one stream item.
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
		ttl:            i.Deadline,
		attempts:       i.Attempts,
		firstAttemptAt: i.FirstAttemptAt,
		zone:           i.Zone,
	}
}

// itemBatch collects the items to add to the stream. Subscribers of the same announcement share items where possible.
type itemBatch struct {
	byPart map[announcementPart]*stream.Item
	items  []*stream.Item // in the order of acceptance
}

// add adds an item for one subscriber. If the batch has an unordered item that differs only in its subscribers, it adds
// the subscriber to that one instead. It returns the item that contains the subscriber.
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

// feedStream adds the parked webhooks that are not in the stream yet. If one of them was already sent to the relay but
// is unknown to the stream, it adds none and has the stream restarted.
func (s *siteSender) feedStream(sender *relay.Sender, parked []eventloop.Parked) {
	withheld := map[orderingScope]bool{} // an earlier webhook was withheld, which later ones must not overtake
	batch := itemBatch{byPart: map[announcementPart]*stream.Item{}}
	for _, w := range parked {
		_, wasSent := s.sites.sentLog.get(w.RequestID)
		item := s.newItem(w)
		scope := orderingScope{destination: w.Destination, key: item.Key}
		if s.isTracked(w.RequestID) {
			continue
		}
		// If another member owns the range, it may call the destination at the same time as the relay.
		isOwnedElsewhere := !wasSent && !s.sites.isRangeOwner(w.Destination)
		// Another member may have the webhook, or an earlier one of its key.
		mayBeElsewhere := w.InDoubt && !wasSent
		if isOwnedElsewhere || mayBeElsewhere || withheld[scope] {
			withheld[scope] = withheld[scope] || item.Key != 0
			continue
		}
		if w.InDoubt { // it was sent in an earlier generation of the stream
			s.needsRestart.Store(true)
			return
		}
		s.track(batch.add(item), w)
	}
	for _, item := range batch.items {
		sender.Add(*item, s.sites.eventType(item.EventType).LatencyTarget)
	}
}
