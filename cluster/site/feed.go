package site

import (
	"slices"

	"rowanlink/cluster/relay"
	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// parkedBySender lists what is parked here by site, in the order taken: all sites in one turn, since each turn looks at
// all that is held.
func (s *Sites) parkedBySender(of *routes) map[*siteSender][]eventloop.Parked {
	for _, l := range of.senders {
		l.beginListing()
	}
	all, _ := s.loop.ParkedWebhooks(func(w *inflight.Webhook) bool {
		l := s.senderOf(w, of)
		return l != nil && l.site.Relay != s.self
	})
	by := map[*siteSender][]eventloop.Parked{}
	for _, w := range all {
		if l := s.senderOf(w.Webhook, of); l != nil {
			by[l] = append(by[l], w)
		}
	}
	return by
}

// senderOf is the site that a webhook is given to, or was: one that has moved to another since ends by the
// word of the relay that may have it.
func (s *Sites) senderOf(w *inflight.Webhook, of *routes) *siteSender {
	if m, sent := s.sentLog.get(w.RequestID); sent {
		if i := slices.IndexFunc(of.senders, func(l *siteSender) bool { return m.isFor(l.site) }); i >= 0 {
			return of.senders[i]
		}
	}
	return of.senderOf[w.Destination]
}

// newItem is a webhook as it goes over.
func (l *siteSender) newItem(w eventloop.Parked) *stream.Item {
	of, _, many := w.RequestID.Subscriber()
	i := &stream.Item{ID: l.messageID(string(of)), RequestID: string(of), IsAnnouncement: many, EventType: w.EventType,
		Tenant: w.Tenant, Token: string(w.Token), TTL: w.Deadline, Attempts: w.Attempts, FirstAttemptAt: w.MayHaveRunAt,
		Zone: w.Zone, Body: w.Body, Destinations: []api.DestinationID{w.Destination}}
	t := l.sites.eventType(w.EventType)
	if t.Ordered {
		i.Key = w.OrderingKey
	}
	if t.Semantics == api.Deduplicated {
		i.TokenWindow = t.DedupWindow
	}
	return i
}

func (l *siteSender) track(i *stream.Item, w eventloop.Parked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.deliveryOf(w.RequestID, w.Destination)
	l.tracked[d], l.deliveries[w.RequestID] = &trackedWebhook{w.RequestID, i}, d
}

// isTracked is whether the stream has it, or it has ended since it was listed as owed.
func (l *siteSender) isTracked(id inflight.RequestID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, is := l.deliveries[id]
	return is || l.finished[id]
}

func (l *siteSender) beginListing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = map[inflight.RequestID]bool{}
}

// feedStream hands the stream what is owed and not in it yet: subscribers of one announcement together.
func (l *siteSender) feedStream(s *relay.Sender, all []eventloop.Parked) {
	type turn struct {
		to  api.DestinationID
		key api.OrderingKey
	}
	type alike struct {
		name     stream.MessageID
		ttl      api.Micros
		attempts int
		mayRun   api.Micros
		zone     api.ZoneID
	}
	stays, with := map[turn]bool{}, map[alike]*stream.Item{}
	var items []*stream.Item
	for _, w := range all {
		_, sent := l.sites.sentLog.get(w.RequestID)
		i := l.newItem(w)
		of := turn{w.Destination, i.Key}
		switch {
		case l.isTracked(w.RequestID):
			continue
		case !sent && !l.sites.isRangeOwner(w.Destination): // guards against a relay that calls it beside another home
			stays[of] = stays[of] || i.Key != 0
			continue
		case w.InDoubt && !sent, stays[of]: // guards order by key: another member may have an earlier one
			stays[of] = stays[of] || i.Key != 0
			continue
		case w.InDoubt: // sent in an earlier run, and the stream doesn't know: it asks
			l.needsRestart.Store(true)
			return
		}
		k := alike{i.ID, i.TTL, i.Attempts, i.FirstAttemptAt, i.Zone}
		if first := with[k]; first != nil && first.Key == 0 {
			first.Destinations = append(first.Destinations, w.Destination)
			i = first
		} else {
			with[k], items = i, append(items, i)
		}
		l.track(i, w)
	}
	for _, i := range items {
		s.Add(*i, l.sites.eventType(i.EventType).LatencyTarget)
	}
}
